package burn_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"dogwoodfold/internal/burn"
)

// exportMetrics returns the metrics of a registry in the Prometheus text format.
func exportMetrics(t *testing.T, registry *prometheus.Registry) string {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			t.Fatal(err)
		}
	}
	return b.String()
}

func parseMetrics(t *testing.T, texts ...string) *burn.Scrape {
	t.Helper()
	s := burn.NewScrape()
	for _, text := range texts {
		if err := s.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestReport checks a report against numbers calculated by hand: 1,000 calls with
// an objective of 95% allow 50 failures.
func TestReport(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	registry := prometheus.NewRegistry()
	recorder := burn.NewRecorder(registry, func() time.Time { return now })
	recorder.SetObjective("lengua", 0.95)
	booth := burn.Series{Service: "lengua", Customer: "booth"}
	fan := burn.Series{Service: "lengua", Customer: "fan"}
	for i := range 800 {
		recorder.RecordCall(now, booth, i >= 20) // 780 of 800 attained, 97.5%
	}
	for i := range 200 {
		recorder.RecordCall(now, fan, i >= 180) // 20 of 200 attained, 10%
	}
	recorder.RecordRefusal(fan)
	report := burn.NewReport(parseMetrics(t, exportMetrics(t, registry)))
	service := report.Services[0]
	if service.Offered != 1000 || !almostEqual(service.Attainment, 0.8) || !almostEqual(service.BudgetSpent, 4) {
		t.Errorf("service = %+v, want 1000 offered, 80%% attained, 4 times the budget spent", service)
	}
	if service.Pages {
		t.Error("Pages is true for a burn rate of 4, want false")
	}
	if report.Worst.Customer != "fan" || !almostEqual(report.Worst.BurnRates["5m"], 18) || !report.Worst.Pages {
		t.Errorf("worst = %+v, want customer fan with a burn rate of 18 and Pages set", report.Worst)
	}
	if report.Worst.RefusedWithinRate != 1 {
		t.Errorf("refused within rate = %v, want 1", report.Worst.RefusedWithinRate)
	}
}

func TestSlidingWindows(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tracker := burn.NewTracker()
	series := burn.Series{Service: "lengua", Customer: "booth"}
	tracker.Record(start, series, false)
	later := start.Add(10 * time.Minute)
	tracker.Record(later, series, true)
	if c := tracker.Sum(later, series, 5*time.Minute); c != (burn.Count{Attained: 1, Offered: 1}) {
		t.Errorf("5-minute window: %+v, want the second call only", c)
	}
	if c := tracker.Sum(later, series, time.Hour); c != (burn.Count{Attained: 1, Offered: 2}) {
		t.Errorf("1-hour window: %+v, want both calls", c)
	}
	if c := tracker.Sum(start.Add(7*time.Hour), series, 6*time.Hour); c != (burn.Count{}) {
		t.Errorf("6-hour window 7 hours later: %+v, want no calls", c)
	}
}

func TestScrapesAreSummed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var texts []string
	for range 2 {
		registry := prometheus.NewRegistry()
		recorder := burn.NewRecorder(registry, func() time.Time { return now })
		recorder.SetObjective("lengua", 0.9)
		recorder.RecordCall(now, burn.Series{Service: "lengua", Customer: "booth"}, true)
		texts = append(texts, exportMetrics(t, registry))
	}
	both := parseMetrics(t, texts...)
	if row := burn.NewReport(both).Services[0]; row.Offered != 2 || row.BudgetSpent != 0 {
		t.Errorf("row = %+v, want 2 offered and no budget spent", row)
	}
	if row := burn.NewReport(both.Since(parseMetrics(t, texts[0]))).Services[0]; row.Offered != 1 {
		t.Errorf("difference from the first scrape: %v offered, want 1", row.Offered)
	}
}

func TestPrint(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	registry := prometheus.NewRegistry()
	recorder := burn.NewRecorder(registry, func() time.Time { return now })
	recorder.SetObjective("lengua", 0.95)
	recorder.RecordCall(now, burn.Series{Service: "lengua", Customer: "<booth>"}, true)
	report := burn.NewReport(parseMetrics(t, exportMetrics(t, registry)))
	var text, html bytes.Buffer
	if err := burn.Print(&text, report); err != nil {
		t.Fatal(err)
	}
	if err := burn.WriteHTML(&html, report); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "worst-served customer: <booth> at lengua, 100.00% attained") {
		t.Errorf("text:\n%s", &text)
	}
	if strings.Contains(html.String(), "<booth>") || !strings.Contains(html.String(), "&lt;booth&gt;") {
		t.Error("the customer name is not escaped in the HTML page")
	}
}
