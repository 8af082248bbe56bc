// Package e2e tests the program end to end, as separate processes that
// communicate over real sockets.
package e2e

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"

	// The program is built by its own command: without this import, a result would be taken
	// from the cache after the program has changed.
	_ "dogwoodfold/internal/cmds"
)

// programPath is the path of the binary under test.
var programPath string

// otherProgram is the path of a binary of another release. If set, every second
// entry and agent of a test runs it.
var otherProgram = flag.String("e2e.other", "", "path of a binary of another release that runs every second entry and agent")

// sideBySide is the number of tests that run at the same time, unless -parallel names
// another one. They mostly wait, but a host that is short of processor time would break
// the bounds of some.
const sideBySide = 4

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", strconv.Itoa(sideBySide)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program once for all tests, runs them and returns the
// exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dogwoodfold")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "dogwoodfold")
	build := exec.Command("go", "build", "-o", programPath, "dogwoodfold/cmd/dogwoodfold")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// TestSourcesCount opens every source file, so that the test cache of go test is
// invalidated when the program changes. The program is built by a command that
// go test can't see; go test tracks only the files that tests open.
func TestSourcesCount(t *testing.T) {
	count := 0
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		count++
		return f.Close()
	})
	if err != nil || count == 0 {
		t.Errorf("opened %d source files: %v", count, err)
	}
}

// process is a running process of the program.
type process struct {
	cmd     *exec.Cmd
	address netip.AddrPort
	peers   netip.AddrPort
	admin   netip.AddrPort
	logFile string
}

// url returns the base URL of the process's main listener.
func (p *process) url() string { return "http://" + p.address.String() }

// oneCore is the environment variable that limits a process to one core.
const oneCore = "GOMAXPROCS=1"

// start runs the program with args and waits until it listens.
func start(t testing.TB, args ...string) *process {
	t.Helper()
	return startWithEnv(t, nil, args...)
}

// startWithEnv is start with additional environment variables.
func startWithEnv(t testing.TB, environment []string, args ...string) *process {
	t.Helper()
	path := programPath
	switch args[0] {
	case "fake":
		args = append(args, "--listen", loopback(t))
	case "entry", "agent":
		if *otherProgram != "" && fleets.countMember(t)%2 == 0 {
			path = *otherProgram
		}
	}
	p := &process{
		cmd:     exec.Command(path, args...),
		logFile: filepath.Join(t.TempDir(), "log"),
	}
	p.cmd.Env = append(os.Environ(), environment...)
	logs, err := os.Create(p.logFile)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = logs
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		_ = logs.Close()
		if t.Failed() {
			p.printLogs(t, args)
		}
	})
	lines := bufio.NewReader(stdout)
	p.address = readAddress(t, lines, "listen")
	if args[0] == "entry" {
		p.peers = readAddress(t, lines, "peers")
	}
	if args[0] != "fake" {
		p.admin = readAddress(t, lines, "admin")
	}
	go func() { _, _ = io.Copy(io.Discard, stdout) }()
	return p
}

// readAddress reads a line "NAME ADDRESS" from the output of a process.
func readAddress(t testing.TB, lines *bufio.Reader, name string) netip.AddrPort {
	t.Helper()
	line, err := lines.ReadString('\n')
	if err != nil {
		t.Fatalf("reading the %s address: %v", name, err)
	}
	return netip.MustParseAddrPort(strings.TrimSpace(strings.TrimPrefix(line, name+" ")))
}

// maxLogLines is the number of log lines printed for each process after a failure.
const maxLogLines = 8

// printLogs prints the last lines of a process's log, leaving out calls that
// ended with no error code.
func (p *process) printLogs(t testing.TB, args []string) {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return
	}
	lines := slices.DeleteFunc(strings.Split(string(text), "\n"), func(line string) bool {
		return strings.Contains(line, "call ended") && !strings.Contains(line, `"code"`)
	})
	t.Logf("logs of %v:\n%s", args, strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t testing.TB, value map[string]any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// system is a small fleet of processes.
type system struct {
	log, hosts, engine, service *process
	entries                     []*process
	agents                      map[string]*process
}

const (
	boothKey = "booth-secret-key"
	otherKey = "other-secret-key"
)

// configText returns the configuration that most tests publish.
func configText() string {
	return fmt.Sprintf(`{"format":1,
"services":{"lengua":{"kind":"model"},"pedidos":{"kind":"plain"}},
"models":{"lengua-8b":{"service":"lengua","version":"v1","versions":{"v1":{"memoryBytes":1000}}}},
"customers":{
 "booth":{"keys":{"a":{"sha256":"%s"}},"ratePerSecond":100000,"burstTokens":1000000,"services":["lengua","pedidos"]},
 "other":{"keys":{"a":{"sha256":"%s"}},"ratePerSecond":10,"burstTokens":100,"services":["lengua"]}},
"routes":{
 "complete":{"path":"/v1/completions","methods":["POST"],"service":"lengua","access":"keyed",
  "priority":"interactive","idempotent":true},
 "charge":{"path":"/charge","methods":["POST"],"service":"pedidos","access":"keyed",
  "priority":"interactive","idempotent":false,"tokensPerCall":10,"query":["booth"]}}}`,
		config.DigestKey([]byte(boothKey)), config.DigestKey([]byte(otherKey)))
}

// newSystem starts the fakes of the platform, an engine, a service, their agents
// and one entry, publishes the configuration and waits until calls are served.
func newSystem(t testing.TB) *system {
	t.Helper()
	s := &system{
		log:     start(t, "fake", "log"),
		hosts:   start(t, "fake", "hosts"),
		engine:  start(t, "fake", "engine", "--model", "lengua-8b/v1", "--slots", "4096"),
		service: start(t, "fake", "service"),
		agents:  make(map[string]*process),
	}
	s.addAgent(t, "agent-engine", "lengua", "engine", s.engine)
	s.addAgent(t, "agent-service", "pedidos", "service", s.service)
	s.addEntry(t, "entry-1", 0)
	s.publish(t, configText())
	s.awaitServing(t)
	return s
}

func (s *system) addAgent(t testing.TB, name, service, kind string, endpoint *process) {
	t.Helper()
	p := start(t, "agent", "--settings", writeSettings(t, map[string]any{
		"host": name, "zone": "mx-centro-a", "service": service, "kind": kind,
		"listen": loopback(t), "admin": loopback(t),
		"endpoint": endpoint.address.String(), "slots": 4096, "log": s.log.url(), "hosts": s.hosts.url(),
	}))
	s.agents[name] = p
	s.registerHost(t, plat.Host{
		Name:    name,
		Role:    plat.RoleAgent,
		Zone:    "mx-centro-a",
		Service: service,
		Address: p.address,
		State:   plat.HostLive,
	})
}

func (s *system) addEntry(t testing.TB, name string, share float64, environment ...string) {
	t.Helper()
	s.addEntryWith(t, name, s.log.url(), map[string]any{"staticShare": share}, environment...)
}

// addEntryWith starts an entry with its own log URL, extra settings and additional
// environment variables.
func (s *system) addEntryWith(t testing.TB, name, log string, extra map[string]any, environment ...string) *process {
	t.Helper()
	values := map[string]any{
		"host": name, "zone": "mx-centro-a", "listen": loopback(t), "peers": loopback(t), "admin": loopback(t),
		"log": log, "hosts": s.hosts.url(),
	}
	maps.Copy(values, extra)
	p := startWithEnv(t, environment, "entry", "--settings", writeSettings(t, values))
	s.entries = append(s.entries, p)
	s.registerHost(t, plat.Host{
		Name:    name,
		Role:    plat.RoleEntry,
		Zone:    "mx-centro-a",
		Address: p.peers,
		State:   plat.HostLive,
	})
	return p
}

// registerHost adds a host to the platform's host list, or replaces it there.
func (s *system) registerHost(t testing.TB, host plat.Host) {
	t.Helper()
	body, err := json.Marshal(host)
	if err != nil {
		t.Fatal(err)
	}
	if res := do(t, "PUT", s.hosts.url()+"/hosts", string(body)); res.status != 200 {
		t.Fatalf("host list returned status %d", res.status)
	}
}

// publish publishes a configuration text with the config command.
func (s *system) publish(t testing.TB, text string, flags ...string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "text.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	args := append([]string{"config", "publish", file, "--log", s.log.url()}, flags...)
	if out, err := exec.Command(programPath, args...).CombinedOutput(); err != nil {
		t.Fatalf("publish: %v: %s", err, out)
	}
}

// awaitServing waits until the first entry serves a plain call and then a model call. The
// engine serves one call, however long that takes: agents learn its speed from the calls.
func (s *system) awaitServing(t testing.TB) {
	t.Helper()
	eventually(t, "a plain call is served", func() bool { return s.charge(t, "warm-up").status == 200 })
	eventually(t, "a model call is served", func() bool { return s.complete(t, boothKey, 1, false).status == 200 })
}

// callResult is the response to an HTTP request, or its error.
type callResult struct {
	status  int
	body    string
	verdict string
	err     error
}

// do sends a request, with headers as name, value pairs, and returns its result.
func do(t testing.TB, method, url, body string, headers ...string) callResult {
	t.Helper()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	request.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(request, response, 30*time.Second); err != nil {
		return callResult{err: err}
	}
	return callResult{
		status:  response.StatusCode(),
		body:    string(response.Body()),
		verdict: string(response.Header.Peek("Dogwoodfold-Verdict")),
	}
}

// complete requests a completion from the first entry.
func (s *system) complete(t testing.TB, key string, tokens int, stream bool) callResult {
	t.Helper()
	body := fmt.Sprintf(`{"model":"lengua-8b","prompt":"order of two hoodies","max_tokens":%d,"stream":%v}`, tokens, stream)
	return do(t, "POST", s.entries[0].url()+"/v1/completions", body, "Authorization", "Bearer "+key)
}

// charge makes a call that is not idempotent through the first entry.
func (s *system) charge(t testing.TB, body string) callResult {
	t.Helper()
	return do(t, "POST", s.entries[0].url()+"/charge?booth=3&key="+boothKey, body, "X-Api-Key", boothKey, "Cookie", "k="+boothKey)
}

// setFaults replaces the faults that a fake injects.
func (p *process) setFaults(t testing.TB, f fakes.Faults) {
	t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	if res := do(t, "POST", p.url()+"/fake/faults", string(body)); res.status != 200 {
		t.Fatalf("setting faults returned status %d: %s", res.status, res.body)
	}
}

// eventually polls until a condition holds, and fails the test after 30 s.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 30 s: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
