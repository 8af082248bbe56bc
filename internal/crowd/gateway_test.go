package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

const (
	// bodyPath takes requests with bodies, answerPath those with long answers.
	bodyPath   = "/charge/1"
	answerPath = "/look/1"
	// answerBytes is the size of an answer at answerPath.
	answerBytes = 200 << 10
	apiKey      = "crowd-key"

	// memoryMB and maxDescriptors are the limits in the gateway's settings, and the bounds.
	memoryMB       = 96
	maxDescriptors = 400
)

var lastID atomic.Int64

// gatewayHead returns heads of requests to a gateway. Their deadlines are longer than the
// tests.
func gatewayHead(method, path string) string {
	id := lastID.Add(1)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d\r\nIdempotency-Key: key-%d\r\n"+
		"X-Api-Key: %s\r\nX-Deadline-Ms: 60000\r\n", method, path, id, id, apiKey)
}

// endpoint answers health checks and requests.
func endpoint(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderInstanceID, "shop-1")
	if r.URL.Path == "/healthz" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // fails only if the gateway has gone
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderServerStamp, "stamp")
	if r.URL.Path == answerPath {
		_, _ = w.Write(zeros[:answerBytes]) // fails only if the gateway has gone
		return
	}
	_, _ = io.WriteString(w, "ok") // fails only if the gateway has gone
}

// serveLoopback serves a handler on the loopback interface and returns its address.
func serveLoopback(t *testing.T, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// gatewaySettings is a settings file as the platform writes it.
const gatewaySettings = `node: "front-1"
zone: "a"
ip: "127.0.0.1"
listen: {front: %q, ready: %q}
portRange: [%s, %s]
limits: {cpuShare: 1, cores: 1, memoryMb: %d, maxFds: %d}
bounds: {configMs: 2000, revokeMs: 5000, drainMs: 2000, graceS: 4, leaseMs: 3000, retryBudgetRatio: 0.2, retrySlack: 50}
platform: {addr: %q}
`

// startGateway starts a gateway with a store and an endpoint, waits until it serves and
// returns it with its address.
func startGateway(t *testing.T, memory, descriptors int) (*watched, string) {
	t.Helper()
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "pathPrefix": "/" + name + "/", "type": kind,
			"timeoutMs": 20000, "sloMs": 500, "service": "shop", "attempts": 2,
		}
	}
	store := fakes.NewStore()
	store.Put(fakes.TopicEndpoints, "shop-1", map[string]any{
		"service": "shop", "addr": serveLoopback(t, http.HandlerFunc(endpoint)), "zone": "a", "version": "v1", "slots": 200,
		"state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1, "models": []any{},
	})
	store.Put(fakes.TopicOperator, fakes.KeyConfig, map[string]any{
		"version":  1,
		"routes":   []any{route("charge", "nonidempotent"), route("look", "idempotent")},
		"services": []any{map[string]any{"name": "shop", "maxConns": 200, "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{apiKey}, "unit": "requests"}},
	})
	address := unusedAddress(t)
	first, last := unusedAddress(t), unusedAddress(t)
	firstPort, lastPort := first[strings.LastIndex(first, ":")+1:], last[strings.LastIndex(last, ":")+1:]
	if firstPort > lastPort {
		firstPort, lastPort = lastPort, firstPort
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(gatewaySettings, address, unusedAddress(t), firstPort, lastPort, memory, descriptors,
		serveLoopback(t, store))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, nil, "gateway", "--settings", path)
	eventually(t, "an ordinary request is answered", func() bool { return post(address, gatewayHeaders, 100) == http.StatusOK })
	return p, address
}

// gatewayHeaders returns the headers of an ordinary request.
func gatewayHeaders() http.Header {
	h := http.Header{}
	h.Set(platform.HeaderRequestID, fmt.Sprintf("ordinary-%d", lastID.Add(1)))
	h.Set(platform.HeaderAPIKey, apiKey)
	h.Set(platform.HeaderDeadline, "10000")
	return h
}

// post sends an ordinary request with a body of a size and returns its status, 0 if it
// failed.
func post(address string, headers func() http.Header, size int) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+bodyPath, bytes.NewReader(zeros[:size]))
	if err != nil {
		return 0
	}
	request.Header = headers()
	request.Host = "shop.example"
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // the status tells
	return response.StatusCode
}

// Guards against a gateway that runs out of memory or descriptors since nothing bounds the
// sum of what clients make it hold.
func TestGatewayStaysWithinItsLimits(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			p, address := startGateway(t, memoryMB, maxDescriptors)
			k.run(address, gatewayHead)
			p.check(t, k.name, memoryMB, maxDescriptors)
			eventually(t, "an ordinary request is answered after the crowd", func() bool {
				return post(address, gatewayHeaders, 100) == http.StatusOK
			})
			eventually(t, "a request with the longest body is answered after the crowd", func() bool {
				return post(address, gatewayHeaders, bodyBytes) == http.StatusOK
			})
			p.check(t, k.name+", afterwards", memoryMB, maxDescriptors)
		})
	}
}
