package edge

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// silentStore serves a store until it goes silent: it then takes calls and answers none.
type silentStore struct {
	store  *fakes.Store
	silent atomic.Bool
}

func (s *silentStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent.Load() {
		<-r.Context().Done()
		return
	}
	s.store.ServeHTTP(w, r)
}

// Guards against a SIGKILL at the end of the grace period: once the drain is over, the entry
// ends within the time that is reserved for it, also while the store leaves calls unanswered
// and a connection of another entry has sent nothing.
func TestEntryEndsInTimeWhileStoreIsSilent(t *testing.T) {
	t.Parallel()
	store := &silentStore{store: fakes.NewStore()}
	store.store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(1, "key-1"))
	settings := testSettings(t, "front-1", netip.MustParseAddrPort(serveLoopback(t, store)))
	entry := &restartableEntry{t: t, settings: settings}
	entry.start()
	f := &fixture{t: t, readyURL: "http://" + settings.ReadyAddr.String() + platform.PathReady}
	f.waitFor("the entry is ready", func() bool { return f.getStatus(f.readyURL) == http.StatusOK })
	peer, err := net.Dial("tcp4", settings.PeerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	store.silent.Store(true)
	time.Sleep(2 * localConfigWait) // all reads that are under way now remain unanswered
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		entry.end()
	}()
	select {
	case <-ended:
	case <-time.After(exitReserve):
		t.Errorf("the entry still runs %v after its drain, when the process is killed", exitReserve)
		<-ended
	}
}
