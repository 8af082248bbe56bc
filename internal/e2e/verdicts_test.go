package e2e

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dogwoodfold/pkg/fault"
)

const repositoryRoot = "../.."

// failurePoint is a verdict and a code with which a package creates failures.
type failurePoint struct {
	pkg, verdict, code string
}

// dynamic stands for a verdict or a code that is not a constant of package fault,
// such as one copied from another failure. The page contains this text.
const dynamic = "taken over"

// parseGo parses the Go files of the repository whose path matches.
func parseGo(t *testing.T, match func(path string) bool) map[string]*ast.File {
	t.Helper()
	files := make(map[string]*ast.File)
	err := filepath.WalkDir(repositoryRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || !match(path) {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		files[path] = f
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// failurePoints returns all failure points of the program.
func failurePoints(t *testing.T) map[failurePoint]bool {
	t.Helper()
	points := make(map[failurePoint]bool)
	source := func(path string) bool { return !strings.HasSuffix(path, "_test.go") }
	for path, file := range parseGo(t, source) {
		pkg := filepath.Base(filepath.Dir(path))
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			switch selectorName(call.Fun) {
			case "fault.New":
				points[failurePoint{pkg, faultName(call.Args[0]), faultName(call.Args[1])}] = true
			case "fault.Wrap":
				points[failurePoint{pkg, faultName(call.Args[1]), faultName(call.Args[2])}] = true
			case "c.refuse":
				if pkg == "gate" { // creates all its failures in this method
					points[failurePoint{pkg, faultName(call.Args[2]), faultName(call.Args[3])}] = true
				}
			}
			return true
		})
	}
	return points
}

// selectorName returns a selector expression on an identifier as X.NAME, and the
// empty string for other expressions.
func selectorName(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	x, ok := s.X.(*ast.Ident)
	if !ok {
		return ""
	}
	return x.Name + "." + s.Sel.Name
}

// faultName returns the name of a verdict or a code as the page lists it.
func faultName(e ast.Expr) string {
	constant, ok := strings.CutPrefix(selectorName(e), "fault.")
	if !ok {
		return dynamic
	}
	return constant
}

// tableRows returns the cells of the table rows of a page that have a number of
// columns.
func tableRows(t *testing.T, page string, columns int) [][]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for line := range strings.SplitSeq(string(text), "\n") {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if !strings.HasPrefix(line, "| ") || len(cells) != columns {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells)
	}
	return rows
}

// testNames returns the names of all functions in test files.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	tests := func(path string) bool { return strings.HasSuffix(path, "_test.go") }
	for _, file := range parseGo(t, tests) {
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				names[f.Name.Name] = true
			}
		}
	}
	return names
}

// TestVerdictsTable checks that docs/VERDICTS.md has exactly one row for each failure
// point of the program and no other rows, and that each row names an existing test.
func TestVerdictsTable(t *testing.T) {
	points, tests := failurePoints(t), testNames(t)
	listed := make(map[failurePoint]bool)
	for _, row := range tableRows(t, "docs/VERDICTS.md", 5)[1:] {
		point := failurePoint{row[0], row[1], row[2]}
		if listed[point] {
			t.Errorf("%v is listed twice", point)
		}
		listed[point] = true
		if !points[point] {
			t.Errorf("%v is listed but not in the program", point)
		}
		if !tests[row[4]] {
			t.Errorf("%v names the test %q, which does not exist", point, row[4])
		}
	}
	missing := slices.SortedFunc(maps.Keys(points), func(a, b failurePoint) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	for _, point := range missing {
		if !listed[point] {
			t.Errorf("%v is not listed", point)
		}
	}
}

// TestStatusTable checks the table of codes and HTTP statuses in docs/VERDICTS.md.
func TestStatusTable(t *testing.T) {
	listed := make(map[fault.Code]int)
	for _, row := range tableRows(t, "docs/VERDICTS.md", 3)[1:] {
		status, err := strconv.Atoi(row[1])
		if err != nil {
			t.Errorf("row %v: %v", row, err)
		}
		listed[fault.Code(strings.Trim(row[0], "`"))] = status
	}
	if statuses := fault.CodeStatuses(); !maps.Equal(listed, statuses) {
		t.Errorf("listed %v, want %v", listed, statuses)
	}
}

// testNamePattern matches the name of a test or a benchmark in a table cell.
var testNamePattern = regexp.MustCompile(`\b(Test|Benchmark)[A-Z]\w*`)

// TestFaultsTable checks that each row of docs/FAULTS.md names existing tests, says
// why the fault can't apply, or says that it is not proved.
func TestFaultsTable(t *testing.T) {
	tests := testNames(t)
	rows := tableRows(t, "docs/FAULTS.md", 3)
	if len(rows) < 2 {
		t.Fatal("docs/FAULTS.md has no rows")
	}
	for _, row := range rows {
		if row[2] == "tests" {
			continue // header of a table
		}
		named := testNamePattern.FindAllString(row[2], -1)
		for _, test := range named {
			if !tests[test] {
				t.Errorf("%s × %s names %s, which does not exist", row[0], row[1], test)
			}
		}
		if len(named) == 0 && !strings.HasPrefix(row[2], "not proved") && !strings.HasPrefix(row[2], "can't apply: ") {
			t.Errorf("%s × %s: %q names no test, gives no reason and is not “not proved”", row[0], row[1], row[2])
		}
	}
}
