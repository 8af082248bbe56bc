package e2e

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// consoleCommands returns the commands in the console blocks of a page. Lines
// without a prompt are output.
func consoleCommands(t *testing.T, file string) []string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var commands []string
	inConsole := false
	for line := range strings.SplitSeq(string(text), "\n") {
		switch command, prompt := strings.CutPrefix(line, "$ "); {
		case strings.HasPrefix(line, "```"):
			inConsole = line == "```console"
		case inConsole && prompt:
			commands = append(commands, command)
		}
	}
	return commands
}

// startDemo starts "demo --hold" and returns its addresses as environment
// variables: the first value of a kind as NAME, all of them as NAMES, separated by
// spaces.
func startDemo(t *testing.T) []string {
	t.Helper()
	cmd := exec.Command(programPath, "demo", "--hold")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	variables := make(map[string][]string)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		name, rest, _ := strings.Cut(lines.Text(), " ")
		if name == "curl" {
			break
		}
		_, value, _ := strings.Cut(rest, " ")
		variables[name] = append(variables[name], value)
	}
	environment := []string{}
	for name, values := range variables {
		environment = append(environment, fmt.Sprintf("%s=%s", strings.ToUpper(name), values[0]),
			fmt.Sprintf("%sS=%s", strings.ToUpper(name), strings.Join(values, " ")))
	}
	return environment
}

// TestDemo runs the demo command of the README.
func TestDemo(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(programPath, "demo").CombinedOutput()
	if err != nil || strings.Count(string(out), "true") == 0 || strings.Contains(string(out), "false") {
		t.Errorf("demo: %v\n%s", err, out)
	}
}

// TestPagesCommands runs each command that the documentation tells its reader to
// run, from the root, with the program on the path and the addresses of a
// running demo in ENTRY, ADMIN, ADMINS, LOG and KEY.
func TestPagesCommands(t *testing.T) {
	t.Parallel()
	var pages []string
	for _, pattern := range []string{"../../*.md", "../../docs/*.md", "../../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	environment := append(os.Environ(), startDemo(t)...)
	environment = append(environment, "PATH="+filepath.Dir(programPath)+":"+os.Getenv("PATH"), "WORK="+t.TempDir())
	ran := 0
	for _, page := range pages {
		for _, command := range consoleCommands(t, page) {
			cmd := exec.Command("sh", "-ec", command)
			cmd.Dir = "../.."
			cmd.Env = environment
			if out, err := cmd.CombinedOutput(); err != nil {
				t.Errorf("%s: %s: %v\n%s", filepath.Base(page), command, err, out)
			}
			ran++
		}
	}
	if ran == 0 {
		t.Error("no page contains a command")
	}
}
