package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/poison"
	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// An engine cuts an answer, and resets further connections since it has as many as it takes.
// It runs, and must not be kept from all entries as one that has crashed.
func TestEngineThatResetsConnectionsHasNotCrashed(t *testing.T) {
	f := &fixture{t: t, store: fakes.NewStore()}
	storeAddress := netip.MustParseAddrPort(serveLoopback(t, f.store))
	f.store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(1, "key-1", "key-2"))
	e := &fakeEndpoint{id: "llm-1"}
	e.handler = func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3, len(e.requests()) == 1) }
	e.address = serveLoopback(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" && len(e.requests()) > 0 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			return
		}
		e.ServeHTTP(w, r)
	}))
	f.store.Put(fakes.TopicEndpoints, e.id, e.registryRecord("llm", "m"))
	settings := testSettings(t, "front-1", storeAddress)
	f.server = startServer(t, settings, 7)
	f.baseURL, f.readyURL = "http://"+settings.ListenAddr.String(), "http://"+settings.ReadyAddr.String()+platform.PathReady
	f.waitFor("the entry is ready", func() bool { return f.getStatus(f.readyURL) == http.StatusOK })
	if r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m"); r.err == nil {
		t.Fatalf("the first answer was not cut: %+v", r)
	}
	time.Sleep(1500 * time.Millisecond)
	if r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m"); r.status != http.StatusOK {
		t.Errorf("1.5 s later: status %d %s", r.status, r.body)
	}
}

// The end of an engine's run is told to all entries only if the probe proves it: nothing
// listens, or another engine has the address.
func TestProbeOfEngineProvesItsEnd(t *testing.T) {
	s := &Server{engines: platform.NewEngineClient()}
	other := serveLoopback(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	closes := listenRaw(t, func(net.Conn) {})
	for address, ended := range map[string]bool{
		unusedAddr(t).String(): true,
		other:                  true,
		closes:                 false,
	} {
		result, err := s.probeReport(gate.ProbeEngine{
			Run:     poison.Run{Engine: "llm-1"},
			Address: netip.MustParseAddrPort(address),
		})
		if result.running || result.ended != ended {
			t.Errorf("%s: %+v (%v), want ended %t", address, result, err, ended)
		}
	}
}
