package burn

import (
	"fmt"
	"io"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Scrape holds the metrics of one or more entries that a report is computed from.
type Scrape struct {
	Total      map[Series]Count
	Refused    map[Series]float64
	Windows    map[Series]map[time.Duration]Count
	Objectives map[string]float64
}

// NewScrape returns an empty scrape.
func NewScrape() *Scrape {
	return &Scrape{
		Total:      make(map[Series]Count),
		Refused:    make(map[Series]float64),
		Windows:    make(map[Series]map[time.Duration]Count),
		Objectives: make(map[string]float64),
	}
}

// Read adds the metrics of one entry, in the Prometheus text format.
func (s *Scrape) Read(r io.Reader) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return fmt.Errorf("parsing metrics: %w", err)
	}
	s.addTotals(families)
	return s.addWindows(families)
}

// addTotals adds the metrics that have no window.
func (s *Scrape) addTotals(families map[string]*dto.MetricFamily) {
	for _, m := range families[metricAttained].GetMetric() {
		s.addTotal(m, Count{Attained: m.GetCounter().GetValue()})
	}
	for _, m := range families[metricOffered].GetMetric() {
		s.addTotal(m, Count{Offered: m.GetCounter().GetValue()})
	}
	for _, m := range families[metricRefused].GetMetric() {
		s.Refused[seriesOf(m)] += m.GetCounter().GetValue()
	}
	for _, m := range families[metricObjective].GetMetric() {
		s.Objectives[labelValue(m, labelService)] = m.GetGauge().GetValue()
	}
}

// addWindows adds the metrics over sliding windows.
func (s *Scrape) addWindows(families map[string]*dto.MetricFamily) error {
	for _, m := range families[metricWindowAttained].GetMetric() {
		if err := s.addWindow(m, Count{Attained: m.GetGauge().GetValue()}); err != nil {
			return err
		}
	}
	for _, m := range families[metricWindowOffered].GetMetric() {
		if err := s.addWindow(m, Count{Offered: m.GetGauge().GetValue()}); err != nil {
			return err
		}
	}
	return nil
}

// addTotal adds a count to the total of a metric's series.
func (s *Scrape) addTotal(m *dto.Metric, c Count) {
	key := seriesOf(m)
	s.Total[key] = s.Total[key].Add(c)
}

// addWindow adds a count to the window of a metric's series.
func (s *Scrape) addWindow(m *dto.Metric, c Count) error {
	window, err := time.ParseDuration(labelValue(m, labelWindow))
	if err != nil {
		return fmt.Errorf("parsing the window of a metric: %w", err)
	}
	key := seriesOf(m)
	if s.Windows[key] == nil {
		s.Windows[key] = make(map[time.Duration]Count)
	}
	s.Windows[key][window] = s.Windows[key][window].Add(c)
	return nil
}

// Since returns the scrape with the totals of an earlier one subtracted. A counter
// that has decreased was reset by a restart and counts from zero, so nothing is
// subtracted from it.
func (s *Scrape) Since(earlier *Scrape) *Scrape {
	diff := NewScrape()
	diff.Windows, diff.Objectives = s.Windows, s.Objectives
	for key, c := range s.Total {
		before := earlier.Total[key]
		if before.Offered > c.Offered {
			before = Count{}
		}
		diff.Total[key] = Count{
			Attained: c.Attained - before.Attained,
			Offered:  c.Offered - before.Offered,
		}
	}
	for key, count := range s.Refused {
		before := earlier.Refused[key]
		if before > count {
			before = 0
		}
		diff.Refused[key] = count - before
	}
	return diff
}

// seriesOf returns the series that a metric's labels name.
func seriesOf(m *dto.Metric) Series {
	return Series{
		Service:  labelValue(m, labelService),
		Customer: labelValue(m, labelCustomer),
	}
}

// labelValue returns the value of a metric's label, or "" if it has none.
func labelValue(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
