package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

const (
	// All entries end within maxKillDelay after an endpoint, and start again entryDowntime
	// later.
	maxKillDelay  = 400 * time.Millisecond
	entryDowntime = 250 * time.Millisecond
	// badInterval is the time between two bad requests.
	badInterval = 200 * time.Millisecond
	// chargePath is that of a request that is sent to one endpoint only.
	chargePath = "/charge/7"
	// shortShopDowntime lets endpoints be there whenever entries are.
	shortShopDowntime = 700 * time.Millisecond
)

// restartableEntry is an entry that ends without notice and starts again at its addresses.
type restartableEntry struct {
	t        *testing.T
	settings *platform.Settings
	// runs counts the processes that were started, server is the newest.
	runs   uint64
	server *Server
	end    func()
}

func (e *restartableEntry) start() {
	e.runs++
	server := New(e.settings, zerolog.Nop(), uint64(e.settings.PeerAddr.Port())<<16|e.runs)
	e.server = server
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run(ctx) }()
	e.end = func() {
		cancel()
		if err := <-runErr; err != nil {
			e.t.Error(err)
		}
	}
}

// entryKiller ends all entries soon after each end of an endpoint.
type entryKiller struct {
	mu      sync.Mutex
	entries []*restartableEntry
	// pending is true from an end of an endpoint until all entries run again.
	pending bool
	stopped bool
	kills   int
	group   sync.WaitGroup
}

// endpointEnded ends all entries within maxKillDelay, unless they are about to end already.
func (k *entryKiller) endpointEnded() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending || k.stopped {
		return
	}
	k.pending = true
	k.group.Go(func() {
		time.Sleep(rand.N(maxKillDelay))
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, e := range k.entries {
			e.end()
		}
		k.kills++
		time.Sleep(entryDowntime)
		for _, e := range k.entries {
			e.start()
		}
		k.pending = false
	})
}

// stop ends the entries for good.
func (k *entryKiller) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.group.Wait()
	for _, e := range k.entries {
		e.end()
	}
}

// newKilledShopFleet returns a fleet whose entries all end soon after each end of an endpoint.
func newKilledShopFleet(t *testing.T, entries int) (*shopFleet, *entryKiller) {
	k := &entryKiller{}
	f := newShopFleetWith(t, func(settings *platform.Settings) {
		e := &restartableEntry{t: t, settings: settings}
		e.start()
		k.entries = append(k.entries, e)
	}, entries)
	for _, shop := range f.shops {
		shop.onCrash = k.endpointEnded
		shop.downtime = shortShopDowntime
	}
	t.Cleanup(k.stop)
	return f, k
}

// sendBadAfterCrashes sends the bad request again and again, after a crash once the entries
// have started again.
func (f *shopFleet) sendBadAfterCrashes(duration time.Duration) {
	for time.Since(f.began) < duration {
		before := f.crashCount()
		entry := f.entries[rand.IntN(len(f.entries))]
		entry.sendBody(context.Background(), "POST", f.badPath, badBody, platform.HeaderAPIKey, badKey)
		time.Sleep(badInterval)
		if f.crashCount() > before {
			time.Sleep(maxKillDelay + entryDowntime)
		}
	}
}

func (f *shopFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// Guards against BUDGET by a request that crashes endpoints, before or after it is answered,
// while all entries end within 0.4 s after each crash: what they have seen must be in the
// store by then.
func TestCrashesAddUpOverEndsOfAllEntries(t *testing.T) {
	t.Parallel()
	for _, answers := range []bool{false, true} {
		t.Run(fmt.Sprint("answers first ", answers), func(t *testing.T) {
			t.Parallel()
			f, k := newKilledShopFleet(t, 3)
			f.badPath = chargePath
			if answers {
				f.onBad = f.answerThenCrash(40 * time.Millisecond)
			}
			f.checkKilled(k)
		})
	}
}

// checkKilled lets the bad request and sound ones come, and checks that few of the former reach
// endpoints and that the latter are served.
func (f *shopFleet) checkKilled(k *entryKiller) {
	const duration = 20 * time.Second
	var group sync.WaitGroup
	group.Go(func() { f.sendBadAfterCrashes(duration) })
	for _, entry := range f.entries {
		for _, s := range soundRequests {
			group.Go(func() { f.sendSound(entry, s, 0, duration) })
		}
	}
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("reached %d, crashes %d, all entries ended %d times, served %v of %v",
		len(f.reached), len(f.crashes), k.kills, f.served, f.sent)
	f.checkReached()
	for _, s := range soundRequests {
		if f.served[s.name] == 0 {
			f.t.Errorf("%s: none of %d sound requests served", s.name, f.sent[s.name])
		}
	}
}

// Guards against an entry that never serves, or serves at once without what is known of
// crashes, because the store fails to tell it.
func TestEntryStartsWithoutCrashRecords(t *testing.T) {
	t.Parallel()
	store := fakes.NewStore()
	failing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Query().Get("topic"), "-crashes") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	})
	store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(1, "key-1"))
	settings := testSettings(t, "front-1", netip.MustParseAddrPort(serveLoopback(t, failing)))
	began := time.Now()
	startServer(t, settings, 7)
	f := &fixture{t: t, store: store, readyURL: "http://" + settings.ReadyAddr.String() + platform.PathReady}
	f.waitFor("the entry is ready", func() bool { return f.getStatus(f.readyURL) == http.StatusOK })
	if waited := time.Since(began); waited < maxCrashReadTime {
		t.Errorf("ready after %v, want it to try for %v", waited, maxCrashReadTime)
	}
}
