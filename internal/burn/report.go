package burn

import (
	"slices"
	"time"
)

// alertRule pages if the burn rates over a short and a long window both exceed a
// factor: the long one shows that it matters, the short one that it goes on.
type alertRule struct {
	short     time.Duration
	long      time.Duration
	threshold float64
}

// alertRules spend 2% of a 30-day budget in an hour, or 5% in six.
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
	// Customer is empty in the row of a whole service.
	Customer   string  `json:"customer,omitempty"`
	Offered    float64 `json:"offered"`
	Attainment float64 `json:"attainment"`
	Objective  float64 `json:"objective"`
	// BudgetSpent is the share of the error budget of the calls offered that
	// is spent; 1 is all of it.
	BudgetSpent float64 `json:"budgetSpent"`
	// BurnRates are by window; 1 spends the budget exactly in its period.
	BurnRates map[string]float64 `json:"burnRates"`
	Pages     bool               `json:"pages"`
	// RefusedWithinRate counts calls refused although within the rate.
	RefusedWithinRate float64 `json:"refusedWithinRate"`
}

// Report is the report of all services.
type Report struct {
	Services  []Row `json:"services"`
	Customers []Row `json:"customers"`
	// Worst is the customer with the lowest attainment, nil without calls.
	Worst *Row `json:"worst,omitempty"`
}

// NewReport works out the report of a scrape.
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

// series returns all series of a scrape in order.
func (s *Scrape) series() []Series {
	var all []Series
	for key := range s.Total {
		all = append(all, key)
	}
	for key := range s.Refused {
		if _, known := s.Total[key]; !known {
			all = append(all, key)
		}
	}
	slices.SortFunc(all, compareSeries)
	return all
}

// seriesCounts are the counts that a row is worked out from.
type seriesCounts struct {
	total   Count
	refused float64
	windows map[time.Duration]Count
}

func newSeriesCounts() *seriesCounts { return &seriesCounts{windows: make(map[time.Duration]Count)} }

func (s *Scrape) countsOf(key Series) *seriesCounts {
	return &seriesCounts{
		total:   s.Total[key],
		refused: s.Refused[key],
		windows: s.Windows[key],
	}
}

func (s *seriesCounts) add(t *seriesCounts) {
	s.total = s.total.Add(t.total)
	s.refused += t.refused
	for window, c := range t.windows {
		s.windows[window] = s.windows[window].Add(c)
	}
}

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
	for _, rule := range alertRules {
		shortExceeds := burnRate(s.windows[rule.short], objective) > rule.threshold
		longExceeds := burnRate(s.windows[rule.long], objective) > rule.threshold
		r.Pages = r.Pages || (shortExceeds && longExceeds)
	}
	return r
}

// burnRate returns the share of failed calls in relation to the share that the
// objective allows.
func burnRate(c Count, objective float64) float64 {
	if objective >= 1 {
		return 0
	}
	return (1 - c.Attainment()) / (1 - objective)
}

// windowName returns a window in the short form 5m or 1h.
func windowName(w time.Duration) string {
	if w%time.Hour == 0 {
		return w.Truncate(time.Hour).String()[:len(w.String())-len("0m0s")]
	}
	return w.String()[:len(w.String())-len("0s")]
}
