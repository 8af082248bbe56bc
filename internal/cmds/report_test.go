package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFleetReport checks that the command reads several logs, with lines that are not JSON.
func TestFleetReport(t *testing.T) {
	const line = `{"time":"2026-12-04T10:00:02Z","host":"HOST","message":"requests: ended","status":200,"verdict":"complete"}`
	var paths []string
	for _, host := range []string{"front-1", "front-2"} {
		path := filepath.Join(t.TempDir(), host)
		text := "panic: no line of a log\n" + strings.Replace(line, "HOST", host, 1) + "\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	var out, warnings strings.Builder
	cmd := newReportCommand()
	cmd.SetArgs(append([]string{"fleet"}, paths...))
	cmd.SetOut(&out)
	cmd.SetErr(&warnings)
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "2 requests") || !strings.Contains(out.String(), "<td>front-2</td>") {
		t.Errorf("page %s", out.String())
	}
	if strings.Count(warnings.String(), "skipped 1 malformed lines") != 2 {
		t.Errorf("warnings %q", warnings.String())
	}
}

// requestLogs are logs of two hosts, by path below their directory.
var requestLogs = map[string]string{
	"front-1/entry.log": `{"host":"front-1","request":"r1","model":"m","status":503,"tookMs":250,"time":"2026-12-04T10:00:03.250Z","message":"requests: ended"}
`,
	"front-2.log": `{"host":"front-2","endpoint":"e1","model":"m","time":"2026-12-04T10:00:02.000Z","message":"orders: answered"}
not a line
`,
}

// writeLogs writes the logs and returns their directory.
func writeLogs(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range requestLogs {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestReportRequestReadsADirectoryOfLogs(t *testing.T) {
	dir := writeLogs(t)
	fromDir, errOut, err := execute("report", "request", "r1", dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"front-1  requests: ended", "front-2  orders: answered"} {
		if !strings.Contains(fromDir, want) {
			t.Errorf("no %q in:\n%s", want, fromDir)
		}
	}
	if want := filepath.Join(dir, "front-2.log") + ": skipped 1 malformed lines"; !strings.Contains(errOut, want) {
		t.Errorf("reported %q, want %q in it", errOut, want)
	}
	fromFiles, _, err := execute("report", "request", "r1", filepath.Join(dir, "front-2.log"), filepath.Join(dir, "front-1", "entry.log"))
	if err != nil || fromFiles != fromDir {
		t.Errorf("from the files: error %v and\n%swant the same as from their directory:\n%s", err, fromFiles, fromDir)
	}
}

func TestReportRequestNamesAMissingLog(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	if _, _, err := execute("report", "request", "r1", missing); err == nil || !strings.Contains(err.Error(), missing) {
		t.Errorf("error %v, want one that names %s", err, missing)
	}
}
