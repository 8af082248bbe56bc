package entry

import (
	"testing"
	"time"

	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// TestOnlyEndpointFailuresEject checks that a caller that goes away does
// not count against the agent, and that a failure of the endpoint does.
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
			call := &activeCall{ticket: core.router.RecordSent(now, core.fleet.Peer("a"), query)}
			core.recordOutcome(now, call, Outcome{Err: fault.New(fault.MayHaveRun, code, "over")})
		}
		picked := false
		for range 50 {
			picked = picked || core.router.Pick(now, query).Host.Name == "a"
		}
		if picked == ejects {
			t.Errorf("after three times %s: picked %v, want %v", code, picked, !ejects)
		}
	}
}
