package cmds

import (
	"bytes"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
)

// execute runs the program with arguments and returns what it prints.
func execute(args ...string) (stdout, stderr string, err error) {
	var out, errOut bytes.Buffer
	root := New()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&errOut)
	err = root.Execute()
	return out.String(), errOut.String(), err
}

func TestVersionIsPrintedByFlagAndCommand(t *testing.T) {
	for _, arg := range []string{"--version", "version"} {
		out, _, err := execute(arg)
		if err != nil {
			t.Errorf("%s: %v", arg, err)
			continue
		}
		for _, want := range []string{"version ", "commit ", "go " + runtime.Version() + "\n"} {
			if !strings.Contains(out, want) {
				t.Errorf("%s printed %q, want %q in it", arg, out, want)
			}
		}
	}
}

func TestVersionText(t *testing.T) {
	setting := func(key, value string) debug.BuildSetting {
		return debug.BuildSetting{
			Key:   key,
			Value: value,
		}
	}
	tests := map[string]struct {
		settings []debug.BuildSetting
		want     string
	}{
		"without version control": {
			want: "version v1.2.3\ncommit unknown\ngo go1.26.8\n",
		},
		"commit": {
			settings: []debug.BuildSetting{setting("vcs.revision", "abc"), setting("vcs.modified", "false")},
			want:     "version v1.2.3\ncommit abc\ngo go1.26.8\n",
		},
		"with changes": {
			settings: []debug.BuildSetting{setting("vcs.modified", "true"), setting("vcs.revision", "abc")},
			want:     "version v1.2.3\ncommit abc (modified)\ngo go1.26.8\n",
		},
	}
	for name, test := range tests {
		info := &debug.BuildInfo{
			GoVersion: "go1.26.8",
			Main:      debug.Module{Version: "v1.2.3"},
			Settings:  test.settings,
		}
		if got := versionText(info); got != test.want {
			t.Errorf("%s: got %q, want %q", name, got, test.want)
		}
	}
}
