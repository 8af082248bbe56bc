package crowd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

const (
	// ownMemoryMB is the memory that an entry and an agent may use unless their settings say
	// otherwise, and the bound of the tests here. It is the size that docs/CAPACITY.md gives
	// a process for control.
	ownMemoryMB = 256
	// ownDescriptors is the number of open descriptors that the crowds here may cause.
	ownDescriptors = 2000
	// slowTime is how long the endpoint works on a request at slowPath.
	slowTime = 2 * time.Second
	slowPath = "/slow/1"
)

// ownConfig returns the configuration of the own interface.
func ownConfig() string {
	route := func(path, method string, idempotent bool) string {
		return fmt.Sprintf(`{"path":%q,"methods":[%q],"service":"pedidos","access":"keyed","priority":"interactive",`+
			`"idempotent":%v,"tokensPerCall":1}`, path, method, idempotent)
	}
	return fmt.Sprintf(`{"format":1,"services":{"pedidos":{"kind":"plain"}},"models":{},
"customers":{"booth":{"keys":{"a":{"sha256":%q}},"ratePerSecond":1000000,"burstTokens":1000000,"services":["pedidos"]}},
"routes":{"charge":%s,"look":%s,"slow":%s}}`, config.DigestKey([]byte(apiKey)),
		route(bodyPath, "POST", false), route(answerPath, "GET", true), route(slowPath, "POST", true))
}

// ownHead returns heads of requests to an entry.
func ownHead(method, path string) string {
	id := lastID.Add(1)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: entry\r\nX-Request-Id: crowd-%d\r\nIdempotency-Key: key-%d\r\nX-Api-Key: %s\r\n",
		method, path, id, id, apiKey)
}

// ownHeaders returns the headers of an ordinary request to an entry.
func ownHeaders() http.Header {
	h := http.Header{}
	h.Set("X-Api-Key", apiKey)
	return h
}

// startListening starts a process that prints the addresses that it listens on, and returns
// it with the first.
func startListening(t *testing.T, lines int, args ...string) (*watched, []netip.AddrPort) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := start(t, writer, args...)
	_ = writer.Close() // the process has its own copy
	t.Cleanup(func() { _ = reader.Close() })
	input := bufio.NewReader(reader)
	var addresses []netip.AddrPort
	for range lines {
		line, err := input.ReadString('\n')
		if err != nil {
			t.Fatalf("%v printed no address: %v", args, err)
		}
		addresses = append(addresses, netip.MustParseAddrPort(strings.Fields(line)[1]))
	}
	go func() { _, _ = io.Copy(io.Discard, input) }()
	return p, addresses
}

// writeJSON writes a value to a file and returns its path.
func writeJSON(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// system is an entry and an agent with what they need.
type system struct {
	entry, agent               *watched
	entryAddress, agentAddress string
}

// ownEndpoint is endpoint with requests that take slowTime.
func ownEndpoint(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == slowPath {
		_, _ = io.Copy(io.Discard, r.Body) // fails only if the agent has gone
		time.Sleep(slowTime)
	}
	endpoint(w, r)
}

func startSystem(t *testing.T) *system {
	t.Helper()
	_, log := startListening(t, 1, "fake", "log")
	_, hosts := startListening(t, 1, "fake", "hosts")
	logURL, hostsURL := "http://"+log[0].String(), "http://"+hosts[0].String()
	agent, agentAddresses := startListening(t, 2, "agent", "--settings", writeJSON(t, map[string]any{
		"host": "agent-1", "zone": "a", "service": "pedidos", "kind": "service", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"endpoint": serveLoopback(t, http.HandlerFunc(ownEndpoint)), "slots": 200, "log": logURL, "hosts": hostsURL,
	}))
	entry, entryAddresses := startListening(t, 3, "entry", "--settings", writeJSON(t, map[string]any{
		"host": "entry-1", "zone": "a", "listen": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"log": logURL, "hosts": hostsURL,
	}))
	for _, host := range []plat.Host{
		{Name: "agent-1", Role: plat.RoleAgent, Zone: "a", Service: "pedidos", Address: agentAddresses[0], State: plat.HostLive},
		{Name: "entry-1", Role: plat.RoleEntry, Zone: "a", Address: entryAddresses[1], State: plat.HostLive},
	} {
		body, err := json.Marshal(host)
		if err != nil {
			t.Fatal(err)
		}
		request, err := http.NewRequest(http.MethodPut, hostsURL+"/hosts", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	file := filepath.Join(t.TempDir(), "text.json")
	if err := os.WriteFile(file, []byte(ownConfig()), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(programPath, "config", "publish", file, "--log", logURL).CombinedOutput(); err != nil {
		t.Fatalf("publish: %v: %s", err, out)
	}
	s := &system{
		entry: entry, agent: agent,
		entryAddress: entryAddresses[0].String(), agentAddress: agentAddresses[0].String(),
	}
	s.awaitAnswer(t, 100)
	return s
}

// awaitAnswer waits until an ordinary request with a body of a size is answered.
func (s *system) awaitAnswer(t *testing.T, size int) {
	t.Helper()
	last := 0
	eventually(t, fmt.Sprintf("a request with a body of %d bytes is answered", size), func() bool {
		last = post(s.entryAddress, ownHeaders, size)
		return last == http.StatusOK
	})
}

// complete sends whole bodies of the longest kind to the slow endpoint and reads nothing.
func complete(c *client) {
	if c.writeString(c.head("POST", slowPath)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)) && c.write(zeros) {
		c.stay()
	}
}

// Guards against an entry or an agent that runs out of memory since nothing bounds the sum
// of what clients make it hold, and against an agent that stops to serve its entries while
// other clients connect to its port. The crowds come one after another to the same
// processes, so a peak is that of all crowds so far.
func TestEntryAndAgentStayWithinTheirLimits(t *testing.T) {
	s := startSystem(t)
	check := func(t *testing.T) {
		s.awaitAnswer(t, 100)
		s.awaitAnswer(t, bodyBytes)
		s.entry.check(t, "entry", ownMemoryMB, ownDescriptors)
		s.agent.check(t, "agent", ownMemoryMB, ownDescriptors)
	}
	for _, k := range append(kinds[:len(kinds):len(kinds)], kind{"whole bodies at a slow endpoint", 48, complete}) {
		t.Run(k.name, func(t *testing.T) {
			k.run(s.entryAddress, ownHead)
			check(t)
		})
	}
	for _, k := range []kind{{"endless headers", 600, endlessHeader}, {"idle", 600, idle}, {"endless chunks", 48, endlessChunks}} {
		t.Run("at the agent, "+k.name, func(t *testing.T) {
			k.run(s.agentAddress, ownHead)
			check(t)
		})
	}
}
