// Package soak runs entries as separate processes against stand-ins of the
// users' platform and harms both from outside, by a schedule drawn from a seed.
package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

const (
	entries      = 3
	callers      = 14
	streamEvents = 12
	patience     = 3 * time.Second
	beatPause    = 400 * time.Millisecond
	restartPause = 300 * time.Millisecond
	graceTime    = 4 * time.Second

	limitedCustomer = "small"
	limitedRate     = 150.0
	limitedBurst    = 300.0
)

// world is a fleet with its surroundings.
type world struct {
	t     *testing.T
	book  *book
	store *fakes.Store
	// storeAddress is the store itself; each entry has a proxy before it.
	storeAddress string
	entries      []*entry
	workers      []*worker
	lateOrders   atomic.Bool

	mu      sync.Mutex
	version int
	keys    []string
}

// entry is a real process that is started again whenever it ends.
type entry struct {
	w        *world
	name     string
	settings string
	front    string
	proxy    *proxy
	logs     *os.File

	mu      sync.Mutex
	command *exec.Cmd
	closed  bool
	ended   chan struct{}
}

func newWorld(t *testing.T, program, logs string) *world {
	w := &world{t: t, book: newBook(), store: fakes.NewStore(), version: 1}
	w.keys = []string{"big-1", "big-2", "big-3", "big-4", limitedCustomer + "-1"}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	w.storeAddress = l.Addr().String()
	w.configure()
	for _, service := range []string{"shop", "shop", "llm", "llm", "llm"} {
		k := newWorker(t, w, service)
		k.models = k.first()
		w.workers = append(w.workers, k)
	}
	w.workers[2].models = []string{"m0", "m1"}
	for i := range entries {
		runs := program
		if *other != "" && i%2 == 1 {
			runs = *other
		}
		w.entries = append(w.entries, w.newEntry(t, runs, logs, fmt.Sprintf("front-%d", i)))
	}
	return w
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(path, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": path, "host": "shop.example", "pathPrefix": "/" + path + "/", "type": kind, "timeoutMs": 2500, "sloMs": 400,
			"service": service, "attempts": 2, "resumable": resumable, "gapSloMs": 200,
		}
	}
	models := []any{}
	for _, m := range []string{"m0", "m1", "m2"} {
		models = append(models, map[string]any{"name": m, "weightsMb": modelSize, "loadS": loadTime.Seconds()})
	}
	customers := map[string]map[string]any{
		"big":           {"name": "big", "unit": "tokens", "plainTokens": 10},
		limitedCustomer: {"name": limitedCustomer, "unit": "tokens", "plainTokens": 10, "ratePerS": limitedRate, "burst": limitedBurst},
	}
	for name, c := range customers {
		keys := []string{}
		for _, k := range w.keys {
			if customerOf(k) == name {
				keys = append(keys, k)
			}
		}
		c["apiKeys"] = keys
	}
	w.store.Put(fakes.TopicOperator, fakes.KeyConfig, map[string]any{
		"version": w.version,
		"routes": []any{
			route("charge", "nonidempotent", "shop", false), route("look", "idempotent", "shop", false),
			route("notes", "stream", "llm", true), route("chat", "stream", "llm", false),
		},
		"services": []any{
			map[string]any{"name": "shop", "maxConns": 60},
			map[string]any{"name": "llm", "maxConns": 60, "engine": map[string]any{
				"slots": 8, "kvTokens": 10000, "weightsMb": weightSpace, "adapterSlots": 2, "loadsPerS": 4, "models": models,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{customers["big"], customers[limitedCustomer]},
	})
}

// withdraw takes a key away, one that stays unused from then on.
func (w *world) withdraw(random *rand.Rand) {
	w.mu.Lock()
	if len(w.keys) <= 2 {
		w.mu.Unlock()
		return
	}
	i := random.IntN(len(w.keys) - 1) // the last one is the limited customer's
	key := w.keys[i]
	w.keys = slices.Delete(slices.Clone(w.keys), i, i+1)
	w.mu.Unlock()
	w.configure()
	w.book.mu.Lock()
	w.book.revoked[key] = time.Now()
	w.book.mu.Unlock()
}

// nextPort counts the ports that entries listen on. They lie below the range
// that the system gives to outgoing connections.
var nextPort atomic.Int32

const (
	firstPort = 21000
	portRange = 9000
)

// freePort returns a port that nobody listens on.
func freePort(t *testing.T) int {
	for range portRange {
		port := firstPort + int(nextPort.Add(1))%portRange
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

// twoPorts returns free ports, the lower one first.
func twoPorts(t *testing.T) (int, int) {
	a, b := freePort(t), freePort(t)
	return min(a, b), max(a, b)
}

func (w *world) newEntry(t *testing.T, program, logs, name string) *entry {
	e := &entry{w: w, name: name, proxy: newProxy(t, w.storeAddress), ended: make(chan struct{})}
	front, ready := twoPorts(t)
	peers, metrics := twoPorts(t)
	e.front = fmt.Sprintf("127.0.0.1:%d", front)
	e.settings = filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(`node: %q
zone: "a"
ip: "127.0.0.1"
listen: {front: %q, ready: "127.0.0.1:%d"}
portRange: [%d, %d]
bounds: {configMs: 2000, revokeMs: %d, drainMs: %d, graceS: %v, leaseMs: %d, retryBudgetRatio: 0.2, retrySlack: 50, ceilingWindowS: 5}
platform: {addr: %q}
`, name, e.front, ready, peers, metrics, revokeBound.Milliseconds(), drainBound.Milliseconds(), graceTime.Seconds(), leaseBound.Milliseconds(), e.proxy.address())
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	e.logs = file
	t.Cleanup(e.close)
	go e.keep(program)
	return e
}

// keep runs the process and starts it again when it has ended.
func (e *entry) keep(program string) {
	defer close(e.ended)
	for {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		e.command = exec.Command(program, "gateway")
		e.command.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings, "GOMAXPROCS=1")
		e.command.Stdout, e.command.Stderr = e.logs, e.logs
		err := e.command.Start()
		command := e.command
		e.mu.Unlock()
		if err != nil {
			e.w.book.broken("FAULT: %s doesn't start: %v", e.name, err)
			return
		}
		if err := command.Wait(); err != nil && strings.Contains(err.Error(), "exit status") {
			e.w.book.broken("FAULT: %s ended by itself: %v", e.name, err)
		}
		time.Sleep(restartPause)
	}
}

// signal sends a signal to the process that runs now, by its ID.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Signal(s) // it may just have ended
	}
}

func (e *entry) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.ended
	_ = e.logs.Close()
}

// beat keeps the endpoints' records in the store until ctx ends.
func (w *world) beat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, k := range w.workers {
			k.beat()
		}
		time.Sleep(beatPause)
	}
}

// caller sends requests one after the other, over connections that it keeps.
func (w *world) caller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(uint64(n), 11))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	target := w.entries[n%entries]
	for i := 0; ctx.Err() == nil; i++ {
		w.mu.Lock()
		key := w.keys[random.IntN(len(w.keys))]
		w.mu.Unlock()
		if old := w.oldKey(random); old != "" {
			key = old
		}
		s := &sent{id: fmt.Sprintf("c%d-%d", n, i), kind: []string{"charge", "look", "chat", "notes"}[random.IntN(4)], key: key, at: time.Now()}
		w.book.send(s)
		status, err := w.request(ctx, client, target.front, s, random)
		w.book.ended(s, status)
		if err != nil || status == http.StatusServiceUnavailable || random.IntN(20) == 0 {
			target = w.entries[random.IntN(entries)]
			time.Sleep(time.Duration(20+random.IntN(80)) * time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// oldKey returns a withdrawn key now and then.
func (w *world) oldKey(random *rand.Rand) string {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	for key := range w.book.revoked {
		if random.IntN(4) == 0 {
			return key
		}
	}
	return ""
}

// request sends one request and checks its answer.
func (w *world) request(ctx context.Context, client *http.Client, front string, s *sent, random *rand.Rand) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+front+"/"+s.kind+"/x", nil)
	if err != nil {
		return 0, err
	}
	request.Host = "shop.example"
	request.Header.Set(platform.HeaderRequestID, s.id)
	request.Header.Set(platform.HeaderKey, s.key)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
	stream := s.kind == "chat" || s.kind == "notes"
	if stream {
		request.Header.Set(platform.HeaderModel, []string{"m0", "m0", "m1", "m2"}[random.IntN(4)])
		request.Header.Set(platform.HeaderTokens, "30,10")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode, nil
	}
	if stamp := response.Header.Get(platform.HeaderSignature); stamp != "stamp-"+s.id {
		w.book.broken("MIXED: %s got the signature %q", s.id, stamp)
	}
	if stream {
		return w.readStream(response, s)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if string(body) != "ran "+s.id {
		w.book.broken("MIXED: %s got %q", s.id, body)
	}
	return response.StatusCode, nil
}

// readStream checks that the events come in order and without a gap, and that a
// stream that ends as complete is.
func (w *world) readStream(response *http.Response, s *sent) (int, error) {
	last := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id" && value != strconv.Itoa(last+1):
			w.book.broken("ORDER: %s got event %s after %d", s.id, value, last)
		case name == "id":
			last++
		case name == "data" && value != s.id:
			w.book.broken("MIXED: %s got an event of %s", s.id, value)
		}
	}
	if lines.Err() != nil {
		return 0, lines.Err()
	}
	if last != streamEvents {
		w.book.broken("ORDER: the stream %s ends as complete after event %d", s.id, last)
	}
	return response.StatusCode, nil
}
