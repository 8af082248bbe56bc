package burn

import (
	"slices"
	"strings"
	"time"
)

// alertRule fires if the burn rates over a short and a long window both exceed a
// threshold. The long window shows that the burn is significant, the short one
// that it is still going on.
type alertRule struct {
	short     time.Duration
	long      time.Duration
	threshold float64
}

// alertRules fire at burn rates that spend 2% of a 30-day error budget in one hour
// or 5% in six hours.
var alertRules = []alertRule{
	{
		short:     5 * time.Minute,
		long:      time.Hour,
		threshold: 14.4,
	},
	{
		short:     30 * time.Minute,
		long:      6 * time.Hour,
		threshold: 6,
	},
}

// Row is the report of one service, or of one customer of a service.
type Row struct {
	Service string `json:"service"`
	// Customer is empty in the row of a service as a whole.
	Customer   string  `json:"customer,omitempty"`
	Offered    float64 `json:"offered"`
	Attainment float64 `json:"attainment"`
	Objective  float64 `json:"objective"`
	// BudgetSpent is the spent share of the error budget for the calls offered;
	// 1 means that all of it is spent.
	BudgetSpent float64 `json:"budgetSpent"`
	// BurnRates maps windows to burn rates. A burn rate of 1 spends the budget
	// in exactly its period.
	BurnRates map[string]float64 `json:"burnRates"`
	Pages     bool               `json:"pages"`
	// RefusedWithinRate counts calls that were refused although they were within
	// the customer's rate.
	RefusedWithinRate float64 `json:"refusedWithinRate"`
}

// Report is the report of all services and their customers.
type Report struct {
	Services  []Row `json:"services"`
	Customers []Row `json:"customers"`
	// Worst is the customer with the lowest attainment, or nil if there were no
	// calls.
	Worst *Row `json:"worst,omitempty"`
}

// NewReport computes the report of a scrape.
func NewReport(s *Scrape) Report {
	var r Report
	services := make(map[string]*seriesCounts)
	var names []string
	for _, key := range s.series() {
		counts := s.countsOf(key)
		r.Customers = append(r.Customers, counts.row(key, s.Objectives[key.Service]))
		if services[key.Service] == nil {
			services[key.Service] = newSeriesCounts()
			names = append(names, key.Service)
		}
		services[key.Service].add(counts)
	}
	for _, name := range names {
		r.Services = append(r.Services, services[name].row(Series{Service: name}, s.Objectives[name]))
	}
	for i, row := range r.Customers {
		if row.Offered > 0 && (r.Worst == nil || row.Attainment < r.Worst.Attainment) {
			r.Worst = &r.Customers[i]
		}
	}
	return r
}

// series returns all series of a scrape, ordered by service and customer.
func (s *Scrape) series() []Series {
	var series []Series
	for key := range s.Total {
		series = append(series, key)
	}
	for key := range s.Refused {
		if _, known := s.Total[key]; !known {
			series = append(series, key)
		}
	}
	slices.SortFunc(series, compareSeries)
	return series
}

// seriesCounts holds the counts that a row is computed from.
type seriesCounts struct {
	total   Count
	refused float64
	windows map[time.Duration]Count
}

// newSeriesCounts returns counts of no calls.
func newSeriesCounts() *seriesCounts { return &seriesCounts{windows: make(map[time.Duration]Count)} }

// countsOf returns the counts of one series.
func (s *Scrape) countsOf(key Series) *seriesCounts {
	return &seriesCounts{
		total:   s.Total[key],
		refused: s.Refused[key],
		windows: s.Windows[key],
	}
}

// add adds the counts of another series.
func (s *seriesCounts) add(other *seriesCounts) {
	s.total = s.total.Add(other.total)
	s.refused += other.refused
	for window, c := range other.windows {
		s.windows[window] = s.windows[window].Add(c)
	}
}

// row computes the row of a series with an objective.
func (s *seriesCounts) row(key Series, objective float64) Row {
	r := Row{
		Service:           key.Service,
		Customer:          key.Customer,
		Offered:           s.total.Offered,
		Attainment:        s.total.Attainment(),
		Objective:         objective,
		BudgetSpent:       burnRate(s.total, objective),
		BurnRates:         make(map[string]float64),
		RefusedWithinRate: s.refused,
	}
	for _, w := range Windows {
		r.BurnRates[windowName(w)] = burnRate(s.windows[w], objective)
	}
	r.Pages = slices.ContainsFunc(alertRules, func(rule alertRule) bool { return rule.fires(s, objective) })
	return r
}

// fires reports whether the burn rates of a series exceed the rule's threshold.
func (a *alertRule) fires(s *seriesCounts, objective float64) bool {
	shortExceeds := burnRate(s.windows[a.short], objective) > a.threshold
	longExceeds := burnRate(s.windows[a.long], objective) > a.threshold
	return shortExceeds && longExceeds
}

// burnRate returns the ratio of the share of failed calls to the share that the
// objective allows. It returns 0 for an objective that allows none.
func burnRate(c Count, objective float64) float64 {
	if objective >= 1 {
		return 0
	}
	return (1 - c.Attainment()) / (1 - objective)
}

// windowName returns the short name of a window, such as 5m or 1h.
func windowName(w time.Duration) string {
	if w%time.Hour == 0 {
		return strings.TrimSuffix(w.String(), "0m0s")
	}
	return strings.TrimSuffix(w.String(), "0s")
}
