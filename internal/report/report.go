// Package report summarizes the logs of a fleet: its requests, the changes of its leader,
// the shares of the rates and the loads of models, second by second.
package report

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"dogwoodfold/internal/trace"
)

// Messages of the log lines that are counted.
const (
	// messageCallEnded is logged by an entry when a call has ended.
	messageCallEnded    = "entry: call ended"
	messageLinesDropped = "requests: log lines dropped"
	messageShareExpired = "gate: standing share expired"
	messageOrder        = "orders: answered"
)

// leaderMessages are the messages about changes of the leader.
var leaderMessages = []string{
	"gate: became leader", "gate: stopped leading", "gate: leader resigned", "gate: following leader",
	"gate: connected to leader", "gate: disconnected from leader",
}

// LeaderChange is a log line about a change of the leader.
type LeaderChange struct {
	Time    time.Time
	Host    string
	Message string
	// Subject is the leader that the line is about.
	Subject string
}

// Fleet summarizes the logs of a fleet.
type Fleet struct {
	span span
	// requests is the number of requests in the log, dropped that of the requests whose
	// lines were left out.
	requests      int
	dropped       int
	requestCounts requestTallies
	leaderChanges []LeaderChange
	leaders       tally
	shares        tally
	loads         tally
}

// requestTallies count requests.
type requestTallies struct {
	outcomes  tally
	reasons   tally
	services  tally
	customers tally
	hosts     tally
	deciders  tally
}

// ErrNoLines reports that the logs hold no lines.
var ErrNoLines = errors.New("the logs hold no lines")

// New returns the summary of the logs of all processes.
func New(lines []trace.Line) (*Fleet, error) {
	if len(lines) == 0 {
		return nil, ErrNoLines
	}
	f := &Fleet{
		requestCounts: requestTallies{
			outcomes:  tally{title: "Requests by outcome"},
			reasons:   tally{title: "Requests by reason"},
			services:  tally{title: "Requests by service"},
			customers: tally{title: "Requests by customer"},
			hosts:     tally{title: "Requests by entry"},
			deciders:  tally{title: "Requests by who decided on the endpoint"},
		},
		leaders: tally{title: "Leader changes"},
		shares:  tally{title: "Expired shares of the rates, by entry"},
		loads:   tally{title: "Orders to engines"},
	}
	byTime := func(a, b trace.Line) int { return a.Time.Compare(b.Time) }
	f.span = newSpan(slices.MinFunc(lines, byTime).Time, slices.MaxFunc(lines, byTime).Time)
	for _, l := range lines {
		f.count(l)
	}
	slices.SortStableFunc(f.leaderChanges, func(a, b LeaderChange) int { return a.Time.Compare(b.Time) })
	return f, nil
}

// count counts a log line.
func (f *Fleet) count(l trace.Line) {
	switch {
	case l.Message == trace.RequestEnded || l.Message == messageCallEnded:
		f.requests++
		f.requestCounts.count(l)
	case l.Message == messageLinesDropped:
		f.dropped += int(l.NumberField("dropped"))
	case l.Message == messageShareExpired:
		f.shares.add(l.Time, l.Host)
	case l.Message == messageOrder:
		f.loads.add(l.Time, orderName(l))
	case slices.Contains(leaderMessages, l.Message):
		f.leaders.add(l.Time, l.Message)
		f.leaderChanges = append(f.leaderChanges, LeaderChange{
			Time:    l.Time,
			Host:    l.Host,
			Message: l.Message,
			Subject: l.StringField("subject"),
		})
	}
}

// count counts the line of a request.
func (r *requestTallies) count(l trace.Line) {
	outcome := l.StringField("verdict")
	if status := int(l.NumberField("status")); status > 0 {
		outcome = strconv.Itoa(status) + " " + outcome
	}
	reason := l.StringField("reason")
	if l.Message == messageCallEnded {
		reason = l.StringField("code")
	}
	r.outcomes.add(l.Time, outcome)
	r.reasons.add(l.Time, reason)
	r.services.add(l.Time, l.StringField("service"))
	r.customers.add(l.Time, l.StringField("customer"))
	r.hosts.add(l.Time, l.Host)
	r.deciders.add(l.Time, deciderName(l))
}

// deciderName returns who chose the endpoint of a request.
func deciderName(l trace.Line) string {
	assigned, known := l.BoolField("assigned")
	switch {
	case !known:
		return noValue
	case assigned:
		return "leader"
	default:
		return "entry"
	}
}

// orderName returns what an order was for and its result.
func orderName(l trace.Line) string {
	kind := "unload"
	if load, _ := l.BoolField("load"); load {
		kind = "load"
	}
	model := l.StringField("model")
	if adapter := l.StringField("adapter"); adapter != "" {
		model += "/" + adapter
	}
	return kind + " " + model + ": " + l.StringField("result")
}

// tallies returns all tallies in the order in which they are shown.
func (f *Fleet) tallies() []*tally {
	r := &f.requestCounts
	return []*tally{
		&r.outcomes, &r.reasons, &r.services, &r.customers, &r.hosts, &r.deciders,
		&f.leaders, &f.shares, &f.loads,
	}
}
