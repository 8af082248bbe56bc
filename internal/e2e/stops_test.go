package e2e

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// pauseDuration is the time that processes stay paused. DOGWOODFOLD_PAUSE=30s sets
// it to the length of pauses in production.
func pauseDuration() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("DOGWOODFOLD_PAUSE")); err == nil {
		return d
	}
	return 2 * time.Second
}

// terminate sends SIGTERM to a process and returns a channel that receives the
// result of its exit.
func terminate(t *testing.T, p *process) <-chan error {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- p.cmd.Wait() }()
	return exited
}

// awaitExit waits until a terminated process exits and checks that it succeeds.
func awaitExit(t *testing.T, exited <-chan error) {
	t.Helper()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("the process exited with %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Error("the process did not exit within 30 s")
	}
}

// loadGenerator makes calls from several callers until it is stopped, and collects
// the results that are errors or not status 200.
type loadGenerator struct {
	stopped  atomic.Bool
	calls    atomic.Int64
	wg       sync.WaitGroup
	mu       sync.Mutex
	failures []callResult
}

// start starts callers that each make calls one after the other.
func (g *loadGenerator) start(callers int, call func(n int64) callResult) {
	for range callers {
		g.wg.Go(func() {
			for !g.stopped.Load() {
				res := call(g.calls.Add(1))
				if res.status != 200 || res.err != nil {
					g.mu.Lock()
					g.failures = append(g.failures, res)
					g.mu.Unlock()
				}
			}
		})
	}
}

// finish stops the callers and fails the test if any call failed.
func (g *loadGenerator) finish(t *testing.T) {
	t.Helper()
	g.stopped.Store(true)
	g.wg.Wait()
	for i, res := range g.failures {
		if i < 5 {
			t.Errorf("a call failed: %+v", res)
		}
	}
	if len(g.failures) > 0 {
		t.Errorf("%d of %d calls failed", len(g.failures), g.calls.Load())
	}
}

// awaitCalls waits until the callers have started a number of further calls.
func (g *loadGenerator) awaitCalls(t *testing.T, more int64) {
	t.Helper()
	target := g.calls.Load() + more
	eventually(t, "calls continue", func() bool { return g.calls.Load() >= target })
}

// startStreams starts callers of streams that check each stream for completeness.
func (s *system) startStreams(t *testing.T, load *loadGenerator, callers int) {
	want := strings.Join(fakes.GenerateTokens("lengua-8b", "order of two hoodies", 30), "")
	load.start(callers, func(int64) callResult {
		res := s.complete(t, boothKey, 30, true)
		if res.err == nil && streamedText(t, res.body) != want {
			res.err = fmt.Errorf("incomplete stream: %q", res.body)
		}
		return res
	})
}

func TestAgentStopsUnderLoad(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	second := start(t, "fake", "engine", "--model", "lengua-8b/v1")
	s.addAgent(t, "agent-engine-2", "lengua", "engine", second)
	service := start(t, "fake", "service")
	s.addAgent(t, "agent-service-2", "pedidos", "service", service)
	for _, p := range []*process{s.engine, second, s.service, service} {
		p.setFaults(t, fakes.Faults{TokenMs: 30})
	}
	eventually(t, "the new endpoints serve", func() bool {
		s.complete(t, boothKey, 1, false)
		s.charge(t, "warm-up")
		return len(requestsWith(t, service, "warm-up")) > 0 &&
			strings.Contains(do(t, "GET", second.url()+"/fake/requests", "").body, "hoodies")
	})
	load := &loadGenerator{}
	s.startStreams(t, load, 4)
	load.start(4, func(n int64) callResult { return s.charge(t, fmt.Sprint("charge-", n)) })
	load.awaitCalls(t, 20)
	for _, name := range []string{"agent-engine", "agent-service"} {
		awaitExit(t, terminate(t, s.agents[name]))
	}
	load.awaitCalls(t, 20)
	load.finish(t)
}

func TestEntryStopsUnderLoad(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.engine.setFaults(t, fakes.Faults{TokenMs: 60}) // a stream takes longer than the drain delay
	drained := start(t, "entry", "--settings", writeSettings(t, map[string]any{
		"host": "entry-2", "zone": "mx-centro-a", "listen": loopback(t), "peers": loopback(t), "admin": loopback(t),
		"log": s.log.url(), "hosts": s.hosts.url(), "drainDelay": "1s",
	}))
	s.registerHost(t, plat.Host{
		Name:    "entry-2",
		Role:    plat.RoleEntry,
		Zone:    "mx-centro-a",
		Address: drained.peers,
		State:   plat.HostLive,
	})
	s.entries[0] = drained
	s.awaitServing(t)
	load := &loadGenerator{}
	s.startStreams(t, load, 4)
	load.awaitCalls(t, 8)
	exited := terminate(t, drained)
	eventually(t, "readiness fails", func() bool { return do(t, "GET", drained.url()+"/readyz", "").status == 503 })
	client := &fasthttp.Client{}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod("POST")
	request.SetRequestURI(drained.url() + "/charge")
	request.Header.Set("X-Api-Key", boothKey)
	if err := client.Do(request, response); err != nil || response.StatusCode() != 200 || !response.ConnectionClose() {
		t.Errorf("new request while draining: error %v, status %d, close %v; want 200 and close",
			err, response.StatusCode(), response.ConnectionClose())
	}
	load.finish(t)
	awaitExit(t, exited)
}

// TestSecondSignalEndsWithTrueVerdicts sends an entry, then an agent, a second
// SIGTERM while a charge runs. The process must exit, and the caller must be told
// that the charge may have run.
func TestSecondSignalEndsWithTrueVerdicts(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"entry", "agent"} {
		s := newPlainSystem(t, 1, 1)
		s.setServiceDelay(t, 60_000)
		first := s.chargeInBackground(t, "hoodie", "")
		s.awaitRunningAgent(t, "hoodie")
		p := s.entries[0]
		if role == "agent" {
			p = s.agents["agent-0"]
		}
		exited := terminate(t, p)
		if role == "entry" {
			eventually(t, "readiness fails", func() bool { return do(t, "GET", p.url()+"/readyz", "").status == 503 })
		} else {
			eventually(t, "new calls are refused as not run", func() bool {
				res := s.chargeVia(t, 0, "/charge", "refused", "", "X-Request-Timeout", "200ms")
				return res.status == 503 && res.verdict == "not-run"
			})
		}
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		awaitExit(t, exited)
		if res := <-first; res.status == 200 || res.verdict != "may-have-run" {
			t.Errorf("%s: %+v, want may-have-run", role, res)
		}
	}
}

// TestPausedEntry checks that an entry returns correct verdicts after a pause.
func TestPausedEntry(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 2, 2)
	s.setServiceDelay(t, 300)
	first := s.chargeInBackground(t, "hoodie", "key-1")
	s.awaitRunningAgent(t, "hoodie")
	paused := s.entries[0].cmd.Process
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pauseDuration())
	other := s.chargeVia(t, 1, "/charge", "hoodie", "key-1")
	if err := paused.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	res := <-first
	// Callers in these tests time out after 30 s, that is, during a longer pause.
	timedOut := res.err != nil && pauseDuration() >= 30*time.Second
	if other.status != 200 || (!timedOut && (res.status != 200 || res.body != other.body)) {
		t.Errorf("results %+v and %+v, want the same answer", other, res)
	}
	if n := s.runCount(t, "hoodie"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestListedAsLeaving(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 2, 1)
	s.registerHost(t, plat.Host{
		Name:    "agent-0",
		Role:    plat.RoleAgent,
		Zone:    "mx-centro-a",
		Service: "pedidos",
		Address: s.agents["agent-0"].address,
		State:   plat.HostLeaving,
	})
	time.Sleep(3 * time.Second)
	before := len(requestsWith(t, s.services[0], "late"))
	for range 20 {
		if res := s.chargeVia(t, 0, "/charge", "late", ""); res.status != 200 {
			t.Errorf("charge: %+v", res)
		}
	}
	if n := len(requestsWith(t, s.services[0], "late")); n != before {
		t.Errorf("the endpoint of the leaving agent received %d new calls", n-before)
	}
}

// TestAgentStopsWhileTheLogFails stops one of two agents while the log is down, and
// again while the log loses responses.
func TestAgentStopsWhileTheLogFails(t *testing.T) {
	t.Parallel()
	for _, f := range []fakes.Faults{{Down: true}, {LoseAnswers: true}} {
		s := newPlainSystem(t, 2, 1)
		s.setServiceDelay(t, 700) // longer than an agent stays up after its last call
		s.log.setFaults(t, f)
		load := &loadGenerator{}
		load.start(4, func(n int64) callResult { return s.chargeVia(t, 0, "/charge", fmt.Sprint("charge-", n), "") })
		load.awaitCalls(t, 8)
		awaitExit(t, terminate(t, s.agents["agent-0"]))
		before := len(allRequests(t, s.services[0]))
		load.awaitCalls(t, 8)
		load.finish(t)
		if n := len(allRequests(t, s.services[0])); n != before {
			t.Errorf("%+v: the endpoint received %d calls after its agent had stopped", f, n-before)
		}
	}
}
