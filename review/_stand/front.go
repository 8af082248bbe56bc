package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program and role are the command of the deploy file.
	program = "target/dogwoodfold"
	role    = "gateway"
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

const (
	// firstPort and lastPort bound the ports in use, below those that the system uses for outgoing
	// connections. Each play has a block of its own.
	firstPort  = 12000
	lastPort   = 30000
	portsBlock = 100
)

// ports gives each port of the block of this play once.
var ports struct {
	mu    sync.Mutex
	claim net.Listener
	next  int
}

// claimBlock listens on the first port of a free block, which it holds until the process ends, so
// that plays beside this one leave the block alone.
func claimBlock() {
	for ports.claim == nil {
		first := firstPort + rand.IntN((lastPort-firstPort)/portsBlock)*portsBlock
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			ports.claim, ports.next = listener, first+1
		}
	}
}

// listen returns a listener on a free port of the loopback interface.
func listen() net.Listener {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	claimBlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if listener, err := net.Listen("tcp4", address); err == nil {
			return listener
		}
	}
}

func freePort() int {
	listener := listen()
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// serveHTTP serves a handler on a free port and returns the address.
func serveHTTP(handler http.Handler) string {
	listener := listen()
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// bounds are those of the settings that a case changes.
type bounds struct {
	graceS  int
	leaseMs int
}

var usualBounds = bounds{
	graceS:  8,
	leaseMs: 3000,
}

// front is a gateway process, which the platform starts again when it has ended.
type front struct {
	name, address, ready string
	store                string
	firstPort, lastPort  int
	settings             string
	log                  *os.File
	record               *record

	mu      sync.Mutex
	command *exec.Cmd
	closed  bool
	done    chan struct{}
}

func newFront(name, store, dir string, b bounds, r *record) (*front, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	first, last := freePort(), freePort()
	f := &front{
		name:      name,
		address:   fmt.Sprintf("127.0.0.1:%d", freePort()),
		ready:     fmt.Sprintf("127.0.0.1:%d", freePort()),
		store:     store,
		firstPort: first,
		lastPort:  last,
		settings:  filepath.Join(dir, name+".yaml"),
		log:       log,
		record:    r,
		done:      make(chan struct{}),
	}
	if err := f.write(b); err != nil {
		return nil, err
	}
	go f.supervise()
	return f, nil
}

// write writes the settings file, as the platform does at each start and whenever the settings
// change.
func (f *front) write(b bounds) error {
	text := fmt.Sprintf(`node: %q
role: "gateway"
machineClass: "front"
serves: ["front"]
ip: "127.0.0.1"
zone: "zone-a"
region: "region-a"
zones: {zone-a: "region-a"}
listen: {front: %q, ready: %q}
portRange: [%d, %d]
bootstrap: true
limits: {cpuShare: 0.304, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: %d,
  lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevoke: true, revokeMs: 5000,
  retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 54, quotaWindowS: 8, quotaOverrun: 0.1, quotaSlack: 11000,
  recoverS: 12, passMs: 120, retryAfterS: 0, fencingRequired: false, leaseMs: %d, thawMs: 300, ceilingWindowS: 5,
  ceilingOverrun: 1.1}
platform: {addr: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: 12, appendMs: 2.0, ingressPerS: 20.0,
  egressPerS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
`, f.name, f.address, f.ready, f.firstPort, f.lastPort, b.graceS, b.leaseMs, f.store)
	return os.WriteFile(f.settings, []byte(text), 0o600)
}

func (f *front) supervise() {
	defer close(f.done)
	for {
		f.mu.Lock()
		if f.closed {
			f.mu.Unlock()
			return
		}
		command := exec.Command(program, role)
		command.Env = append(os.Environ(), "DOGWOODFOLD_BOOT="+f.settings)
		command.Stdout, command.Stderr = f.log, f.log
		err := command.Start()
		f.command = command
		f.mu.Unlock()
		if err != nil {
			f.record.say("%s can't be started: %v", f.name, err)
			return
		}
		f.record.add("%s started", f.name)
		err = command.Wait()
		f.record.add("%s ended: %v", f.name, err)
		time.Sleep(restartDelay)
	}
}

func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.command != nil && f.command.Process != nil {
		f.record.add("%s gets %v", f.name, s)
		_ = f.command.Process.Signal(s) // it may just have ended
	}
}

func (f *front) close() {
	f.mu.Lock()
	f.closed = true
	if f.command != nil && f.command.Process != nil {
		_ = f.command.Process.Kill() // it may have ended
	}
	f.mu.Unlock()
	<-f.done
	_ = f.log.Close()
}

// isReady reports whether the front says that it is ready.
func (f *front) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	client.CloseIdleConnections()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all fronts are ready.
func waitReady(fronts []*front, limit time.Duration) error {
	var late []string
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		late = nil
		for _, f := range fronts {
			if !f.isReady() {
				late = append(late, f.name)
			}
		}
		if len(late) == 0 {
			return nil
		}
	}
	return fmt.Errorf("not ready after %v: %s", limit, strings.Join(late, ", "))
}
