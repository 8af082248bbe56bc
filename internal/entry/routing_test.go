package entry

import (
	"testing"
	"time"

	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// TestOnlyEndpointFailuresEject checks that a disconnected caller or a revoked
// key does not count against the agent, and that a failure of the endpoint or
// its connection does.
func TestOnlyEndpointFailuresEject(t *testing.T) {
	now := time.Unix(0, 0)
	for code, ejects := range map[fault.Code]bool{
		fault.CodeCallerGone: false,
		fault.CodeWithdrawn:  false,
		fault.CodeEndpoint:   true,
		fault.CodeLink:       true,
	} {
		core := readyCore(t, now, "a", "b")
		query := route.Query{Service: "pedidos"}
		for range 3 {
			call := &activeCall{sentCall: core.router.RecordSent(now, core.fleet.Peer("a"), query)}
			core.recordOutcome(now, call, Outcome{Err: fault.New(fault.MayHaveRun, code, "failed")})
		}
		picked := false
		for range 50 {
			picked = picked || core.router.Pick(now, query).Host.Name == "a"
		}
		if picked == ejects {
			t.Errorf("after three outcomes with code %s: picked %v, want %v", code, picked, !ejects)
		}
	}
}
