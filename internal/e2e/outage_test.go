package e2e

import (
	"testing"

	"dogwoodfold/internal/fakes"
)

// TestAgentThatStartsWhileTheLogIsDownServes kills the only agent of a service
// while the log is down. Its replacement must serve calls.
func TestAgentThatStartsWhileTheLogIsDownServes(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.addEntry(t, "entry-2", 0) // a single entry would stop admitting calls as isolated
	eventually(t, "the second entry is ready", func() bool {
		return do(t, "GET", s.entries[1].url()+"/readyz", "").status == 200
	})
	s.log.setFaults(t, fakes.Faults{Down: true})
	if err := s.agents["agent-service"].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	s.addAgent(t, "agent-service-2", "pedidos", "service", s.service)
	var last callResult
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last result: %+v", last)
		}
	})
	eventually(t, "a customer's call is served", func() bool {
		last = s.charge(t, "hoodie")
		return last.status == 200
	})
}
