package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// newSingleSlotSystem starts a system whose engine runs one call at a time.
func newSingleSlotSystem(t *testing.T) *system {
	t.Helper()
	s := &system{
		log:     start(t, "fake", "log"),
		hosts:   start(t, "fake", "hosts"),
		engine:  start(t, "fake", "engine", "--model", "lengua-8b/v1", "--slots", "1"),
		service: start(t, "fake", "service"),
		agents:  make(map[string]*process),
	}
	s.addAgent(t, "agent-service", "pedidos", "service", s.service)
	p := start(t, "agent", "--settings", writeSettings(t, map[string]any{
		"host": "agent-engine", "zone": "mx-centro-a", "service": "lengua", "kind": "engine",
		"listen": loopback(t), "admin": loopback(t),
		"endpoint": s.engine.address.String(), "slots": 1, "log": s.log.url(), "hosts": s.hosts.url(),
	}))
	s.agents["agent-engine"] = p
	s.registerHost(t, plat.Host{
		Name:    "agent-engine",
		Role:    plat.RoleAgent,
		Zone:    "mx-centro-a",
		Service: "lengua",
		Address: p.address,
		State:   plat.HostLive,
	})
	s.addEntry(t, "entry-1", 0)
	s.publish(t, configText())
	s.awaitServing(t)
	return s
}

// startCompletion sends a completion request on a new connection, without waiting
// for the response.
func (s *system) startCompletion(t *testing.T, prompt string, tokens int, stream bool) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.entries[0].address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	body := fmt.Sprintf(`{"model":"lengua-8b","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
	_, err = fmt.Fprintf(conn,
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		boothKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// runningCalls returns the number of calls that the engine runs.
func (s *system) runningCalls(t *testing.T) int {
	t.Helper()
	var r plat.Report
	if err := json.Unmarshal([]byte(do(t, "GET", s.engine.url()+"/engine/report", "").body), &r); err != nil {
		t.Fatal(err)
	}
	return r.Running
}

// TestDepartedCallersFreeTheEngine checks that a stream ends at the engine when its
// caller disconnects, and that a queued call whose caller disconnects never runs.
func TestDepartedCallersFreeTheEngine(t *testing.T) {
	t.Parallel()
	s := newSingleSlotSystem(t)
	s.engine.setFaults(t, fakes.Faults{TokenMs: 50})
	first := s.startCompletion(t, "first stays a while", 10_000, true)
	eventually(t, "the stream runs", func() bool { return s.runningCalls(t) == 1 })
	second := s.startCompletion(t, "second waits and goes", 10, false)
	time.Sleep(300 * time.Millisecond) // until the call is queued
	_ = second.Close()
	time.Sleep(time.Second) // several checks for disconnected callers
	_ = first.Close()
	eventually(t, "the stream has ended", func() bool { return s.runningCalls(t) == 0 })
	if res := s.complete(t, boothKey, 1, false); res.status != 200 {
		t.Errorf("call after the disconnects: %+v, want 200", res)
	}
	seen := do(t, "GET", s.engine.url()+"/fake/requests", "").body
	if strings.Contains(seen, "second waits") || !strings.Contains(seen, "first stays") {
		t.Errorf("requests at the engine: %s", seen)
	}
}

// TestHopelessCallIsRefusedEarly checks that a call that can't end by its deadline
// is refused early, as not run and overloaded.
func TestHopelessCallIsRefusedEarly(t *testing.T) {
	t.Parallel()
	s := newSingleSlotSystem(t)
	s.engine.setFaults(t, fakes.Faults{TokenMs: 50})
	if res := s.complete(t, boothKey, 20, false); res.status != 200 {
		t.Fatalf("the call that provides the speed estimate: %+v", res)
	}
	s.startCompletion(t, "runs for ten seconds", 200, false)
	eventually(t, "the engine is busy", func() bool { return s.runningCalls(t) == 1 })
	body := `{"model":"lengua-8b","prompt":"order of two hoodies","max_tokens":200}`
	res := do(t, "POST", s.entries[0].url()+"/v1/completions", body,
		"Authorization", "Bearer "+boothKey, "X-Request-Timeout", "5s")
	if res.status != 503 || res.verdict != "not-run" || !strings.Contains(res.body, "overloaded") {
		t.Errorf("answer %+v, want 503 not-run and overloaded", res)
	}
}

// TestLongPromptStaysWithItsCache checks that calls with the same long prompt are
// routed to the engine that has it cached.
func TestLongPromptStaysWithItsCache(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	second := start(t, "fake", "engine", "--model", "lengua-8b/v1")
	s.addAgent(t, "agent-engine-2", "lengua", "engine", second)
	count := func(p *process, prompt string) int {
		return strings.Count(do(t, "GET", p.url()+"/fake/requests", "").body, prompt)
	}
	s.engine.setFaults(t, fakes.Faults{TokenMs: 100})
	eventually(t, "both engines are used", func() bool {
		s.startCompletion(t, "order of two hoodies", 5, false)
		return count(second, "two hoodies") > 0
	})
	s.engine.setFaults(t, fakes.Faults{})
	eventually(t, "the first engine is idle", func() bool { return s.runningCalls(t) == 0 })
	const calls = 12
	body := fmt.Sprintf(`{"model":"lengua-8b","prompt":%q,"max_tokens":1}`, "the rules "+strings.Repeat("of the house ", 400))
	for range calls {
		res := do(t, "POST", s.entries[0].url()+"/v1/completions", body, "Authorization", "Bearer "+boothKey)
		if res.status != 200 {
			t.Fatalf("answer %+v", res)
		}
	}
	first, other := count(s.engine, "the rules"), count(second, "the rules")
	if first+other != calls || min(first, other) != 0 {
		t.Errorf("the engines received the prompt %d and %d times, want all at one engine", first, other)
	}
}
