package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// storeState tells which calls a link to the store lets through.
type storeState int

const (
	storeUp storeState = iota
	storeDown
	// storeWithoutRegistry refuses calls about endpoints.
	storeWithoutRegistry
	// storeOneRead lets one further read of the configuration through and nothing else.
	storeOneRead
)

// storeLink is the link of one entry to the store.
type storeLink struct {
	store *fakes.Store
	// bytesPerSecond is the bandwidth, 0 for any.
	bytesPerSecond int
	mu             sync.Mutex
	state          storeState
	// admitted holds the topics of which a call was admitted since the state was set.
	admitted map[string]bool
}

func (l *storeLink) set(state storeState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	l.admitted = make(map[string]bool)
}

// hasAdmitted reports whether a call about a topic was admitted since the state was set.
func (l *storeLink) hasAdmitted(topic string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admitted[topic]
}

func (l *storeLink) is(state storeState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == state
}

// admits reports whether a call gets through.
func (l *storeLink) admits(r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	topic := r.URL.Query().Get("topic")
	switch l.state {
	case storeUp:
		l.admitted[topic] = true
		return true
	case storeWithoutRegistry:
		return topic != fakes.TopicEndpoints
	case storeOneRead:
		if r.URL.Path != "/v1/log-read" || topic != fakes.TopicOperator {
			return false
		}
		l.state = storeDown
		return true
	default:
		return false
	}
}

func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.admits(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if l.bytesPerSecond > 0 {
		w = &slowWriter{ResponseWriter: w, link: l}
	}
	l.store.ServeHTTP(w, r)
}

// slowWriter delays a response by the time that its bytes take on a link.
type slowWriter struct {
	http.ResponseWriter
	link *storeLink
}

func (w *slowWriter) Write(data []byte) (int, error) {
	time.Sleep(time.Duration(len(data)) * time.Second / time.Duration(w.link.bytesPerSecond))
	return w.ResponseWriter.Write(data)
}

// linkedFixture is entries with links to one store, and plain endpoints.
type linkedFixture struct {
	store   *fakes.Store
	links   []*storeLink
	entries []*fixture
}

// newLinkedFixture starts entries whose links have a bandwidth in bytes a second, 0 for any.
func newLinkedFixture(t *testing.T, count, bytesPerSecond int) *linkedFixture {
	f := &linkedFixture{store: fakes.NewStore()}
	for i := range 2 {
		e := &fakeEndpoint{id: fmt.Sprint("shop-", i+1)}
		e.address = serveLoopback(t, e)
		f.store.Put(fakes.TopicEndpoints, e.id, e.registryRecord("shop"))
	}
	f.store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(1, "key-1", "key-2"))
	for i := range count {
		f.startEntry(t, i+1, bytesPerSecond)
	}
	for _, e := range f.entries {
		e.waitFor("the entry is ready", func() bool { return e.getStatus(e.readyURL) == http.StatusOK })
	}
	return f
}

// startEntry starts an entry and returns it before it is ready.
func (f *linkedFixture) startEntry(t *testing.T, number, bytesPerSecond int) *fixture {
	link := &storeLink{
		store:          f.store,
		bytesPerSecond: bytesPerSecond,
		admitted:       make(map[string]bool),
	}
	settings := testSettings(t, fmt.Sprint("front-", number), netip.MustParseAddrPort(serveLoopback(t, link)))
	entry := &fixture{
		t:        t,
		server:   startServer(t, settings, uint64(6+number)),
		store:    f.store,
		baseURL:  "http://" + settings.ListenAddr.String(),
		readyURL: "http://" + settings.ReadyAddr.String() + platform.PathReady,
	}
	f.links = append(f.links, link)
	f.entries = append(f.entries, entry)
	return entry
}

func (f *linkedFixture) setLinks(state storeState) {
	for _, l := range f.links {
		l.set(state)
	}
}

func (f *fixture) lookWith(key string) int {
	return f.send(context.Background(), "GET", "/look/1", platform.HeaderAPIKey, key, platform.HeaderDeadline, "300").status
}
