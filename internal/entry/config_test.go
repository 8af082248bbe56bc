package entry

import (
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

func TestConfigChangeFromPeer(t *testing.T) {
	network := newNetwork(t, "a", "b")
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	network.logDown["b"] = true
	update := network.publish(1, "", `{"customers":{"booth":{"ratePerSecond":7}}}`)
	network.run(3 * time.Second)
	network.wantAccepted("b", update)
	if got := network.cores["b"].fold.Config.Customers["booth"].RatePerSecond; got != 7 {
		t.Errorf("rate %v, want 7", got)
	}
	network.run(2 * testIsolationLimit)
	network.wantReady("b", true)
}

func TestIsolatedEntryIsNotReady(t *testing.T) {
	network := newNetwork(t, "a", "b")
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	network.logDown["b"], network.partitioned["b"] = true, true
	network.publish(1, "", `{"customers":{"booth":{"keys":{"a":null}}}}`)
	network.run(testIsolationLimit + time.Second)
	network.wantReady("b", false)
	if err := network.cores["b"].checkAdmission(network.now, Call{}); fault.CodeOf(err) != fault.CodeNotReady ||
		fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("checkAdmission: %v, want not ready, not run", err)
	}
	network.wantReady("a", true)
	network.partitioned["b"] = false
	network.run(2 * time.Second)
	network.wantReady("b", true)
	network.wantAccepted("b", 2)
}

func TestResumedEntryRefusesBeforeFirstTick(t *testing.T) {
	network, core := keyedCore(t)
	network.now = network.now.Add(time.Minute) // without a tick since the last read
	network.arrive(core, "late", "charge")
	if err := network.refusal("late"); fault.CodeOf(err) != fault.CodeNotReady || fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("refusal %v, want not ready, not run", err)
	}
}

func TestUnreadableConfigDelaysNextRequest(t *testing.T) {
	network := newNetwork(t, "a")
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	network.apply("a", HostsRead{Hosts: []plat.Host{{Name: "b", Role: plat.RoleEntry, State: plat.HostLive}}})
	network.apply("a", SessionOpened{Host: "b", Hello: &wirepb.Hello{Incarnation: 1}})
	network.run(time.Second)
	receiveFold := func(message *wirepb.FoldMessage) {
		network.apply("a", MessageReceived{Host: "b", Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: message}}})
	}
	receiveFold(&wirepb.FoldMessage{Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{Accepted: 7, Next: 8}}})
	requestCount := func() (count int) {
		for _, effect := range network.effects["a"] {
			if e, ok := effect.(SendMessage); ok && e.Message.GetFold().GetAsk() != nil {
				count++
			}
		}
		return count
	}
	network.run(time.Second)
	newerText := []byte(`{"format":3}`)
	receiveFold(&wirepb.FoldMessage{Body: &wirepb.FoldMessage_State{State: &wirepb.FoldState{
		Accepted: 7,
		Next:     8,
		Sum:      config.Sum(newerText),
		Steps:    []*wirepb.FoldStep{{Offset: 7, Text: newerText}},
	}}})
	first := requestCount()
	network.run(8 * time.Second)
	if got := requestCount(); first != 1 || got != first {
		t.Errorf("%d requests, then %d more, want 1 and 0", first, got-first)
	}
	network.wantAccepted("a", 1)
}

func TestLogOutageKeepsEntriesReady(t *testing.T) {
	network := newNetwork(t, "a", "b", "c")
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	for name := range network.cores {
		network.logDown[name] = true
	}
	network.run(5 * time.Minute)
	for name := range network.cores {
		network.wantReady(name, true)
	}
}

func TestNewEntryDuringLogOutage(t *testing.T) {
	names := []string{"a", "b", "c"}
	network := newNetwork(t, names...)
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	network.logDown["b"] = true
	network.partitioned["b"] = true
	update := network.publish(1, "", `{"customers":{"booth":{"ratePerSecond":7}}}`)
	network.run(time.Second)
	for name := range network.cores {
		network.logDown[name] = true
	}
	network.partitioned["b"] = false
	network.partitioned["a"] = true
	network.start("c", names)
	network.run(time.Second)
	network.wantReady("c", false) // a has not responded yet
	network.partitioned["a"] = false
	network.run(5 * time.Second)
	network.wantReady("c", true)
	network.wantAccepted("c", update)
}

func TestNewEntryWithoutLogOrPeersIsNotReady(t *testing.T) {
	network := newNetwork(t, "a")
	network.logDown["a"] = true
	network.run(time.Minute)
	network.wantReady("a", false)
}

func TestStaleStatusDoesNotProveFreshness(t *testing.T) {
	network := newNetwork(t, "a", "b")
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	network.logDown["b"], network.partitioned["b"] = true, true
	stale := &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{
			Accepted: 1,
			Next:     2,
			Informed: true,
			Echo:     network.cores["b"].relay.Status(network.now, 0).Sequence,
		}},
	}}}
	network.run(testIsolationLimit - time.Second)
	network.apply("b", MessageReceived{Host: "a", Message: stale})
	network.run(3 * time.Second)
	network.wantReady("b", false)
}

func TestCheckpointsOutliveRetention(t *testing.T) {
	names := []string{"a", "b"}
	network := newNetwork(t, names...)
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	network.runSteps(3*testRetention, time.Second)
	if network.first == 1 {
		t.Fatal("no record has expired")
	}
	written := network.first + uint64(len(network.records)) - 2
	if written < 3 || written > 12 {
		t.Errorf("%d checkpoints in 3 retentions by 2 entries, want 3 to 12", written)
	}
	delete(network.cores, "a")
	delete(network.cores, "b")
	network.start("c", []string{"c"})
	network.run(time.Second)
	network.wantReady("c", true)
	network.wantAccepted("c", 1)
}

func TestInvalidCheckpointIsCorrected(t *testing.T) {
	network := newNetwork(t, "a", "b")
	network.publish(0, keyedConfig(), "")
	network.run(time.Second)
	network.append([]byte(`{"checkpoint":{"upTo":1,"accepted":1,"text":{"format":1}}}`))
	network.run(5 * time.Second)
	network.records = network.records[1:]
	network.first++
	network.partitioned["c"] = true
	network.start("c", []string{"c"})
	network.run(time.Second)
	network.wantReady("c", true)
	if len(network.cores["c"].fold.Config.Customers) != 1 {
		t.Error("the new entry started from the invalid checkpoint")
	}
}

func TestPartialLogReadIsNotReady(t *testing.T) {
	core := NewCore(CoreSettings{Host: "e", FixedShare: 1})
	network := &testNetwork{t: t, first: 1}
	network.publish(0, keyedConfig(), "")
	page := plat.Page{First: 1, Next: 3, Records: network.records}
	for _, effect := range core.Apply(time.Unix(1000, 0), LogRead{Stream: plat.StreamConfig, Page: page}) {
		if r, ok := effect.(SetReady); ok && r.Ready {
			t.Error("ready before the log was read to its end")
		}
	}
}
