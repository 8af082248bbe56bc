package cmds

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dogwoodfold/platform/fakes"
)

// startModelStore serves a fake of the platform's store with a service with two engines and a
// customer, and returns its address. Nothing listens at the engines' addresses.
func startModelStore(t *testing.T) string {
	t.Helper()
	store := fakes.NewStore()
	store.Put(fakes.TopicOperator, fakes.KeyConfig, map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "chat", "host": "h", "pathPrefix": "/chat/", "type": "stream", "timeoutMs": 4000, "sloMs": 500,
			"service": "llm", "attempts": 2, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "llm", "maxConns": 50, "engine": map[string]any{
			"slots": 8, "kvTokens": 1000, "weightsMb": 100, "adapterSlots": 2, "loadsPerS": 1,
			"models": []any{map[string]any{"name": "m1", "weightsMb": 50, "loadS": 1}, map[string]any{"name": "m2", "weightsMb": 50, "loadS": 1}},
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}, "unit": "tokens", "plainTokens": 200, "ratePerS": 50, "burst": 100}},
	})
	for id, model := range map[string]string{"llm-1": "m1", "llm-2": "m2"} {
		store.Put(fakes.TopicEndpoints, id, map[string]any{
			"service": "llm", "addr": "127.0.0.1:9", "zone": "b", "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "seq": 1, "born": 1, "models": []any{map[string]any{"name": model, "version": 1, "adapters": []string{}}},
		})
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String()).String()
}

// startGatewayOn starts a gateway of a host and returns the address of its metrics listener,
// which is at the port after that for sessions, as at all hosts.
func startGatewayOn(t *testing.T, host, store string) string {
	t.Helper()
	const tries = 50
	ports := unusedPorts(t, 4)
	for n := 0; ports[3] != ports[2]+1; n++ {
		if n == tries {
			t.Fatal("no two ports beside each other are unused")
		}
		ports = unusedPorts(t, 4)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(settingsFormat, ports[0], ports[1], ports[2], ports[3], store)
	if err := os.WriteFile(path, []byte(strings.Replace(text, "front-1", host, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	startGateway(t, "--settings", path)
	return fmt.Sprintf("127.0.0.1:%d", ports[3])
}

// waitForExplanation waits until an explanation contains a text and returns it.
func waitForExplanation(t *testing.T, text string, args ...string) string {
	t.Helper()
	const limit = 10 * time.Second
	deadline := time.Now().Add(limit)
	for {
		out, _, err := execute(append([]string{"explain"}, args...)...)
		if err == nil && strings.Contains(out, text) {
			return out
		}
		if time.Now().After(deadline) {
			t.Fatalf("explanation without %q for %v: %s, error %v", text, limit, out, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a follower's explanation that stops at its own, older data, and against
// unknown names that a script takes for an answer.
func TestExplainAsksTheLeader(t *testing.T) {
	store := startModelStore(t)
	leader := startGatewayOn(t, "front-1", store)
	request := []string{"--service", "llm", "--model", "m2", "--prompt-parts", "sys:100,own:300", "--output-tokens", "50", "--customer", "acme"}
	table := waitForExplanation(t, "leads", append(request, "--address", leader)...)
	if cells := fields(t, table, "llm-2"); cells[len(cells)-1] != "chosen" {
		t.Errorf("row %v, want llm-2 chosen in:\n%s", cells, table)
	}
	if !strings.Contains(table, "lacks the model") || !strings.Contains(table, "acme costs 450 tokens") {
		t.Errorf("no reason for llm-1 or cost of 450 tokens in:\n%s", table)
	}
	follower := startGatewayOn(t, "front-2", store)
	table = waitForExplanation(t, "front-1 decides", append(request, "--address", follower)...)
	for _, want := range []string{"front-2, zone a, follows front-1", "front-1, zone a, leads", "send to llm-2"} {
		if !strings.Contains(table, want) {
			t.Errorf("no %q in:\n%s", want, table)
		}
	}
	var both struct{ Entry, Leader explanation }
	out, _, err := execute(append([]string{"explain", "--json", "--address", follower}, request...)...)
	if err != nil || json.Unmarshal([]byte(out), &both) != nil {
		t.Fatalf("error %v, printed %s", err, out)
	}
	if both.Leader.Endpoint != "llm-2" || both.Entry.Leader != "front-1" || both.Entry.Endpoint != "" || both.Entry.ConfigVersion != 3 ||
		len(both.Leader.Options) != 2 || len(both.Leader.Options[0].Terms) == 0 || both.Leader.Options[0].ID != "llm-2" {
		t.Errorf("explained %+v, want llm-2 chosen by the leader front-1", both)
	}
	for _, c := range [][]string{
		{"--service", "llm", "--model", "no"}, {"--service", "no"}, {"--service", "llm", "--model", "m1", "--customer", "no"},
		{"--service", "llm", "--model", "m1", "--rank", "no"}, {"--service", "llm", "--model", "m1", "--prompt-parts", "no"}, {},
	} {
		_, _, err := execute(append([]string{"explain", "--address", follower}, c...)...)
		if err == nil || ExitStatus(err) == 0 {
			t.Errorf("%v: no error", c)
			continue
		}
		if len(c) > 0 && !strings.Contains(err.Error(), "no") {
			t.Errorf("%v: error %v doesn't name what is unknown", c, err)
		}
	}
}
