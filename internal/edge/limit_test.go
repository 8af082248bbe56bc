package edge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// limitedEndpoint names a limit in its answers while limit isn't 0.
type limitedEndpoint struct {
	*fakeEndpoint
	// limit is in requests per second.
	limit atomic.Int64

	mu         sync.Mutex
	firstNamed time.Time
	arrivals   []time.Time
}

func newLimitedEndpoint(t *testing.T, store *fakes.Store, id, service string, limit int64, models ...string) *limitedEndpoint {
	e := &limitedEndpoint{fakeEndpoint: &fakeEndpoint{id: id}}
	e.limit.Store(limit)
	e.handler = func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		e.mu.Lock()
		e.arrivals = append(e.arrivals, now)
		if limit := e.limit.Load(); limit > 0 {
			w.Header().Set("Server-Limit", strconv.FormatInt(limit, 10)+".0")
			if e.firstNamed.IsZero() {
				e.firstNamed = now
			}
		}
		e.mu.Unlock()
		w.Header().Set(platform.HeaderServerStamp, "stamp")
		if service == "llm" {
			_, _ = fmt.Fprint(w, events(1, 3, "\n"))
			return
		}
		_, _ = fmt.Fprint(w, "ok")
	}
	e.address = serveLoopback(t, e)
	store.Put(fakes.TopicEndpoints, id, e.registryRecord(service, models...))
	return e
}

// count returns the number of requests that arrived between two times.
func (e *limitedEndpoint) count(from, until time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.arrivals {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

const (
	// contactTime is the time after the first naming from which a limit must be kept,
	// limitWindow the time over which it is.
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
	// testLimit is the limit that endpoints name, in requests per second.
	testLimit = 4
)

// checkLimit checks that no window holds more requests than allowed.
func (e *limitedEndpoint) checkLimit(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	named, arrivals := e.firstNamed, append([]time.Time(nil), e.arrivals...)
	e.mu.Unlock()
	allowed := int(1.5*testLimit*limitWindow.Seconds()) + 5
	for _, from := range arrivals {
		if from.Before(named.Add(contactTime - limitWindow)) {
			continue
		}
		until := from.Add(limitWindow)
		if n := e.count(from, until); n > allowed && !until.Before(named.Add(contactTime)) {
			t.Errorf("%s got %d requests in %v, %d allowed", e.id, n, limitWindow, allowed)
			return
		}
	}
}

// checkUsed checks that the endpoint got at least half of what its limit allows in the
// last window before a point in time.
func (e *limitedEndpoint) checkUsed(t *testing.T, until time.Time) {
	t.Helper()
	if n := e.count(until.Add(-limitWindow), until); float64(n) < testLimit*limitWindow.Seconds()/2 {
		t.Errorf("%s got only %d requests in the last %v of a limit of %v a second", e.id, n, limitWindow, testLimit)
	}
}

// limitedLoad sends requests to all routes of all entries for a time, and counts them.
type limitedLoad struct {
	sent, served, slow, withoutTime atomic.Int32
}

func (l *limitedLoad) run(entries []*fixture, duration time.Duration) {
	began := time.Now()
	var group sync.WaitGroup
	for _, f := range entries {
		for _, path := range []string{"/chat/1", "/notes/1", "/look/1", "/charge/1"} {
			group.Go(func() {
				for time.Since(began) < duration {
					l.send(f, path)
					time.Sleep(60 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
}

func (l *limitedLoad) send(f *fixture, path string) {
	began := time.Now()
	r := f.send(context.Background(), "POST", path, platform.HeaderModel, "m", platform.HeaderTokenUsage, "10,5")
	l.sent.Add(1)
	if r.status == http.StatusOK && r.err == nil {
		l.served.Add(1)
	}
	if r.status == http.StatusServiceUnavailable && r.header.Get(platform.HeaderRetryAfter) == "" {
		l.withoutTime.Add(1)
	}
	if time.Since(began) > time.Second {
		l.slow.Add(1)
	}
}

// Every endpoint names a limit that is far below what comes: each must get about its
// limit, and what is beyond must be refused at once with a time to return.
func TestRequestsBeyondNamedLimitsAreRefused(t *testing.T) {
	store := fakes.NewStore()
	endpoints := []*limitedEndpoint{
		newLimitedEndpoint(t, store, "llm-1", "llm", testLimit, "m"),
		newLimitedEndpoint(t, store, "llm-2", "llm", testLimit, "m"),
		newLimitedEndpoint(t, store, "shop-1", "shop", testLimit),
		newLimitedEndpoint(t, store, "shop-2", "shop", testLimit),
	}
	var load limitedLoad
	load.run(newEntries(t, store, 3), 9*time.Second)
	end := time.Now()
	for _, e := range endpoints {
		e.checkLimit(t)
		e.checkUsed(t, end)
	}
	if n := load.withoutTime.Load(); n > 0 {
		t.Errorf("%d of %d requests were refused without a time to return", n, load.sent.Load())
	}
	if n := load.slow.Load(); n > 0 {
		t.Errorf("%d of %d requests took more than a second", n, load.sent.Load())
	}
}

// Guards against endpoints that get more requests than the limit that they have named
// for all entries together, and against refusing what the other endpoints can take.
func TestNamedLimitIsKeptByAllEntriesTogether(t *testing.T) {
	store := fakes.NewStore()
	engines := []*limitedEndpoint{
		newLimitedEndpoint(t, store, "llm-1", "llm", testLimit, "m"),
		newLimitedEndpoint(t, store, "llm-2", "llm", testLimit, "m"),
		newLimitedEndpoint(t, store, "llm-3", "llm", 0, "m"),
	}
	shops := []*limitedEndpoint{
		newLimitedEndpoint(t, store, "shop-1", "shop", testLimit),
		newLimitedEndpoint(t, store, "shop-2", "shop", 0),
	}
	var load limitedLoad
	load.run(newEntries(t, store, 3), 10*time.Second)
	engines[0].checkLimit(t)
	engines[1].checkLimit(t)
	shops[0].checkLimit(t)
	if served, sent := load.served.Load(), load.sent.Load(); served*20 < sent*19 {
		t.Errorf("%d of %d requests served, though one endpoint of each service has no limit", served, sent)
	}
	if n := load.slow.Load(); n > 0 {
		t.Errorf("%d requests took more than a second", n)
	}
}
