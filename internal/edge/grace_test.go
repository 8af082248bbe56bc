package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// lateWork bounds the time that endpoints take for a request during a planned stop.
const lateWork = 900 * time.Millisecond

// graceClients is the number of clients that go on sending during a planned stop.
const graceClients = 40

// gracePlay is a planned stop of an entry whose clients go on sending.
type gracePlay struct {
	*fixture
	mu sync.Mutex
	// reached holds the requests that endpoints got, by ID.
	reached map[string]bool
	answers map[int]int
	cut     []string
}

// respond answers a request, after a time, with an event or a body.
func (p *gracePlay) respond(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reached[r.Header.Get(platform.HeaderRequestID)] = true
	p.mu.Unlock()
	time.Sleep(rand.N(lateWork))
	w.Header().Set(platform.HeaderServerStamp, "s")
	_, _ = fmt.Fprint(w, events(1, 3, "\n"))
}

// send sends requests on kept connections until the entry is gone.
func (p *gracePlay) send(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("grace-%d-%d", n, i)
		path := []string{"/charge/1", "/look/1", "/chat/1"}[(n+i)%3]
		r := p.sendBody(context.Background(), "POST", path, fmt.Sprint("content ", id),
			platform.HeaderRequestID, id, platform.HeaderModel, "m", platform.HeaderTokenUsage, "10,3")
		p.mu.Lock()
		if r.err == nil {
			p.answers[r.status]++
		} else if p.reached[id] {
			p.cut = append(p.cut, fmt.Sprintf("%s %s: %v", id, path, r.err))
		}
		p.mu.Unlock()
		time.Sleep(rand.N(100 * time.Millisecond))
	}
}

// Guards against LOST in a planned stop, in calm: requests that come at any time within the
// grace period are answered or refused, and none that was passed on is cut off at its end.
func TestLateRequestsInGraceAreNotCut(t *testing.T) {
	t.Parallel()
	p := &gracePlay{reached: make(map[string]bool), answers: make(map[int]int)}
	store := fakes.NewStore()
	for i, service := range []string{"shop", "shop", "llm", "llm"} {
		e := &fakeEndpoint{id: fmt.Sprint(service, "-", i), handler: p.respond}
		e.address = serveLoopback(t, e)
		store.Put(fakes.TopicEndpoints, e.id, e.registryRecord(service, "m"))
	}
	store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(1, "key-1"))
	settings := testSettings(t, "front-1", netip.MustParseAddrPort(serveLoopback(t, store)))
	entry := &restartableEntry{t: t, settings: settings}
	entry.start()
	p.fixture = &fixture{
		t:        t,
		baseURL:  "http://" + settings.ListenAddr.String(),
		readyURL: "http://" + settings.ReadyAddr.String() + platform.PathReady,
	}
	p.waitFor("the entry is ready", func() bool { return p.getStatus(p.readyURL) == http.StatusOK })
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for n := range graceClients {
		group.Go(func() { p.send(ctx, n) })
	}
	time.Sleep(time.Second)
	entry.server.Stop()
	<-entry.server.Finished()
	entry.end()
	cancel()
	group.Wait()
	t.Logf("%d requests reached endpoints, answers by status %v", len(p.reached), p.answers)
	for _, cut := range p.cut {
		t.Errorf("passed on and cut off without an answer: %s", cut)
	}
	if p.answers[http.StatusOK] < graceClients || p.answers[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status %v, want some requests answered and late ones refused", p.answers)
	}
}
