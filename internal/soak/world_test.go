// Package soak runs entries as separate processes against fakes of the users'
// platform and injects faults into both from outside, on a schedule drawn from a
// seed.
package soak

import (
	"context"
	"errors"
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
	clientCount     = 14
	eventsPerStream = 12
	requestTimeout  = 3 * time.Second
	recordInterval  = 400 * time.Millisecond
	restartDelay    = 300 * time.Millisecond
	gracePeriod     = 4 * time.Second

	limitedCustomer = "small"
	limitedRate     = 150.0
	limitedBurst    = 300.0
)

// environment is a fleet of entries with the store, endpoints and clients around
// it.
type environment struct {
	// crashesAfterAnswer is true if endpoints answer the request that crashes them.
	crashesAfterAnswer bool
	t                  *testing.T
	history            *history
	store              *fakes.Store
	// storeAddress is the address of the store itself. Each entry connects to it
	// through its own proxy.
	storeAddress string
	entries      []*entry
	endpoints    []*fakeEndpoint
	// drafters are the engines of draftService. draftAttempts is its route's number of
	// attempts, draftLoadTime how long they take to load a model.
	drafters      []*fakeEndpoint
	kiosks        []*fakeEndpoint
	draftAttempts int
	draftLoadTime time.Duration
	// draftInterval is the time between two events of a draft, restartDelay the time
	// after which an entry that has ended starts again.
	draftInterval time.Duration
	restartDelay  time.Duration
	delayOrders   atomic.Bool

	mu      sync.Mutex
	version int
	keys    []string
}

// entry is a process under test that is restarted whenever it exits.
type entry struct {
	env          *environment
	name         string
	settingsPath string
	frontAddress string
	proxy        *proxy
	logFile      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	closed  bool
	done    chan struct{}
}

func newEnvironment(t *testing.T, program, logDir string, random *rand.Rand) *environment {
	env := &environment{
		t: t, history: newHistory(), store: fakes.NewStore(), version: 1, draftInterval: draftInterval, restartDelay: restartDelay,
	}
	env.draftAttempts = 1 + random.IntN(2)
	env.draftLoadTime = minDraftLoad + time.Duration(random.Int64N(int64(maxDraftLoad-minDraftLoad)))
	env.keys = []string{"big-1", "big-2", "big-3", "big-4", limitedCustomer + "-1"}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: env.store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	env.storeAddress = listener.Addr().String()
	time.AfterFunc(firstConfigDelay, env.publishConfig)
	for _, service := range []string{"shop", "shop", "llm", "llm", "llm"} {
		ep := newFakeEndpoint(t, env, service)
		ep.models = ep.initialModels()
		env.endpoints = append(env.endpoints, ep)
	}
	env.endpoints[2].models = []string{"m0", "m1"}
	env.addDrafters(t)
	for range kioskCount {
		env.kiosks = append(env.kiosks, newFakeEndpoint(t, env, kioskService))
	}
	for i := range *entryCount {
		binary := program
		if *otherProgram != "" && i%2 == 1 {
			binary = *otherProgram
		}
		env.entries = append(env.entries, env.newEntry(t, binary, logDir, fmt.Sprintf("front-%d", i)))
	}
	return env
}

// publishConfig writes the next version of the configuration to the store.
func (en *environment) publishConfig() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.version++
	route := func(path, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": path, "host": "shop.example", "pathPrefix": "/" + path + "/", "type": kind, "timeoutMs": 2500, "sloMs": 400,
			"service": service, "attempts": 2, "resumable": resumable, "gapSloMs": 200,
		}
	}
	engine := func(load time.Duration) map[string]any {
		models := []any{}
		for _, m := range []string{"m0", "m1", "m2"} {
			models = append(models, map[string]any{"name": m, "weightsMb": modelSizeMB, "loadS": load.Seconds()})
		}
		return map[string]any{
			"slots": 8, "kvTokens": 10000, "weightsMb": weightCapacityMB, "adapterSlots": 2, "loadsPerS": 4, "models": models,
		}
	}
	drafts := route(draftRoute, "stream", draftService, true)
	drafts["attempts"] = en.draftAttempts
	customers := map[string]map[string]any{
		"big":           {"name": "big", "unit": "tokens", "plainTokens": 10},
		limitedCustomer: {"name": limitedCustomer, "unit": "tokens", "plainTokens": 10, "ratePerS": limitedRate, "burst": limitedBurst},
		steadyCustomer:  {"name": steadyCustomer, "unit": "tokens", "plainTokens": 10},
		calmCustomer:    {"name": calmCustomer, "unit": "tokens", "plainTokens": 10},
	}
	for name, customer := range customers {
		keys := []string{}
		for _, key := range append(slices.Clone(en.keys), steadyKey, calmKey) {
			if customerOf(key) == name {
				keys = append(keys, key)
			}
		}
		customer["apiKeys"] = keys
	}
	en.store.Put(fakes.TopicOperator, fakes.KeyConfig, map[string]any{
		"version": en.version,
		"routes": []any{
			route("charge", "nonidempotent", "shop", false), route("look", "idempotent", "shop", false),
			route("buy", "nonidempotent", kioskService, false), route("read", "idempotent", kioskService, false),
			route("notes", "stream", "llm", true), route("chat", "stream", "llm", false), drafts,
		},
		"services": []any{
			map[string]any{"name": "shop", "maxConns": 60},
			map[string]any{"name": kioskService, "maxConns": 60},
			map[string]any{"name": "llm", "maxConns": 60, "engine": engine(loadTime)},
			map[string]any{"name": draftService, "maxConns": 60, "engine": engine(en.draftLoadTime)},
		},
		"limits":  map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{customers["big"], customers[limitedCustomer], customers[steadyCustomer], customers[calmCustomer]},
	})
}

// revokeKey removes a random key from the configuration. The key is not assigned
// again.
func (en *environment) revokeKey(random *rand.Rand) {
	en.mu.Lock()
	if len(en.keys) <= 2 {
		en.mu.Unlock()
		return
	}
	i := random.IntN(len(en.keys) - 1) // the last key belongs to the limited customer
	key := en.keys[i]
	en.keys = slices.Delete(slices.Clone(en.keys), i, i+1)
	en.mu.Unlock()
	en.publishConfig()
	en.history.mu.Lock()
	en.history.revoked[key] = time.Now()
	en.history.mu.Unlock()
}

// portCounter counts the ports handed out to entries. They lie below the range
// that the system uses for outgoing connections.
var portCounter atomic.Int32

const (
	firstPort = 21000
	portRange = 9000
	// portsPerRun is the part of the range that a run of the soak has for itself.
	portsPerRun = 1800
)

// claimPorts listens on the first port of a part of the range that no other run on this
// machine has. The port is held until the process ends, which shows the others that the
// part is taken, also while entries are down.
var claimPorts = sync.OnceValues(func() (net.Listener, error) {
	for port := firstPort; port < firstPort+portRange; port += portsPerRun {
		if listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("other runs have all ports")
})

// listenOnFreePort listens on a port that no other process has.
func listenOnFreePort(t *testing.T) net.Listener {
	claim, err := claimPorts()
	if err != nil {
		t.Fatal(err)
	}
	first := claim.Addr().(*net.TCPAddr).Port + 1
	for range portsPerRun {
		port := first + int(portCounter.Add(1))%(portsPerRun-1)
		if listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return listener
		}
	}
	t.Fatal("no free port")
	return nil
}

// findFreePort returns a port on which no process listens.
func findFreePort(t *testing.T) int {
	listener := listenOnFreePort(t)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// findTwoFreePorts returns two free ports, the lower one first.
func findTwoFreePorts(t *testing.T) (int, int) {
	first, second := findFreePort(t), findFreePort(t)
	return min(first, second), max(first, second)
}

func (en *environment) newEntry(t *testing.T, program, logDir, name string) *entry {
	e := &entry{env: en, name: name, proxy: newProxy(t, en.storeAddress), done: make(chan struct{})}
	front, ready := findTwoFreePorts(t)
	peers, metrics := findTwoFreePorts(t)
	e.frontAddress = fmt.Sprintf("127.0.0.1:%d", front)
	e.settingsPath = filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(`node: %q
zone: "a"
ip: "127.0.0.1"
listen: {front: %q, ready: "127.0.0.1:%d"}
portRange: [%d, %d]
bounds: {configMs: 2000, revokeMs: %d, drainMs: %d, graceS: %v, leaseMs: %d, retryBudgetRatio: 0.2, retrySlack: 50, ceilingWindowS: 5}
platform: {addr: %q}
`, name, e.frontAddress, ready, peers, metrics, revokeBound.Milliseconds(), drainBound.Milliseconds(), gracePeriod.Seconds(),
		leaseBound.Milliseconds(), e.proxy.address())
	if err := os.WriteFile(e.settingsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := os.Create(filepath.Join(logDir, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	e.logFile = file
	t.Cleanup(e.close)
	go e.supervise(program)
	return e
}

// supervise runs the process and restarts it when it exits, until the entry is
// closed.
func (e *entry) supervise(program string) {
	defer close(e.done)
	for {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		e.command = exec.Command(program, "gateway")
		e.command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+e.settingsPath, "GOMAXPROCS=1")
		e.command.Stdout, e.command.Stderr = e.logFile, e.logFile
		err := e.command.Start()
		command := e.command
		e.mu.Unlock()
		if err != nil {
			e.env.history.addViolation("FAULT: %s could not be started: %v", e.name, err)
			return
		}
		if err := command.Wait(); err != nil && strings.Contains(err.Error(), "exit status") {
			e.env.history.addViolation("FAULT: %s exited on its own: %v", e.name, err)
		}
		time.Sleep(e.env.restartDelay)
	}
}

// signal sends a signal to the current process by its process ID.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Signal(s) // the process may just have exited
	}
}

func (e *entry) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.done
	_ = e.logFile.Close()
}

// publishRecords writes the endpoints' records to the store at regular intervals
// until ctx ends.
func (en *environment) publishRecords(ctx context.Context) {
	for ctx.Err() == nil {
		for _, ep := range slices.Concat(en.endpoints, en.drafters, en.kiosks) {
			ep.publishRecord()
		}
		time.Sleep(recordInterval)
	}
}

// runClient sends requests one after the other, over persistent connections,
// until ctx ends.
func (en *environment) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(uint64(number), 11))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	target := en.entries[number%len(en.entries)]
	for i := 0; ctx.Err() == nil; i++ {
		en.mu.Lock()
		key := en.keys[random.IntN(len(en.keys))]
		en.mu.Unlock()
		if revoked := en.pickRevokedKey(random); revoked != "" {
			key = revoked
		}
		sent := &clientRequest{
			id: fmt.Sprintf("c%d-%d", number, i), kind: []string{"charge", "look", "chat", "notes"}[random.IntN(4)],
			key: key, at: time.Now(), model: []string{"m0", "m0", "m1", "m2"}[random.IntN(4)],
		}
		sent.stream = &clientStream{firstRequest: sent.id}
		sent.prompt = drawPrompt(random, sent.id)
		en.history.recordRequest(sent)
		status, err := en.sendRequest(ctx, client, target.frontAddress, sent)
		en.history.recordStatus(sent, status)
		if err != nil && sent.kind == "notes" && sent.stream.lastEvent > 0 {
			en.resumeStream(ctx, client, sent, random)
		}
		if err != nil || status == http.StatusServiceUnavailable || random.IntN(20) == 0 {
			target = en.entries[random.IntN(len(en.entries))]
			time.Sleep(time.Duration(20+random.IntN(80)) * time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// pickRevokedKey occasionally returns a revoked key, otherwise an empty string.
func (en *environment) pickRevokedKey(random *rand.Rand) string {
	en.history.mu.Lock()
	defer en.history.mu.Unlock()
	for key := range en.history.revoked {
		if random.IntN(4) == 0 {
			return key
		}
	}
	return ""
}

// sendRequest sends one request and checks its response.
func (en *environment) sendRequest(
	ctx context.Context, client *http.Client, address string, sent *clientRequest,
) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/"+sent.kind+"/x"+sent.path, strings.NewReader(sent.body))
	if err != nil {
		return 0, err
	}
	request.Host = "shop.example"
	request.Header.Set(platform.HeaderRequestID, sent.id)
	request.Header.Set(platform.HeaderAPIKey, sent.key)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	isStream := slices.Contains([]string{"chat", "notes", draftRoute}, sent.kind)
	if isStream {
		request.Header.Set(platform.HeaderModel, sent.model)
		request.Header.Set(platform.HeaderTokenUsage, "30,10")
		request.Header.Set(platform.HeaderPromptPrefix, sent.prompt)
	}
	if sent.stream != nil && sent.stream.lastEvent > 0 {
		request.Header.Set(platform.HeaderLastEventID, strconv.Itoa(sent.stream.lastEvent))
		request.Header.Set(platform.HeaderResumes, sent.stream.firstRequest)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		seconds, _ := strconv.ParseFloat(response.Header.Get(platform.HeaderRetryAfter), 64) // 0 without one
		sent.retryAfter = time.Duration(seconds * float64(time.Second))
		return response.StatusCode, nil
	}
	if stamp := response.Header.Get(platform.HeaderServerStamp); stamp != "stamp-"+sent.id {
		en.history.addViolation("MIXED: %s got the server stamp %q", sent.id, stamp)
	}
	if isStream {
		return en.checkStream(response, sent)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if string(body) != "ran "+sent.id {
		en.history.addViolation("MIXED: %s got the body %q", sent.id, body)
	}
	return response.StatusCode, nil
}
