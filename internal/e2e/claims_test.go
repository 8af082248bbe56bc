package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// plainSystem is a system with several endpoints of the plain service "pedidos",
// each with its own agent, and several entries.
type plainSystem struct {
	system
	services []*process
}

// plainConfig returns a configuration that permits both customers to charge, and
// has a route that runs without the log and a route with open access.
func plainConfig() string {
	return fmt.Sprintf(`{"format":1,
"services":{"pedidos":{"kind":"plain"}},
"customers":{
 "booth":{"keys":{"a":{"sha256":"%s"}},"ratePerSecond":1000000,"burstTokens":1000000,"services":["pedidos"]},
 "other":{"keys":{"a":{"sha256":"%s"}},"ratePerSecond":1000000,"burstTokens":1000000,"services":["pedidos"]}},
"routes":{
 "charge":{"path":"/charge","methods":["POST"],"service":"pedidos","access":"keyed","priority":"interactive",
  "tokensPerCall":1,"query":["note"],"headers":["X-Note"]},
 "loose":{"path":"/loose","methods":["POST"],"service":"pedidos","access":"keyed","priority":"interactive",
  "tokensPerCall":1,"runWithoutLog":true},
 "stock":{"path":"/stock","service":"pedidos","access":"open","priority":"interactive","idempotent":true}}}`,
		config.DigestKey([]byte(boothKey)), config.DigestKey([]byte(otherKey)))
}

// newPlainSystem starts a plainSystem and waits until each entry serves charges.
func newPlainSystem(t *testing.T, agents, entries int) *plainSystem {
	t.Helper()
	s := &plainSystem{system: system{
		log:    start(t, "fake", "log"),
		hosts:  start(t, "fake", "hosts"),
		agents: make(map[string]*process),
	}}
	for i := range agents {
		service := start(t, "fake", "service")
		s.services = append(s.services, service)
		s.addAgent(t, fmt.Sprint("agent-", i), "pedidos", "service", service)
	}
	for i := range entries {
		s.addEntry(t, fmt.Sprint("entry-", i), 0)
	}
	s.publish(t, plainConfig())
	for i := range entries {
		eventually(t, "charges are served", func() bool {
			return s.chargeVia(t, i, "/charge", "warm-up", "").status == 200
		})
	}
	return s
}

// chargeVia makes a charge through an entry, with an idempotency key unless key is
// empty.
func (s *plainSystem) chargeVia(t *testing.T, entry int, path, body, key string, headers ...string) callResult {
	t.Helper()
	headers = append(headers, "X-Api-Key", boothKey)
	if key != "" {
		headers = append(headers, "Idempotency-Key", key)
	}
	return do(t, "POST", s.entries[entry].url()+path, body, headers...)
}

// runCount returns the number of requests with a body that reached the services.
func (s *plainSystem) runCount(t *testing.T, body string) int {
	t.Helper()
	n := 0
	for _, service := range s.services {
		n += len(requestsWith(t, service, body))
	}
	return n
}

// requestsWith returns the requests with a body that a fake has received.
func requestsWith(t *testing.T, p *process, body string) []fakes.Request {
	t.Helper()
	var matching []fakes.Request
	for _, r := range allRequests(t, p) {
		if r.Body == body {
			matching = append(matching, r)
		}
	}
	return matching
}

// allRequests returns the requests that a fake has received.
func allRequests(t *testing.T, p *process) []fakes.Request {
	t.Helper()
	var all []fakes.Request
	if err := json.Unmarshal([]byte(do(t, "GET", p.url()+"/fake/requests", "").body), &all); err != nil {
		t.Fatal(err)
	}
	return all
}

// setServiceDelay sets the time that each service takes for a call.
func (s *plainSystem) setServiceDelay(t *testing.T, milliseconds int) {
	t.Helper()
	for _, service := range s.services {
		service.setFaults(t, fakes.Faults{TokenMs: milliseconds})
	}
}

// awaitRunningAgent waits until a service has received a request with a body, and
// returns the name of its agent.
func (s *plainSystem) awaitRunningAgent(t *testing.T, body string) (name string) {
	t.Helper()
	eventually(t, "a service has received the call "+body, func() bool {
		for i, service := range s.services {
			if len(requestsWith(t, service, body)) > 0 {
				name = fmt.Sprint("agent-", i)
				return true
			}
		}
		return false
	})
	return name
}

// chargeInBackground makes a charge through the first entry and returns a channel
// that receives its result. Like real callers, it retries after a refusal as not
// run.
func (s *plainSystem) chargeInBackground(t *testing.T, body, key string) <-chan callResult {
	t.Helper()
	result := make(chan callResult, 1)
	go func() {
		res := s.chargeVia(t, 0, "/charge", body, key)
		for range 50 {
			if res.status != 503 || res.verdict != "not-run" {
				break
			}
			time.Sleep(100 * time.Millisecond)
			res = s.chargeVia(t, 0, "/charge", body, key)
		}
		result <- res
	}()
	return result
}

func TestRepeatsThroughAnyEntry(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 3, 2)
	s.setServiceDelay(t, 200)
	var wg sync.WaitGroup
	results := make([]callResult, 12)
	for i := range results {
		wg.Go(func() { results[i] = s.chargeVia(t, i%2, "/charge", "hoodie", "key-1") })
	}
	wg.Wait()
	for i, res := range append(results, s.chargeVia(t, 1, "/charge", "hoodie", "key-1")) {
		if res.status != 200 || res.body != results[0].body || res.verdict != "ran" {
			t.Errorf("result %d = %+v, want %+v", i, res, results[0])
		}
	}
	if n := s.runCount(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	if res := s.chargeVia(t, 1, "/charge", "two hoodies", "key-1"); res.status != 409 || res.verdict != "not-run" {
		t.Errorf("same key with another body: %+v, want 409 not-run", res)
	}
	res := do(t, "POST", s.entries[0].url()+"/charge", "hoodie", "X-Api-Key", otherKey, "Idempotency-Key", "key-1")
	if res.status != 200 || s.runCount(t, "hoodie") != 2 {
		t.Errorf("another customer's call with the same key: %+v, %d runs; want a run of its own", res, s.runCount(t, "hoodie"))
	}
	if res := s.chargeVia(t, 0, "/loose", "hoodie", "key-1"); res.status != 200 || s.runCount(t, "hoodie") != 3 {
		t.Errorf("another route's call with the same key: %+v, want a run of its own", res)
	}
}

func TestRepeatAfterTheAgentDied(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 3, 2)
	s.setServiceDelay(t, 1500)
	first := s.chargeInBackground(t, "hoodie", "key-1")
	name := s.awaitRunningAgent(t, "hoodie")
	if err := s.agents[name].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	retry := s.chargeVia(t, 1, "/charge", "hoodie", "key-1")
	if retry.status == 200 || retry.verdict == "not-run" {
		t.Errorf("retry = %+v, want may-have-run", retry)
	}
	if res := <-first; res.status == 200 || res.verdict != "may-have-run" {
		t.Errorf("first call = %+v, want may-have-run", res)
	}
	// The agent is replaced on the same host. The new process learns of the claim
	// from the log.
	index := int(name[len(name)-1] - '0')
	s.addAgent(t, name, "pedidos", "service", s.services[index])
	for range 10 {
		if res := s.chargeVia(t, 1, "/charge", "hoodie", "key-1"); res.status == 200 || res.verdict == "not-run" {
			t.Errorf("later retry = %+v, want may-have-run", res)
		}
	}
	if n := s.runCount(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestRepeatAfterTheEntryDied(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 3, 2)
	s.setServiceDelay(t, 1000)
	first := s.chargeInBackground(t, "hoodie", "key-1")
	s.awaitRunningAgent(t, "hoodie")
	if err := s.entries[0].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-first
	if res := s.chargeVia(t, 1, "/charge", "hoodie", "key-1"); res.status != 200 || res.verdict != "ran" {
		t.Errorf("retry = %+v, want the stored answer", res)
	}
	if n := s.runCount(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestLogOutageRefusesKeyedCalls(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 2, 1)
	s.log.setFaults(t, fakes.Faults{Down: true})
	for range 2 {
		if res := s.chargeVia(t, 0, "/charge", "hoodie", "key-1"); res.status != 503 || res.verdict != "not-run" {
			t.Errorf("log down: %+v, want 503 not-run", res)
		}
	}
	if n := s.runCount(t, "hoodie"); n != 0 {
		t.Errorf("%d runs while the log is down, want 0", n)
	}
	if res := s.chargeVia(t, 0, "/charge", "unkeyed", ""); res.status != 200 {
		t.Errorf("call without a key: %+v, want 200", res)
	}
	if res := s.chargeVia(t, 0, "/loose", "loose", "key-1"); res.status != 200 {
		t.Errorf("runWithoutLog: %+v, want 200", res)
	}
	if res := s.chargeVia(t, 0, "/loose", "loose", "key-1"); res.status != 200 || s.runCount(t, "loose") != 1 {
		t.Errorf("retry without the log: %+v, %d runs; want the stored answer", res, s.runCount(t, "loose"))
	}
	s.log.setFaults(t, fakes.Faults{})
	eventually(t, "keyed calls run again", func() bool {
		return s.chargeVia(t, 0, "/charge", "hoodie", "key-1").status == 200
	})
	if n := s.runCount(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestLogThatLosesAnswers(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 2, 2)
	for i := range 12 {
		s.log.setFaults(t, fakes.Faults{LoseAnswers: i%2 == 0})
		body := fmt.Sprint("hoodie-", i)
		ran := 0
		for attempt := range 3 {
			res := s.chargeVia(t, attempt%2, "/charge", body, body)
			if res.status == 200 {
				ran = 1
			}
			if res.status != 200 && res.verdict != "not-run" && res.verdict != "may-have-run" {
				t.Errorf("attempt %d: %+v", attempt, res)
			}
		}
		if n := s.runCount(t, body); n > 1 || n < ran {
			t.Errorf("%s: %d runs, %d answered", body, n, ran)
		}
	}
	s.log.setFaults(t, fakes.Faults{})
	eventually(t, "keyed calls run again", func() bool {
		return s.chargeVia(t, 0, "/charge", "hoodie-0", "hoodie-0").status == 200
	})
	if n := s.runCount(t, "hoodie-0"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestSlowLog(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 2, 1)
	s.log.setFaults(t, fakes.Faults{DelayMs: 300})
	if res := s.chargeVia(t, 0, "/charge", "hoodie", "key-1"); res.status != 200 {
		t.Errorf("slow log: %+v, want 200", res)
	}
	if n := s.runCount(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// breakableProxy is a TCP proxy whose connections a test can close.
type breakableProxy struct {
	address netip.AddrPort
	mu      sync.Mutex
	conns   []net.Conn
}

// newBreakableProxy starts a proxy that forwards connections to target.
func newBreakableProxy(t *testing.T, target netip.AddrPort) *breakableProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &breakableProxy{address: netip.MustParseAddrPort(listener.Addr().String())}
	t.Cleanup(func() {
		_ = listener.Close()
		p.breakConns()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = conn.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn, upstream)
			p.mu.Unlock()
			go func() { _, _ = io.Copy(upstream, conn); _ = upstream.Close() }()
			go func() { _, _ = io.Copy(conn, upstream); _ = conn.Close() }()
		}
	}()
	return p
}

// breakConns closes all connections.
func (p *breakableProxy) breakConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

func TestBrokenLinkBringsTheAnswer(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 1, 1)
	proxy := newBreakableProxy(t, s.agents["agent-0"].address)
	s.registerHost(t, plat.Host{
		Name:    "agent-0",
		Role:    plat.RoleAgent,
		Zone:    "mx-centro-a",
		Service: "pedidos",
		Address: proxy.address,
		State:   plat.HostLive,
	})
	eventually(t, "the entry uses the proxy", func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		return len(proxy.conns) > 0
	})
	eventually(t, "charges are served", func() bool { return s.chargeVia(t, 0, "/charge", "warm-up", "").status == 200 })
	s.setServiceDelay(t, 1000)
	for i, key := range []string{"", "key-1"} {
		body := fmt.Sprint("hoodie-", i)
		first := s.chargeInBackground(t, body, key)
		s.awaitRunningAgent(t, body)
		proxy.breakConns()
		res := <-first
		if res.status != 200 || res.verdict != "ran" || !strings.Contains(res.body, body) {
			t.Errorf("key %q: %+v, want the answer of the run", key, res)
		}
		if n := s.runCount(t, body); n != 1 {
			t.Errorf("key %q: %d runs, want 1", key, n)
		}
	}
}

func TestPausedAgent(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 2, 2)
	s.setServiceDelay(t, 300)
	first := s.chargeInBackground(t, "hoodie", "key-1")
	name := s.awaitRunningAgent(t, "hoodie")
	paused := s.agents[name].cmd.Process
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	retry := s.chargeVia(t, 1, "/charge", "hoodie", "key-1", "X-Request-Timeout", "1s")
	if retry.status == 200 || retry.verdict == "not-run" {
		t.Errorf("retry while paused: %+v, want may-have-run", retry)
	}
	time.Sleep(pauseDuration())
	if err := paused.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	<-first
	eventually(t, "the stored answer is returned", func() bool {
		return s.chargeVia(t, 1, "/charge", "hoodie", "key-1").status == 200
	})
	if n := s.runCount(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}
