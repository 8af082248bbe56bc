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

// shop is a fleet with several endpoints of the plain service "pedidos", each
// beside its own agent, and several entries.
type shop struct {
	system
	services []*process
}

// shopText allows both customers to charge, and has a route that runs without
// the log and an open one.
func shopText() string {
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

// newShop starts a shop and waits until each entry serves charges.
func newShop(t *testing.T, agents, entries int) *shop {
	t.Helper()
	s := &shop{system: system{
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
		s.addEntry(t, fmt.Sprint("entry-", i), 1)
	}
	s.publish(t, shopText())
	for i := range entries {
		eventually(t, "charges are served", func() bool {
			return s.pay(t, i, "/charge", "warm-up", "").status == 200
		})
	}
	return s
}

// pay makes a charge through an entry, with an idempotency key if one is given.
func (s *shop) pay(t *testing.T, entry int, path, body, key string, headers ...string) answer {
	t.Helper()
	headers = append(headers, "X-Api-Key", boothKey)
	if key != "" {
		headers = append(headers, "Idempotency-Key", key)
	}
	return do(t, "POST", s.entries[entry].url()+path, body, headers...)
}

// runs returns how many requests with a body reached the services.
func (s *shop) runs(t *testing.T, body string) int {
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

// slow makes each service take a time for a call.
func (s *shop) slow(t *testing.T, milliseconds int) {
	t.Helper()
	for _, service := range s.services {
		service.faults(t, fakes.Faults{TokenMs: milliseconds})
	}
}

// holder returns the agent whose service received a body, once one has.
func (s *shop) holder(t *testing.T, body string) (name string) {
	t.Helper()
	eventually(t, "a service has the call "+body, func() bool {
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

// background makes a charge through the first entry and returns where its answer
// comes. As callers do, it asks again after a refusal as not run.
func (s *shop) background(t *testing.T, body, key string) <-chan answer {
	t.Helper()
	result := make(chan answer, 1)
	go func() {
		a := s.pay(t, 0, "/charge", body, key)
		for range 50 {
			if a.status != 503 || a.verdict != "not-run" {
				break
			}
			time.Sleep(100 * time.Millisecond)
			a = s.pay(t, 0, "/charge", body, key)
		}
		result <- a
	}()
	return result
}

func TestRepeatsThroughAnyEntry(t *testing.T) {
	s := newShop(t, 3, 2)
	s.slow(t, 200)
	var wait sync.WaitGroup
	answers := make([]answer, 12)
	for i := range answers {
		wait.Go(func() { answers[i] = s.pay(t, i%2, "/charge", "hoodie", "key-1") })
	}
	wait.Wait()
	for i, a := range append(answers, s.pay(t, 1, "/charge", "hoodie", "key-1")) {
		if a.status != 200 || a.body != answers[0].body || a.verdict != "ran" {
			t.Errorf("answer %d = %+v, want %+v", i, a, answers[0])
		}
	}
	if n := s.runs(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	if a := s.pay(t, 1, "/charge", "two hoodies", "key-1"); a.status != 409 || a.verdict != "not-run" {
		t.Errorf("other body: %+v, want 409 not-run", a)
	}
	a := do(t, "POST", s.entries[0].url()+"/charge", "hoodie", "X-Api-Key", otherKey, "Idempotency-Key", "key-1")
	if a.status != 200 || s.runs(t, "hoodie") != 2 {
		t.Errorf("another customer's call with the same key: %+v, %d runs; want a run of its own", a, s.runs(t, "hoodie"))
	}
	if a := s.pay(t, 0, "/loose", "hoodie", "key-1"); a.status != 200 || s.runs(t, "hoodie") != 3 {
		t.Errorf("another route's call with the same key: %+v, want a run of its own", a)
	}
}

func TestRepeatAfterTheAgentDied(t *testing.T) {
	s := newShop(t, 3, 2)
	s.slow(t, 1500)
	first := s.background(t, "hoodie", "key-1")
	name := s.holder(t, "hoodie")
	if err := s.agents[name].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	repeat := s.pay(t, 1, "/charge", "hoodie", "key-1")
	if repeat.status == 200 || repeat.verdict == "not-run" {
		t.Errorf("repeat = %+v, want may-have-run", repeat)
	}
	if a := <-first; a.status == 200 || a.verdict != "may-have-run" {
		t.Errorf("first = %+v, want may-have-run", a)
	}
	// The agent is replaced on the same host; it knows the claim from the log.
	index := int(name[len(name)-1] - '0')
	s.addAgent(t, name, "pedidos", "service", s.services[index])
	for range 10 {
		if a := s.pay(t, 1, "/charge", "hoodie", "key-1"); a.status == 200 || a.verdict == "not-run" {
			t.Errorf("later repeat = %+v, want may-have-run", a)
		}
	}
	if n := s.runs(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestRepeatAfterTheEntryDied(t *testing.T) {
	s := newShop(t, 3, 2)
	s.slow(t, 1000)
	first := s.background(t, "hoodie", "key-1")
	s.holder(t, "hoodie")
	if err := s.entries[0].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-first
	if a := s.pay(t, 1, "/charge", "hoodie", "key-1"); a.status != 200 || a.verdict != "ran" {
		t.Errorf("repeat = %+v, want the answer", a)
	}
	if n := s.runs(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestLogOutageRefusesKeyedCalls(t *testing.T) {
	s := newShop(t, 2, 1)
	s.log.faults(t, fakes.Faults{Down: true})
	for range 2 {
		if a := s.pay(t, 0, "/charge", "hoodie", "key-1"); a.status != 503 || a.verdict != "not-run" {
			t.Errorf("log down: %+v, want 503 not-run", a)
		}
	}
	if n := s.runs(t, "hoodie"); n != 0 {
		t.Errorf("%d runs while the log is down, want 0", n)
	}
	if a := s.pay(t, 0, "/charge", "unkeyed", ""); a.status != 200 {
		t.Errorf("call without a key: %+v, want 200", a)
	}
	if a := s.pay(t, 0, "/loose", "loose", "key-1"); a.status != 200 {
		t.Errorf("runWithoutLog: %+v, want 200", a)
	}
	if a := s.pay(t, 0, "/loose", "loose", "key-1"); a.status != 200 || s.runs(t, "loose") != 1 {
		t.Errorf("repeat without the log: %+v, %d runs; want the answer", a, s.runs(t, "loose"))
	}
	s.log.faults(t, fakes.Faults{})
	eventually(t, "keyed calls run again", func() bool {
		return s.pay(t, 0, "/charge", "hoodie", "key-1").status == 200
	})
	if n := s.runs(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestLogThatLosesAnswers(t *testing.T) {
	s := newShop(t, 2, 2)
	for i := range 12 {
		s.log.faults(t, fakes.Faults{LoseAnswers: i%2 == 0})
		body := fmt.Sprint("hoodie-", i)
		ran := 0
		for attempt := range 3 {
			a := s.pay(t, attempt%2, "/charge", body, body)
			if a.status == 200 {
				ran = 1
			}
			if a.status != 200 && a.verdict != "not-run" && a.verdict != "may-have-run" {
				t.Errorf("attempt %d: %+v", attempt, a)
			}
		}
		if n := s.runs(t, body); n > 1 || n < ran {
			t.Errorf("%s: %d runs, %d answered", body, n, ran)
		}
	}
	s.log.faults(t, fakes.Faults{})
	eventually(t, "keyed calls run again", func() bool {
		return s.pay(t, 0, "/charge", "hoodie-0", "hoodie-0").status == 200
	})
	if n := s.runs(t, "hoodie-0"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestSlowLog(t *testing.T) {
	s := newShop(t, 2, 1)
	s.log.faults(t, fakes.Faults{DelayMs: 300})
	if a := s.pay(t, 0, "/charge", "hoodie", "key-1"); a.status != 200 {
		t.Errorf("slow log: %+v, want 200", a)
	}
	if n := s.runs(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// cutter is a TCP proxy whose connections a test can break.
type cutter struct {
	address netip.AddrPort
	mu      sync.Mutex
	conns   []net.Conn
}

// newCutter returns a proxy before an address.
func newCutter(t *testing.T, target netip.AddrPort) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{address: netip.MustParseAddrPort(listener.Addr().String())}
	t.Cleanup(func() {
		_ = listener.Close()
		c.cut()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			next, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = conn.Close()
				continue
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn, next)
			c.mu.Unlock()
			go func() { _, _ = io.Copy(next, conn); _ = next.Close() }()
			go func() { _, _ = io.Copy(conn, next); _ = conn.Close() }()
		}
	}()
	return c
}

// cut breaks all connections.
func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

func TestBrokenLinkBringsTheAnswer(t *testing.T) {
	s := newShop(t, 1, 1)
	proxy := newCutter(t, s.agents["agent-0"].address)
	s.list(t, plat.Host{
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
	eventually(t, "charges are served", func() bool { return s.pay(t, 0, "/charge", "warm-up", "").status == 200 })
	s.slow(t, 1000)
	for i, key := range []string{"", "key-1"} {
		body := fmt.Sprint("hoodie-", i)
		first := s.background(t, body, key)
		s.holder(t, body)
		proxy.cut()
		a := <-first
		if a.status != 200 || a.verdict != "ran" || !strings.Contains(a.body, body) {
			t.Errorf("key %q: %+v, want the answer", key, a)
		}
		if n := s.runs(t, body); n != 1 {
			t.Errorf("key %q: %d runs, want 1", key, n)
		}
	}
}

func TestPausedAgent(t *testing.T) {
	s := newShop(t, 2, 2)
	s.slow(t, 300)
	first := s.background(t, "hoodie", "key-1")
	name := s.holder(t, "hoodie")
	paused := s.agents[name].cmd.Process
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	repeat := s.pay(t, 1, "/charge", "hoodie", "key-1", "X-Request-Timeout", "1s")
	if repeat.status == 200 || repeat.verdict == "not-run" {
		t.Errorf("repeat while paused: %+v, want may-have-run", repeat)
	}
	time.Sleep(pauseTime())
	if err := paused.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	<-first
	eventually(t, "the answer is given again", func() bool {
		return s.pay(t, 1, "/charge", "hoodie", "key-1").status == 200
	})
	if n := s.runs(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}
