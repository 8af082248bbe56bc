package cmds

import (
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"dogwoodfold/internal/edge"
)

// fields returns the cells of the row of a table that begins with the given cell.
func fields(t *testing.T, table, first string) []string {
	t.Helper()
	for row := range strings.SplitSeq(table, "\n") {
		if cells := strings.Fields(row); len(cells) > 0 && cells[0] == first {
			return cells
		}
	}
	t.Fatalf("no row begins with %q in:\n%s", first, table)
	return nil
}

// gatewayStatus returns the status of a gateway as it prints it in JSON.
func gatewayStatus(t *testing.T, adminURL string) edge.Status {
	t.Helper()
	var status edge.Status
	out := waitForStatus(t, `"role": "gateway"`, adminURL, "--json")
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		t.Fatal(err)
	}
	return status
}

func TestStatusOfAGateway(t *testing.T) {
	path, adminURL := writeSettings(t, startStore(t))
	startGateway(t, "--settings", path)
	table := waitForStatus(t, "leads", adminURL)
	if got := strings.Join(fields(t, table, "configuration")[:3], " "); got != "configuration version 7" {
		t.Errorf("configuration %q, want version 7 in:\n%s", got, table)
	}
	for _, belief := range []string{"configuration", "registry", "leader"} {
		cells := fields(t, table, belief)
		if _, err := time.ParseDuration(cells[len(cells)-1]); err != nil {
			t.Errorf("age of the %s: %v in:\n%s", belief, err, table)
		}
	}
	if cells := fields(t, table, "settings"); cells[1] != path {
		t.Errorf("settings %v, want the file %s", cells, path)
	}
	if got, want := strings.Join(fields(t, table, "shop-1")[:7], " "), "shop-1 shop a v1 ready 0 8"; got != want {
		t.Errorf("endpoint %q, want %q", got, want)
	}
	status := gatewayStatus(t, adminURL)
	if status.Host != "front-1" || !status.Leads || status.LeaseAgeMs < 0 || len(status.Endpoints) != 1 {
		t.Errorf("status %+v, want that of front-1, which leads, with one endpoint", status)
	}
}

func TestStatusTellsWhenSettingsWereReloaded(t *testing.T) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP) // it would end this process before the gateway takes it
	defer signal.Stop(signals)
	path, adminURL := writeSettings(t, startStore(t))
	startGateway(t, "--settings", path)
	waitForStatus(t, "leads", adminURL)
	started := gatewayStatus(t, adminURL).Settings
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	reloaded := started
	for deadline := time.Now().Add(5 * time.Second); reloaded.Since.Equal(started.Since); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("SIGHUP has not changed the settings' time within 5 s")
		}
		reloaded = gatewayStatus(t, adminURL).Settings
	}
	if reloaded.File != path || reloaded.Since.Before(started.Since) {
		t.Errorf("settings %+v after SIGHUP, %+v before", reloaded, started)
	}
}

func TestGatewayRows(t *testing.T) {
	table := strings.Join(gatewayRows(edge.Status{
		Host:        "front-2",
		Leader:      "front-1",
		LeaseAgeMs:  -1,
		ConfigAgeMs: 1200,
		Endpoints: []edge.EndpointStatus{{
			ID:             "llm-1",
			State:          "draining",
			LimitPerSecond: 2.5,
			Models:         []string{"big", "small"},
			LoadAgeMs:      -1,
			ModelsAgeMs:    80,
		}},
		Quarantines: []edge.QuarantineStatus{{
			Part:        "ff07",
			RemainingMs: 61000,
			DurationMs:  120000,
		}},
	}), "\n")
	for _, want := range []string{
		"leader\tfollows front-1, no session\t-\n",
		"configuration\tversion 0\t1.2s\n",
		"llm-1\t\t\t\tdraining\t0\t0\t-\t2.50\tbig,small\t80ms\n",
		"ff07\t1m1s\t2m0s",
	} {
		if !strings.Contains(table, want) {
			t.Errorf("no %q in:\n%s", want, table)
		}
	}
}
