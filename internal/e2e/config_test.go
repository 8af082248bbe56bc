package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// configCommand runs the config command and returns its exit status and output.
func (s *system) configCommand(t *testing.T, args ...string) (status int, out string) {
	t.Helper()
	cmd := exec.Command(programPath, append([]string{"config"}, append(args, "--log", s.log.url())...)...)
	output, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(output)
}

// writeFile writes text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// blockingProxy is a proxy to the log that can stop responding to one entry.
type blockingProxy struct {
	*httptest.Server
	blocked atomic.Bool
}

func newBlockingProxy(t *testing.T, target string) *blockingProxy {
	t.Helper()
	targetURL, err := url.Parse(target)
	if err != nil {
		t.Fatal(err)
	}
	blocking := &blockingProxy{}
	proxy := httputil.NewSingleHostReverseProxy(targetURL)
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	blocking.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if blocking.blocked.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // with an unread body, the server doesn't detect that the client closed
			<-r.Context().Done()               // sends no response; ends when the client closes
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		blocking.CloseClientConnections()
		blocking.Close()
	})
	return blocking
}

// completeAt requests a completion from one entry.
func completeAt(t *testing.T, p *process) callResult {
	t.Helper()
	return do(t, "POST", p.url()+"/v1/completions", `{"model":"lengua-8b","prompt":"x","max_tokens":1}`,
		"Authorization", "Bearer "+boothKey)
}

func ready(t *testing.T, p *process) bool {
	t.Helper()
	return do(t, "GET", p.url()+"/readyz", "").status == 200
}

func TestRacingOperators(t *testing.T) {
	t.Parallel()
	s := &system{log: start(t, "fake", "log")}
	first := writeFile(t, configText())
	if status, out := s.configCommand(t, "publish", first); status != 0 {
		t.Fatalf("publish: %d %s", status, out)
	}
	s.log.setFaults(t, fakes.Faults{DelayMs: 300}) // so that all read before any of them appends
	const operators = 4
	statuses := make(chan int, operators)
	for i := range operators {
		patch := writeFile(t, fmt.Sprintf(`{"customers":{"booth":{"weight":%d}}}`, i+1))
		go func() {
			cmd := exec.Command(programPath, "config", "publish", patch, "--patch", "--log", s.log.url())
			_ = cmd.Run()
			statuses <- cmd.ProcessState.ExitCode()
		}()
	}
	accepted, refused := 0, 0
	for range operators {
		switch status := <-statuses; status {
		case 0:
			accepted++
		case 3:
			refused++
		default:
			t.Errorf("exit status %d, want 0 or 3", status)
		}
	}
	if accepted != 1 || refused != operators-1 {
		t.Errorf("%d accepted, %d refused, want 1 and %d", accepted, refused, operators-1)
	}
}

func TestPublishWithLostAnswers(t *testing.T) {
	t.Parallel()
	s := &system{log: start(t, "fake", "log")}
	s.log.setFaults(t, fakes.Faults{LoseAnswers: true})
	status, out := s.configCommand(t, "publish", writeFile(t, configText()), "--wait", "1s")
	if status != 1 || strings.Contains(out, "accepted") {
		t.Errorf("with the responses to reads lost: %d %s, want 1, as nothing was published", status, out)
	}
	s.log.setFaults(t, fakes.Faults{})
	lossy := newLossyLog(t, s.log.url())
	cmd := exec.Command(programPath, "config", "publish", writeFile(t, configText()), "--log", lossy.URL)
	if text, err := cmd.CombinedOutput(); err != nil || !strings.Contains(string(text), "accepted 1") {
		t.Errorf("with the response to the append lost: %v %s, want accepted 1", err, text)
	}
	lossy.down.Store(true)
	cmd = exec.Command(programPath, "config", "publish", writeFile(t, `{"customers":{"other":null}}`), "--patch",
		"--wait", "1500ms", "--log", lossy.URL)
	text, _ := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 4 || !strings.Contains(string(text), "unknown: the publish ") {
		t.Fatalf("with the log down after the append: %d %s, want 4", cmd.ProcessState.ExitCode(), text)
	}
	_, rest, _ := strings.Cut(string(text), "unknown: the publish ")
	nonce, _, _ := strings.Cut(rest, " ")
	if status, out := s.configCommand(t, "outcome", nonce); status != 0 || !strings.Contains(out, "accepted") {
		t.Errorf("outcome: %d %s, want accepted", status, out)
	}
	if status, _ := s.configCommand(t, "outcome", "none"); status != 4 {
		t.Errorf("outcome of an unknown publish: %d, want 4", status)
	}
}

// lossyLog is a proxy to the log that drops the responses to appends. If down is
// set, it answers 503 to all requests after the next append.
type lossyLog struct {
	*httptest.Server
	down     atomic.Bool
	appended atomic.Bool
}

func newLossyLog(t *testing.T, target string) *lossyLog {
	t.Helper()
	lossy := &lossyLog{}
	lossy.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lossy.down.Load() && lossy.appended.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.String(), r.Body)
		if err != nil {
			t.Error(err)
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		if r.Method == http.MethodPost {
			lossy.appended.Store(lossy.down.Load())
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(w, response.Body)
	}))
	t.Cleanup(lossy.Close)
	return lossy
}

func TestShowAndDiff(t *testing.T) {
	t.Parallel()
	s := &system{log: start(t, "fake", "log")}
	s.publish(t, configText())
	s.publish(t, `{"customers":{"other":{"ratePerSecond":11}}}`, "--patch")
	if status, out := s.configCommand(t, "show"); status != 0 || !strings.Contains(out, "offset 2") {
		t.Errorf("show: %d %s, want offset 2", status, out)
	}
	status, out := s.configCommand(t, "diff", "--from", "1")
	if status != 0 || strings.Join(strings.Fields(out), "") != `{"customers":{"other":{"ratePerSecond":11}}}` {
		t.Errorf("diff of offsets: %d %s", status, out)
	}
	status, out = s.configCommand(t, "diff", writeFile(t, configText()))
	if status != 0 || strings.Join(strings.Fields(out), "") != `{"customers":{"other":{"ratePerSecond":10}}}` {
		t.Errorf("diff to a file: %d %s", status, out)
	}
	if status, _ := s.configCommand(t, "publish", writeFile(t, `{}`), "--patch", "--base", "1"); status != 3 {
		t.Errorf("publish on a stale base: %d, want 3", status)
	}
}

func TestSlowLogAtOneEntry(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	logProxy := newBlockingProxy(t, s.log.url())
	slow := s.addEntryWith(t, "entry-2", logProxy.URL, nil)
	eventually(t, "the second entry serves", func() bool { return completeAt(t, slow).status == 200 })
	logProxy.blocked.Store(true)
	logProxy.CloseClientConnections()
	s.publish(t, `{"customers":{"booth":{"keys":{"a":null}}}}`, "--patch")
	eventually(t, "the entry that can't read the log refuses the withdrawn key", func() bool {
		res := completeAt(t, slow)
		return res.status == 401 && res.verdict == "not-run"
	})
}

func TestFreshEntryWhileLogIsDown(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.log.setFaults(t, fakes.Faults{Down: true})
	fresh := s.addEntryWith(t, "entry-2", s.log.url(), nil)
	eventually(t, "the new entry has the peer's configuration", func() bool {
		return ready(t, fresh) && completeAt(t, fresh).status == 200
	})
	if res := s.complete(t, boothKey, 1, false); res.status != 200 {
		t.Errorf("the existing entry: %+v, want 200", res)
	}
	s.log.setFaults(t, fakes.Faults{})
	s.publish(t, `{"customers":{"booth":{"keys":{"a":null}}}}`, "--patch")
	for _, p := range s.entries {
		eventually(t, "the change takes effect after the log recovers", func() bool {
			return completeAt(t, p).status == 401
		})
	}
}

func TestIsolatedEntryStopsAdmitting(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	logProxy := newBlockingProxy(t, s.log.url())
	isolated := s.addEntryWith(t, "entry-2", logProxy.URL, map[string]any{"isolationLimit": "6s"})
	eventually(t, "the second entry serves", func() bool { return completeAt(t, isolated).status == 200 })
	// The other entry is paused, so neither a peer nor the log answers.
	logProxy.blocked.Store(true)
	logProxy.CloseClientConnections()
	pause(t, s.entries[0])
	eventually(t, "calls are refused as not run", func() bool {
		res := completeAt(t, isolated)
		return res.status == 503 && res.verdict == "not-run" && !ready(t, isolated)
	})
	logProxy.blocked.Store(false)
	eventually(t, "calls are served again", func() bool { return completeAt(t, isolated).status == 200 })
}

// pause stops a process with SIGSTOP until the end of the test.
func pause(t *testing.T, p *process) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
}

func TestWithdrawnKeyEndsStream(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.engine.setFaults(t, fakes.Faults{TokenMs: 50})
	conn, err := net.Dial("tcp", s.entries[0].address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := `{"model":"lengua-8b","prompt":"x","max_tokens":4000,"stream":true}`
	_, err = fmt.Fprintf(conn,
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		boothKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 4096)
	if _, err := conn.Read(buffer); err != nil {
		t.Fatal(err)
	}
	s.publish(t, `{"customers":{"booth":{"keys":{"a":null}}}}`, "--patch")
	if err := conn.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// The whole stream would take 200 s.
	rest, err := io.ReadAll(conn)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the stream did not end: %v", err)
	}
	if bytes.Contains(rest, []byte("[DONE]")) || bytes.HasSuffix(rest, []byte("\r\n0\r\n\r\n")) {
		t.Errorf("a canceled stream was marked complete: %q", rest[max(0, len(rest)-400):])
	}
	if !bytes.Contains(rest, []byte("key_withdrawn")) {
		t.Errorf("the stream does not end with the error key_withdrawn: %q", rest[max(0, len(rest)-400):])
	}
	eventually(t, "the engine's request is canceled", func() bool {
		var report plat.Report
		_ = json.Unmarshal([]byte(do(t, "GET", s.engine.url()+"/engine/report", "").body), &report)
		return report.Running == 0
	})
}

func TestRetentionWithCheckpoints(t *testing.T) {
	t.Parallel()
	s := &system{
		log:   start(t, "fake", "log", "--retention", "4s"),
		hosts: start(t, "fake", "hosts"),
	}
	retention := map[string]any{"logRetention": "4s"}
	first := s.addEntryWith(t, "entry-1", s.log.url(), retention)
	s.publish(t, configText())
	eventually(t, "the first entry is ready", func() bool { return ready(t, first) })
	eventually(t, "the publish record has expired", func() bool {
		var page plat.Page
		_ = json.Unmarshal([]byte(do(t, "GET", s.log.url()+"/streams/config?from=1", "").body), &page)
		return page.First > 1
	})
	if status, out := s.configCommand(t, "show"); status != 0 || !strings.Contains(out, "lengua-8b") {
		t.Errorf("show after the record expired: %d %s", status, out)
	}
	_ = do(t, "DELETE", s.hosts.url()+"/hosts?name=entry-1", "") // no peer to pull from
	second := s.addEntryWith(t, "entry-2", s.log.url(), retention)
	eventually(t, "a new entry starts from the checkpoint", func() bool { return ready(t, second) })
}

func TestUnknownFormatIsNotPublished(t *testing.T) {
	t.Parallel()
	s := &system{log: start(t, "fake", "log")}
	if status, out := s.configCommand(t, "publish", writeFile(t, `{"format":3}`)); status != 1 ||
		!strings.Contains(out, "later release") {
		t.Errorf("publish of format 3: %d %s, want 1", status, out)
	}
}

func TestLeavingAgentLosesNewWorkThoughListed(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	other := start(t, "fake", "service")
	s.addAgent(t, "agent-other", "pedidos", "service", other)
	eventually(t, "both endpoints serve", func() bool {
		s.charge(t, "either")
		return strings.Contains(do(t, "GET", other.url()+"/fake/requests", "").body, "either")
	})
	s.service.setFaults(t, fakes.Faults{DelayMs: 6000})
	const running = 8
	results := make(chan callResult, running)
	for range running {
		go func() { results <- s.charge(t, "old") }()
	}
	time.Sleep(500 * time.Millisecond)
	leaving := s.agents["agent-service"]
	if err := leaving.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second) // the host list still has it as live
	for range 20 {
		if res := s.charge(t, "new"); res.status != 200 {
			t.Errorf("call after the signal: %+v, want 200", res)
		}
	}
	for range running {
		if res := <-results; res.status != 200 {
			t.Errorf("call that ran at the signal: %+v, want 200", res)
		}
	}
	if seen := do(t, "GET", s.service.url()+"/fake/requests", "").body; strings.Contains(seen, `"body":"new"`) ||
		!strings.Contains(seen, `"body":"old"`) {
		t.Errorf("requests at the endpoint of the leaving agent: %s", seen)
	}
}

func TestRestoreInALogThatHasLostTheText(t *testing.T) {
	t.Parallel()
	s := &system{
		log:   start(t, "fake", "log", "--retention", "1s"),
		hosts: start(t, "fake", "hosts"),
	}
	s.publish(t, configText())
	configFile := writeFile(t, configText())
	if status, out := s.configCommand(t, "restore", configFile); status != 1 || !strings.Contains(out, "has a configuration") {
		t.Errorf("restore while the log has a configuration: %d %s, want 1", status, out)
	}
	eventually(t, "the log has lost the configuration", func() bool {
		status, _ := s.configCommand(t, "show")
		return status == 1
	})
	entry := s.addEntryWith(t, "entry-1", s.log.url(), map[string]any{"logRetention": "1s"})
	if ready(t, entry) {
		t.Error("an entry is ready without a configuration")
	}
	if status, out := s.configCommand(t, "restore", configFile); status != 0 {
		t.Errorf("restore: %d %s", status, out)
	}
	eventually(t, "the entry starts from the restored configuration", func() bool { return ready(t, entry) })
}
