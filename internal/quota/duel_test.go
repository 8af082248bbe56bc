package quota

import (
	"testing"
	"time"

	"dogwoodfold/internal/plat"
)

// sharedLog delivers every record to each of several nodes that exchange no
// messages.
type sharedLog struct {
	nodes   []*Node
	records []plat.Record
}

// append carries out the Append effects of a node.
func (l *sharedLog) append(now time.Time, effects []Effect) {
	for _, effect := range effects {
		if a, ok := effect.(Append); ok {
			l.records = append(l.records, plat.Record{
				Offset: uint64(len(l.records) + 1),
				Time:   now,
				Data:   a.Data,
			})
		}
	}
}

// countTerms advances the nodes by d and returns the number of terms that
// began.
func (l *sharedLog) countTerms(now time.Time, d time.Duration) (terms int) {
	read := 0
	last := uint64(0)
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		page := plat.Page{
			First:   1,
			Next:    uint64(len(l.records) + 1),
			Records: l.records[read:],
		}
		read = len(l.records)
		for _, n := range l.nodes {
			l.append(now, n.ApplyLog(now, page))
			l.append(now, n.Tick(now))
		}
		if term := l.nodes[0].log.Term; term != last {
			terms++
			last = term
		}
	}
	return terms
}

// newPartitionedNodes returns two nodes that share the log but exchange no
// messages.
func newPartitionedNodes(now time.Time, withAgentSession bool) *sharedLog {
	l := &sharedLog{}
	for i, host := range []string{"entry-1", "entry-2"} {
		n := NewNode(host, uint64(i+1), uint64(i+1))
		n.SetLimits(now, map[string]Limit{"booth": {Rate: 10, Burst: 100}})
		n.SetAgents(now, []string{"agent"})
		if withAgentSession {
			n.SetAgentSession(now, "agent", 7)
		}
		l.nodes = append(l.nodes, n)
	}
	return l
}

// TestEntryWithoutAgentsDoesNotClaim checks that an entry that reaches no
// agent, and so could not install a view, does not claim a term.
func TestEntryWithoutAgentsDoesNotClaim(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	if terms := newPartitionedNodes(now, false).countTerms(now, time.Minute); terms != 0 {
		t.Errorf("%d terms, want none", terms)
	}
}

// TestPartitionedEntriesClaimLessOften checks that two entries that share the
// log but exchange no messages don't keep ending each other's terms.
func TestPartitionedEntriesClaimLessOften(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const maxTerms = 60 // one per minute
	terms := newPartitionedNodes(now, true).countTerms(now, time.Hour)
	t.Logf("%d terms in an hour", terms)
	if terms == 0 || terms > maxTerms+10 {
		t.Errorf("%d terms in an hour, want 1 to %d", terms, maxTerms+10)
	}
}
