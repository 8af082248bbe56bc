package e2e

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// Guards against a SIGHUP in the first milliseconds of a process that ends it: the signal must
// be taken before the packages of other modules are initialized, which takes several.
func TestSighupIsTakenBeforeOtherModulesAreInitialized(t *testing.T) {
	cmd := exec.Command(programPath, "version")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, trace)
	}
	before, _, taken := strings.Cut(string(trace), "init dogwoodfold/internal/sighup ")
	if !taken {
		t.Fatalf("the signal isn't taken by a package:\n%s", trace)
	}
	for line := range strings.Lines(before) {
		if name := initializedPackage(line); isOfOtherModule(name) && !isInstant(t, line, name) {
			t.Errorf("%s is initialized first:\n%s", name, trace)
		}
	}
}

// initializedPackage returns the package that a line of the trace is about.
func initializedPackage(line string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(line, "init "), " ")
	return name
}

func isOfOtherModule(name string) bool {
	module, _, _ := strings.Cut(name, "/")
	return strings.Contains(module, ".")
}

// isInstant reports whether a package has allocated nothing while it was initialized and imports
// none, as one that asks the processor for its features. Such packages come before all that import
// others, whoever imports them.
func isInstant(t *testing.T, line, name string) bool {
	imports, err := exec.Command("go", "list", "-f", "{{len .Imports}}", name).Output()
	if err != nil {
		t.Fatalf("go list %s: %v", name, err)
	}
	return strings.TrimSpace(string(imports)) == "0" && strings.HasSuffix(strings.TrimSpace(line), " 0 bytes, 0 allocs")
}
