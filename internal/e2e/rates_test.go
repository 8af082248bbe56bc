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

// completeVia makes a call through one entry that reserves about 27 tokens more than
// the limit.
func (s *system) completeVia(t *testing.T, entry int, key string, limit int) callResult {
	t.Helper()
	body := fmt.Sprintf(`{"model":"lengua-8b","prompt":"order of two hoodies","max_tokens":%d,"stream":false}`, limit)
	return do(t, "POST", s.entries[entry].url()+"/v1/completions", body, "Authorization", "Bearer "+key)
}

// newTwoEntrySystem returns a system of two entries that share the rates.
func newTwoEntrySystem(t *testing.T) *system {
	t.Helper()
	s := newSystem(t)
	s.addEntry(t, "entry-2", 0)
	eventually(t, "both entries serve", func() bool {
		return s.completeVia(t, 0, boothKey, 1).status == 200 && s.completeVia(t, 1, boothKey, 1).status == 200
	})
	return s
}

// TestShareMovesToWhereItIsAsked spends more than half of a burst through
// either entry in turn.
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

// TestKilledEntrysShareComesBack needs more of the burst at the entry that is
// left than its own share and the pool can hold.
func TestKilledEntrysShareComesBack(t *testing.T) {
	for killed := range 2 {
		t.Run(fmt.Sprintf("entry-%d", killed+1), func(t *testing.T) {
			t.Parallel()
			s := newTwoEntrySystem(t)
			if err := s.entries[killed].cmd.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the share is back", func() bool {
				return s.completeVia(t, 1-killed, otherKey, 40).status == 200
			})
		})
	}
}

// TestPausedEntryIsRefusedAndRejoins stops an entry for longer than the others
// wait for it.
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

// TestStaticShareNeedsStaticAgents runs an entry with a fixed share beside an
// agent that trusts it and one that wants a view.
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
			"listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "endpoint": start(t, "fake", "service").address.String(),
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

// TestStatusShowsShares checks that the entries' status names one coordinator,
// and that no more than the whole of a customer's rate is held.
func TestStatusShowsShares(t *testing.T) {
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
