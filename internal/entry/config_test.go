package entry

import (
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

func TestPeerPassesChangeOn(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"] = true
	second := n.publish(1, "", `{"customers":{"booth":{"ratePerSecond":7}}}`)
	n.run(3 * time.Second)
	n.wantAccepted("b", second)
	if got := n.cores["b"].fold.Text.Customers["booth"].RatePerSecond; got != 7 {
		t.Errorf("rate %v, want 7", got)
	}
	n.run(2 * testLimit)
	n.wantReady("b", true)
}

func TestIsolatedEntryStopsAdmitting(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"], n.cut["b"] = true, true
	n.publish(1, "", `{"customers":{"booth":{"keys":{"a":null}}}}`)
	n.run(testLimit + time.Second)
	n.wantReady("b", false)
	if err := n.cores["b"].admit(n.now, Call{}); fault.CodeOf(err) != fault.CodeNotReady || fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("admit: %v, want not ready, not run", err)
	}
	n.wantReady("a", true)
	n.cut["b"] = false
	n.run(2 * time.Second)
	n.wantReady("b", true)
	n.wantAccepted("b", 2)
}

func TestEntryThatWasPausedRefusesAtOnce(t *testing.T) {
	n, c := keyedCore(t)
	n.now = n.now.Add(time.Minute) // and no tick since
	n.arrive(c, "late", "charge")
	if err := n.refusal("late"); fault.CodeOf(err) != fault.CodeNotReady || fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("refusal %v, want not ready, not run", err)
	}
}

func TestPeerOfALaterReleaseIsNotAskedAgainAtOnce(t *testing.T) {
	n := newNetwork(t, "a")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.apply("a", HostsRead{Hosts: []plat.Host{{Name: "b", Role: plat.RoleEntry, State: plat.HostLive}}})
	n.apply("a", LinkUp{Host: "b", Hello: &wirepb.Hello{Incarnation: 1}})
	n.run(time.Second)
	fold := func(m *wirepb.FoldMessage) {
		n.apply("a", Received{Host: "b", Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: m}}})
	}
	fold(&wirepb.FoldMessage{Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{Accepted: 7, Next: 8}}})
	asks := func() (count int) {
		for _, effect := range n.effects["a"] {
			if e, ok := effect.(Tell); ok && e.Message.GetFold().GetAsk() != nil {
				count++
			}
		}
		return count
	}
	n.run(time.Second)
	later := []byte(`{"format":2}`)
	fold(&wirepb.FoldMessage{Body: &wirepb.FoldMessage_State{State: &wirepb.FoldState{
		Accepted: 7,
		Next:     8,
		Sum:      config.Sum(later),
		Steps:    []*wirepb.FoldStep{{Offset: 7, Text: later}},
	}}})
	before := asks()
	n.run(8 * time.Second)
	if got := asks(); before != 1 || got != before {
		t.Errorf("asked %d times, then %d times more, want 1 and 0", before, got-before)
	}
	n.wantAccepted("a", 1)
}

func TestLogDownForAllServesOn(t *testing.T) {
	n := newNetwork(t, "a", "b", "c")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	for name := range n.cores {
		n.down[name] = true
	}
	n.run(5 * time.Minute)
	for name := range n.cores {
		n.wantReady(name, true)
	}
}

func TestFreshEntryWithLogDown(t *testing.T) {
	names := []string{"a", "b", "c"}
	n := newNetwork(t, names...)
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"] = true
	n.cut["b"] = true
	second := n.publish(1, "", `{"customers":{"booth":{"ratePerSecond":7}}}`)
	n.run(time.Second)
	for name := range n.cores {
		n.down[name] = true
	}
	n.cut["b"] = false
	n.cut["a"] = true
	n.start("c", names)
	n.run(time.Second)
	n.wantReady("c", false) // a has not answered yet
	n.cut["a"] = false
	n.run(5 * time.Second)
	n.wantReady("c", true)
	n.wantAccepted("c", second)
}

func TestFreshEntryAloneWithLogDownIsNotReady(t *testing.T) {
	n := newNetwork(t, "a")
	n.down["a"] = true
	n.run(time.Minute)
	n.wantReady("a", false)
}

func TestLateAnswerTellsNothingOfThePresent(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"], n.cut["b"] = true, true
	late := &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{
			Accepted: 1,
			Next:     2,
			Informed: true,
			Echo:     n.cores["b"].relay.Status(n.now, 0).Sequence,
		}},
	}}}
	n.run(testLimit - time.Second)
	n.apply("b", Received{Host: "a", Message: late})
	n.run(3 * time.Second)
	n.wantReady("b", false)
}

func TestCheckpointOutlivesRetention(t *testing.T) {
	names := []string{"a", "b"}
	n := newNetwork(t, names...)
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.runSteps(3*testRetention, time.Second)
	if n.first == 1 {
		t.Fatal("nothing has expired")
	}
	written := n.first + uint64(len(n.records)) - 2
	if written < 3 || written > 12 {
		t.Errorf("%d checkpoints in 3 retentions by 2 entries, want 3 to 12", written)
	}
	delete(n.cores, "a")
	delete(n.cores, "b")
	n.start("c", []string{"c"})
	n.run(time.Second)
	n.wantReady("c", true)
	n.wantAccepted("c", 1)
}

func TestWrongCheckpointIsAnswered(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.append([]byte(`{"checkpoint":{"upTo":1,"accepted":1,"text":{"format":1}}}`))
	n.run(5 * time.Second)
	n.records = n.records[1:]
	n.first++
	n.cut["c"] = true
	n.start("c", []string{"c"})
	n.run(time.Second)
	n.wantReady("c", true)
	if len(n.cores["c"].fold.Text.Customers) != 1 {
		t.Error("the fresh entry started from the wrong checkpoint")
	}
}

func TestPartOfTheLogIsNotEnoughToServe(t *testing.T) {
	c := NewCore(CoreSettings{Host: "e", Share: 1})
	n := &network{t: t, first: 1}
	n.publish(0, keyedText(), "")
	page := plat.Page{First: 1, Next: 3, Records: n.records}
	for _, effect := range c.Apply(time.Unix(1000, 0), LogRead{Stream: plat.StreamConfig, Page: page}) {
		if r, ok := effect.(Ready); ok && r.Ready {
			t.Error("ready with a record of the log unread")
		}
	}
}
