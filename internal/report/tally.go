package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// event is something that happened once, counted under a value, such as a request under
// its outcome.
type event struct {
	time  time.Time
	value string
}

// tally counts events by value.
type tally struct {
	title  string
	events []event
}

// add counts an event. Events without a value are counted under "none".
func (t *tally) add(now time.Time, value string) {
	if value == "" {
		value = noValue
	}
	t.events = append(t.events, event{
		time:  now,
		value: value,
	})
}

const (
	// noValue is the value of events that have none.
	noValue = "none"
	// otherValues is the name of the values that have no line of their own in a plot.
	otherValues = "other"
	// maxLines is the highest number of values that have a line of their own in a plot.
	maxLines = 8
	// maxPoints is the highest number of points of a line.
	maxPoints = 900
)

// total is the number of events with a value.
type total struct {
	Value string
	Count int
}

// totals returns the number of events of each value, the most frequent ones first.
func (t *tally) totals() []total {
	counts := make(map[string]int)
	for _, e := range t.events {
		counts[e.value]++
	}
	totals := make([]total, 0, len(counts))
	for _, value := range slices.Sorted(maps.Keys(counts)) {
		totals = append(totals, total{
			Value: value,
			Count: counts[value],
		})
	}
	slices.SortStableFunc(totals, func(a, b total) int { return cmp.Compare(b.Count, a.Count) })
	return totals
}

// span is the time that a report covers.
type span struct {
	start time.Time
	end   time.Time
	// step is the time between two points of a line, in whole seconds.
	step time.Duration
}

// newSpan returns the span from the second of start to that of end.
func newSpan(start, end time.Time) span {
	s := span{
		start: start.Truncate(time.Second),
		end:   end,
		step:  time.Second,
	}
	for s.points() > maxPoints {
		s.step += time.Second
	}
	return s
}

// points returns the number of points of a line.
func (s span) points() int { return int(s.end.Sub(s.start)/s.step) + 1 }

// index returns the index of the point that an event at a time belongs to.
func (s span) index(at time.Time) int { return int(at.Sub(s.start) / s.step) }

// line is the rate of the events with a value over time.
type line struct {
	name string
	// perSecond are the events a second at each point.
	perSecond []float64
}

// lines returns the rates of the most frequent values, and that of all others in one.
func (t *tally) lines(s span) []line {
	totals := t.totals()
	lines := make([]line, 0, maxLines+1)
	index := make(map[string]int)
	for i, value := range totals {
		if i <= maxLines {
			lines = append(lines, line{
				name:      value.Value,
				perSecond: make([]float64, s.points()),
			})
		}
		index[value.Value] = min(i, maxLines)
	}
	if len(totals) > maxLines {
		lines[maxLines].name = otherValues
	}
	for _, e := range t.events {
		lines[index[e.value]].perSecond[s.index(e.time)] += 1 / s.step.Seconds()
	}
	return lines
}
