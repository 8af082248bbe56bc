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
