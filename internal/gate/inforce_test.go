package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// testConfigBound is the time within which a new configuration must be in force.
const testConfigBound = 3 * time.Second

// Incident CONFIG: an entry that gets too little processor time for its reads handled requests by a
// configuration that another one had replaced more than the bound ago: those with a key up to 3.3 s
// after its last read, those on public routes without end.
func TestRequestIsNotHandledByConfigurationPastItsBound(t *testing.T) {
	for name, request := range map[string]struct{ path, key string }{
		"key":           {path: "/charge/1", key: "k2"},
		"public route":  {path: "/open/1"},
		"unknown key":   {path: "/charge/1", key: "other"},
		"unknown route": {path: "/nowhere/1", key: "k2"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newServingHarness(t)
			h.advance(testConfigBound - time.Millisecond)
			if _, effects := h.arrive(request.path, request.key); isNotReady(effects) {
				t.Error("refused before the bound")
			}
			h.advance(time.Millisecond)
			_, effects := h.arrive(request.path, request.key)
			h.wantNotRun(effects, fault.CodeNotReady)
			h.apply(ConfigRead{SentAt: h.now})
			if _, effects := h.arrive(request.path, request.key); isNotReady(effects) {
				t.Error("refused although the configuration has been read")
			}
		})
	}
}

// failStore lets time pass in which the store fails all reads of the configuration.
func (h *harness) failStore(d time.Duration) {
	h.apply(Tick{})
	for until := h.now.Add(d); h.now.Before(until); {
		h.advance(50 * time.Millisecond)
		h.apply(Tick{})
		h.apply(ConfigReadFailed{SentAt: h.now})
	}
}

// While the store fails, nobody can change the configuration: the entry goes on with its own, for
// keys as long as these may be used without a proof.
func TestEntryServesWhileStoreFails(t *testing.T) {
	h := newServingHarness(t)
	h.failStore(testConfigBound + 100*time.Millisecond)
	_, effects := h.arrive("/charge/1", "k2")
	h.mustSend(effects)
	h.failStore(time.Minute)
	_, effects = h.arrive("/open/1", "")
	h.mustSend(effects)
	_, effects = h.arrive("/charge/1", "k2")
	h.wantNotRun(effects, fault.CodeNotReady)
}

// Failed reads say nothing of the store if the entry was too slow to see their answers, or if another
// entry could read it.
func TestFailedReadsDoNotExcuseEntryThatIsSlowOrSuperseded(t *testing.T) {
	slow := newServingHarness(t)
	slow.failStore(testConfigBound)
	slow.advance(2 * maxTickGap)
	slow.apply(Tick{})
	slow.advance(50 * time.Millisecond)
	slow.apply(Tick{})
	_, effects := slow.arrive("/open/1", "")
	slow.wantNotRun(effects, fault.CodeNotReady)

	superseded := newFollowerHarness(t)
	superseded.receiveState(&wirepb.GateState{ConfigVersion: 2})
	superseded.failStore(testConfigBound)
	_, effects = superseded.arrive("/open/1", "")
	superseded.wantNotRun(effects, fault.CodeNotReady)
}

func isNotReady(effects []Effect) bool {
	refusal, refused := findEffect[Refuse](effects)
	return refused && fault.CodeOf(refusal.Err) == fault.CodeNotReady
}

// Incident CONFIG: an entry that knew of a newer version from the leader, and that the store
// refused, handled requests on public routes by its own version for as long as that lasted.
func TestSupersededConfigurationIsNotUsedPastItsBound(t *testing.T) {
	h := newFollowerHarness(t)
	h.receiveState(&wirepb.GateState{ConfigVersion: 2})
	h.advance(testConfigBound)
	_, effects := h.arrive("/open/1", "")
	h.wantNotRun(effects, fault.CodeNotReady)
}

// Incident CONFIG: at each new version entries refused requests, since they took a read that the
// leader had sent before the version was published for proof that it had been in force by then.
func TestNewVersionDoesNotVoidEarlierProof(t *testing.T) {
	leader := newLeaderHarness(t)
	leader.apply(PeerConnected{Host: "front-3"})
	follower := newFollowerHarness(t)
	follower.advance(reportInterval)
	report, ok := findEffect[SendReport](follower.apply(Tick{}))
	if !ok {
		t.Fatal("no report")
	}
	leader.now = follower.now
	leader.apply(ReportReceived{Host: "front-3", Report: report.Report})
	sentAt := leader.now
	leader.advance(200 * time.Millisecond)
	follower.advance(200 * time.Millisecond)
	follower.apply(ConfigRead{SentAt: follower.now}) // before the version below is published
	leader.advance(100 * time.Millisecond)
	follower.advance(100 * time.Millisecond)
	second := testConfig()
	second.Version = 2
	for _, e := range leader.apply(ConfigRead{Config: second, SentAt: sentAt}) {
		if state, ok := e.(SendState); ok {
			follower.apply(StateReceived{Host: "front-2", State: state.State})
		}
	}
	if follower.core.relayedVersion != 2 {
		t.Fatal("the leader doesn't tell of the new version at once")
	}
	_, effects := follower.arrive("/charge/1", "k2")
	follower.mustSend(effects)
}

// An entry that was slow after its last proof may have missed a change before the store began to fail.
// It must go on refusing until it has read the configuration, though it isn't slow any longer.
func TestSlowEntryDoesNotServeAgainWithoutProof(t *testing.T) {
	h := newServingHarness(t)
	h.failStore(testConfigBound / 3)
	h.advance(2 * maxTickGap)
	h.failStore(testConfigBound)
	for range 2 {
		_, effects := h.arrive("/open/1", "")
		h.wantNotRun(effects, fault.CodeNotReady)
		h.failStore(2 * testConfigBound)
	}
}

// The same cause as that of the incident CONFIG, for endpoints that leave (DRAIN): an entry that is slow
// to read the registry must not send requests by a list that is older than the bound on leaving.
func TestEndpointsAreNotUsedPastTheirBound(t *testing.T) {
	const drainBound = 3 * time.Second
	h := newServingHarness(t)
	h.advance(drainBound)
	h.apply(ConfigRead{SentAt: h.now})
	_, effects := h.arrive("/charge/1", "k2")
	h.wantNotRun(effects, fault.CodeNotReady)
}
