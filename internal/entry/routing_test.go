package entry

import (
	"testing"
	"time"

	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// TestOnlyTheEndpointsFailuresEject checks that a caller that goes away does
// not count against the agent, and that a failure of the endpoint does.
func TestOnlyTheEndpointsFailuresEject(t *testing.T) {
	now := time.Unix(0, 0)
	for code, ejects := range map[fault.Code]bool{
		fault.CodeCallerGone: false,
		fault.CodeWithdrawn:  false,
		fault.CodeEndpoint:   true,
		fault.CodeLink:       true,
	} {
		c := readyCore(t, now, "a", "b")
		query := route.Query{Service: "pedidos"}
		for range 3 {
			r := &running{ticket: c.router.RecordSent(now, c.fleet.Peer("a"), query)}
			c.routed(now, r, Outcome{Err: fault.New(fault.MayHaveRun, code, "over")})
		}
		picked := false
		for range 50 {
			picked = picked || c.router.Pick(now, query).Host.Name == "a"
		}
		if picked == ejects {
			t.Errorf("after three times %s: picked %v, want %v", code, picked, !ejects)
		}
	}
}
