package report

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/trace"
)

// readLog parses log lines.
func readLog(t *testing.T, text string) []trace.Line {
	t.Helper()
	lines, skipped, err := trace.Read(strings.NewReader(text))
	if err != nil || skipped > 0 {
		t.Fatalf("skipped %d lines: %v", skipped, err)
	}
	return lines
}

// fleetLog is the log of two gateways and an entry.
const fleetLog = `
{"time":"2026-12-04T10:00:00.5Z","host":"front-1","message":"gate: became leader","subject":"front-1"}
{"time":"2026-12-04T10:00:00.7Z","host":"front-2","message":"gate: following leader","subject":"front-1"}
{"time":"2026-12-04T10:00:01Z","host":"front-1","message":"orders: answered","load":true,"model":"m","adapter":"","result":"accepted"}
{"time":"2026-12-04T10:00:01.1Z","host":"front-1","message":"orders: answered","load":false,"model":"m","adapter":"a","result":"unknown"}
{"time":"2026-12-04T10:00:02Z","host":"front-1","message":"requests: ended","status":200,"verdict":"complete","reason":"none","service":"llm","customer":"acme","assigned":true}
{"time":"2026-12-04T10:00:02.4Z","host":"front-2","message":"requests: ended","status":200,"verdict":"complete","reason":"none","service":"llm","customer":"acme","assigned":false}
{"time":"2026-12-04T10:00:02.9Z","host":"front-2","message":"requests: ended","status":429,"verdict":"not-run","reason":"rate_limited","service":"llm","customer":"<b>&co","assigned":false}
{"time":"2026-12-04T10:00:04.9Z","host":"entry-1","message":"entry: call ended","verdict":"may-have-run","code":"link_broken","service":"pedidos","customer":"acme"}
{"time":"2026-12-04T10:00:05Z","host":"front-2","message":"requests: log lines dropped","dropped":12}
{"time":"2026-12-04T10:00:06Z","host":"front-2","message":"gate: standing share expired","subject":"","ageMs":3}
{"time":"2026-12-04T10:00:07.2Z","host":"front-1","message":"gate: stopped leading","subject":"front-1"}
{"time":"2026-12-04T10:00:07.3Z","host":"front-1","message":"gate: endpoint added","subject":"llm-1"}
`

func TestTotals(t *testing.T) {
	f, err := New(readLog(t, fleetLog))
	if err != nil {
		t.Fatal(err)
	}
	if f.requests != 4 || f.dropped != 12 {
		t.Errorf("%d requests, %d dropped, want 4 and 12", f.requests, f.dropped)
	}
	want := map[string]string{
		"Requests by outcome":                     "[{200 complete 2} {429 not-run 1} {may-have-run 1}]",
		"Requests by reason":                      "[{none 2} {link_broken 1} {rate_limited 1}]",
		"Requests by service":                     "[{llm 3} {pedidos 1}]",
		"Requests by customer":                    "[{acme 3} {<b>&co 1}]",
		"Requests by entry":                       "[{front-2 2} {entry-1 1} {front-1 1}]",
		"Requests by who decided on the endpoint": "[{entry 2} {leader 1} {none 1}]",
		"Leader changes":                          "[{gate: became leader 1} {gate: following leader 1} {gate: stopped leading 1}]",
		"Expired shares of the rates, by entry":   "[{front-2 1}]",
		"Orders to engines":                       "[{load m: accepted 1} {unload m/a: unknown 1}]",
	}
	for _, tally := range f.tallies() {
		if got := fmt.Sprint(tally.totals()); got != want[tally.title] {
			t.Errorf("%s: %s, want %s", tally.title, got, want[tally.title])
		}
		delete(want, tally.title)
	}
	if len(want) > 0 {
		t.Errorf("not counted: %v", want)
	}
}

func TestLinesOverTime(t *testing.T) {
	f, err := New(readLog(t, fleetLog))
	if err != nil {
		t.Fatal(err)
	}
	lines := f.requestCounts.services.lines(f.span)
	if got := fmt.Sprint(lines); got != "[{llm [0 0 3 0 0 0 0 0]} {pedidos [0 0 0 0 1 0 0 0]}]" {
		t.Errorf("lines %s", got)
	}
	labels := f.span.labels()
	if len(labels) != 8 || labels[0] != "10:00:00" || labels[7] != "10:00:07" {
		t.Errorf("labels %v", labels)
	}
}

// TestLongLogsHaveFewPoints checks that the points of a long time stand for several seconds,
// and that no event is lost.
func TestLongLogsHaveFewPoints(t *testing.T) {
	start := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	s := newSpan(start, start.Add(2*time.Hour))
	if s.points() > maxPoints || s.step != 9*time.Second {
		t.Errorf("%d points, one each %v", s.points(), s.step)
	}
	var events tally
	const count = 7201
	for i := range count {
		events.add(start.Add(time.Duration(i)*time.Second), fmt.Sprint("value ", i%20))
	}
	lines := events.lines(s)
	if len(lines) != maxLines+1 || lines[maxLines].name != otherValues {
		t.Fatalf("%d lines, the last one %q", len(lines), lines[len(lines)-1].name)
	}
	sum := 0.0
	for _, l := range lines {
		for _, perSecond := range l.perSecond {
			sum += perSecond * s.step.Seconds()
		}
	}
	if sum < count-0.5 || sum > count+0.5 {
		t.Errorf("lines hold %v events, want %d", sum, count)
	}
}

// reference matches what would make a browser read something else than the page.
var reference = regexp.MustCompile(`(?i)\b(src|href|srcset|data|action)\s*=|url\(|@import|<(script|link|iframe|object|embed|img)\b`)

func TestPageNeedsNoNetwork(t *testing.T) {
	f, err := New(readLog(t, fleetLog))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := f.WriteHTML(&out); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if found := reference.FindString(page); found != "" {
		t.Errorf("the page refers to something else: %q", found)
	}
	for _, url := range regexp.MustCompile(`https?://[^"'<> ]*`).FindAllString(page, -1) {
		if !strings.HasPrefix(url, "http://www.w3.org/") { // names of XML namespaces
			t.Errorf("the page contains the URL %s", url)
		}
	}
	if strings.Contains(page, "<b>&co") || strings.Count(page, "&lt;b&gt;&amp;co") != 2 {
		t.Error("a customer's name is not escaped once in the plot and once in the table")
	}
	if got := strings.Count(page, "<svg"); got != len(f.tallies()) {
		t.Errorf("%d plots, want %d", got, len(f.tallies()))
	}
	for _, text := range []string{
		"4 requests; 12 more were left out", "<h2>Requests by outcome</h2>", "<td>429 not-run</td><td class=\"count\">1</td>",
		"<td>2026-12-04 10:00:07.200</td><td>front-1</td><td>gate: stopped leading</td><td>front-1</td>", "10:00:0",
	} {
		if !strings.Contains(page, text) {
			t.Errorf("the page does not contain %q", text)
		}
	}
}

func TestPageOfQuietFleet(t *testing.T) {
	f, err := New(readLog(t, `{"time":"2026-12-04T10:00:00Z","host":"front-1","message":"entry: starting"}`))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := f.WriteHTML(&out); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<svg") || strings.Count(out.String(), "<p>None.</p>") != len(f.tallies())+1 {
		t.Errorf("page of a log without events: %s", out.String())
	}
}

func TestNoLines(t *testing.T) {
	if _, err := New(nil); !errors.Is(err, ErrNoLines) {
		t.Errorf("error %v, want %v", err, ErrNoLines)
	}
}
