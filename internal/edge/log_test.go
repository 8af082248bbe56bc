package edge

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"dogwoodfold/internal/trace"
	"dogwoodfold/platform"
)

// lockedBuffer is a buffer that several goroutines may use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestRequestLinesNameTheService checks the log line of an answered request, of one that is
// refused, and of one that no route takes.
func TestRequestLinesNameTheService(t *testing.T) {
	f := newFixture(t)
	var log lockedBuffer
	settings := testSettings(t, "front-2", f.server.settings.StoreAddr)
	startServerWithLog(t, settings, 8, zerolog.New(&log).With().Timestamp().Logger())
	f.baseURL, f.readyURL = "http://"+settings.ListenAddr.String(), "http://"+settings.ReadyAddr.String()+platform.PathReady
	f.waitFor("the second entry is ready", func() bool { return f.getStatus(f.readyURL) == http.StatusOK })
	for _, path := range []string{"/look/1", "/nowhere/1"} {
		f.send(context.Background(), "GET", path)
	}
	f.send(context.Background(), "GET", "/look/2", "X-Api-Key", "no such key")
	want := map[string]string{"/look/1": "shop", "/look/2": "shop", "/nowhere/1": ""}
	f.waitFor("all requests are logged", func() bool { return strings.Count(log.String(), trace.RequestEnded) == len(want) })
	lines, _, err := trace.Read(strings.NewReader(log.String()))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range lines {
		if l.Message != trace.RequestEnded {
			continue
		}
		path := l.StringField("path")
		if service, named := l.Fields["service"]; !named || service != want[path] {
			t.Errorf("%s: service %v, want %q", path, service, want[path])
		}
	}
}
