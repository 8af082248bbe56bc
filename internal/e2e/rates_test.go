package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
)

// completeVia requests a completion through one entry. The call reserves about 27
// tokens more than the limit.
func (s *system) completeVia(t *testing.T, entry int, key string, limit int) callResult {
	t.Helper()
	body := fmt.Sprintf(`{"model":"lengua-8b","prompt":"order of two hoodies","max_tokens":%d,"stream":false}`, limit)
	return do(t, "POST", s.entries[entry].url()+"/v1/completions", body, "Authorization", "Bearer "+key)
}

// newTwoEntrySystem returns a system with two entries that share the rate limits.
func newTwoEntrySystem(t *testing.T) *system {
	t.Helper()
	s := newSystem(t)
	s.addEntry(t, "entry-2", 0)
	eventually(t, "both entries serve", func() bool {
		return s.completeVia(t, 0, boothKey, 1).status == 200 && s.completeVia(t, 1, boothKey, 1).status == 200
	})
	return s
}

// TestShareMovesToWhereItIsAsked checks that the share of a rate limit moves to the
// entry with the demand: it spends more than half of a burst through each entry in
// turn.
func TestShareMovesToWhereItIsAsked(t *testing.T) {
	t.Parallel()
	s := newTwoEntrySystem(t)
	for entry := range s.entries {
		eventually(t, "the share has moved and filled", func() bool {
			return s.completeVia(t, entry, otherKey, 55).status == 200
		})
	}
	if res := s.completeVia(t, 0, otherKey, 55); res.status != 429 || res.verdict != "not-run" {
		t.Errorf("beyond the burst: %+v, want 429 not-run", res)
	}
}

// TestKilledEntrysShareComesBack checks that the share of a killed entry is
// recovered: the call needs more of the burst than the share of the remaining entry
// and the pool can hold.
func TestKilledEntrysShareComesBack(t *testing.T) {
	t.Parallel()
	for killed := range 2 {
		t.Run(fmt.Sprintf("entry-%d", killed+1), func(t *testing.T) {
			t.Parallel()
			s := newTwoEntrySystem(t)
			if err := s.entries[killed].cmd.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the share of the killed entry is recovered", func() bool {
				return s.completeVia(t, 1-killed, otherKey, 40).status == 200
			})
		})
	}
}

// TestPausedEntryIsRefusedAndRejoins pauses an entry for longer than the other
// entries wait for a silent one.
func TestPausedEntryIsRefusedAndRejoins(t *testing.T) {
	t.Parallel()
	s := newTwoEntrySystem(t)
	p := s.entries[1].cmd.Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(6 * time.Second)
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the entry serves again", func() bool {
		res := s.completeVia(t, 1, boothKey, 1)
		if res.status != 200 && res.verdict != "not-run" {
			t.Errorf("refused with %+v, want not-run", res)
		}
		return res.status == 200
	})
}

// TestStaticShareNeedsStaticAgents runs an entry with a static share with an agent
// that accepts static rates and with one that requires a view of the shares.
func TestStaticShareNeedsStaticAgents(t *testing.T) {
	t.Parallel()
	for rates, want := range map[string]int{"static": 200, "shares": 503} {
		s := &system{
			log:    start(t, "fake", "log"),
			hosts:  start(t, "fake", "hosts"),
			agents: make(map[string]*process),
		}
		agent := start(t, "agent", "--settings", writeSettings(t, map[string]any{
			"host": "agent-1", "zone": "mx-centro-a", "service": "pedidos", "kind": "service", "rates": rates,
			"listen": loopback(t), "admin": loopback(t), "endpoint": start(t, "fake", "service").address.String(),
			"slots": 16, "log": s.log.url(), "hosts": s.hosts.url(),
		}))
		s.registerHost(t, plat.Host{
			Name:    "agent-1",
			Role:    plat.RoleAgent,
			Service: "pedidos",
			Address: agent.address,
			State:   plat.HostLive,
		})
		s.addEntry(t, "entry-1", 0.5)
		s.publish(t, plainConfig())
		eventually(t, fmt.Sprint(rates, " agent answers"), func() bool {
			res := do(t, "POST", s.entries[0].url()+"/charge", "hoodie", "X-Api-Key", boothKey)
			return res.status == want && (want == 200 || res.verdict == "not-run" && strings.Contains(res.body, "entry_fenced"))
		})
	}
}

// TestStatusShowsShares checks that the status pages of the entries name the same
// coordinator, and that the shares of a customer's rate don't exceed the whole.
func TestStatusShowsShares(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.addEntry(t, "entry-2", 0)
	type status struct {
		Rates struct {
			Coordinator string
			Shares      map[string]struct{ Fraction float64 }
		}
	}
	eventually(t, "both entries hold shares of one coordinator", func() bool {
		var seen [2]status
		total := 0.0
		for i, p := range s.entries {
			res := do(t, "GET", "http://"+p.admin.String()+"/status", "")
			if json.Unmarshal([]byte(res.body), &seen[i]) != nil {
				return false
			}
			total += seen[i].Rates.Shares["booth"].Fraction
		}
		coordinator := seen[0].Rates.Coordinator
		return coordinator != "" && coordinator == seen[1].Rates.Coordinator && seen[1].Rates.Shares["booth"].Fraction > 0 && total <= 1
	})
}
