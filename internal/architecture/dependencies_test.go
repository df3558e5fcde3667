// Package architecture tests which packages may import which. It holds no production code.
package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	module = "gaugerelay/"
	// root is the module's directory, seen from this package.
	root = "../.."
)

// purePackages decide without I/O, clock or goroutine.
var purePackages = []string{
	"internal/dedup/exchange",
	"internal/endpointlease",
	"internal/endpoints",
	"internal/incarnation",
	"internal/membership",
	"internal/outlier",
	"internal/peerlatency",
	"internal/permission",
	"internal/platformsettings",
	"internal/quantile",
	"internal/quota",
	"internal/scheduler",
	"internal/shutdown",
	"internal/timerwheel",
}

// durationPackages may use the duration type of package time, but no clock.
var durationPackages = []string{"internal/platformsettings", "internal/scheduler"}

// impureImports are the standard library's packages that a pure package must not reach; their subpackages count too.
var impureImports = []string{
	"bufio", "context", "io", "log", "net", "os", "runtime", "sync", "syscall", "time", "unsafe",
}

// sourceFiles returns the production files of a package.
func sourceFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	files = slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	if len(files) == 0 {
		t.Fatalf("%s holds no Go files", dir)
	}
	return files
}

// parse reads one file.
func parse(t *testing.T, name string, mode parser.Mode) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, mode)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// imports returns the import paths of a file.
func imports(t *testing.T, name string) []string {
	t.Helper()
	var paths []string
	for _, spec := range parse(t, name, parser.ImportsOnly).Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}

// TestPurePackages holds the pure packages, and all of ours that they import, to pure imports.
func TestPurePackages(t *testing.T) {
	visited := map[string]bool{}
	for _, dir := range purePackages {
		checkPure(t, dir, visited)
	}
}

// checkPure checks a package and, once each, the packages of this module that it imports.
func checkPure(t *testing.T, dir string, visited map[string]bool) {
	t.Helper()
	if visited[dir] {
		return
	}
	visited[dir] = true
	for _, name := range sourceFiles(t, dir) {
		for _, path := range imports(t, name) {
			if ours, ok := strings.CutPrefix(path, module); ok {
				checkPure(t, ours, visited)
				continue
			}
			if path == "time" && slices.Contains(durationPackages, dir) {
				checkDurationsOnly(t, name)
				continue
			}
			if isOneOf(path, impureImports) {
				t.Errorf("%s imports %s", name, path)
			}
		}
	}
}

// isOneOf reports whether an import path is one of the listed packages or below one.
func isOneOf(path string, listed []string) bool {
	return slices.ContainsFunc(listed, func(parent string) bool {
		return path == parent || strings.HasPrefix(path, parent+"/")
	})
}

// checkDurationsOnly allows a file the duration type and its constants, but no clock.
func checkDurationsOnly(t *testing.T, name string) {
	t.Helper()
	allowed := []string{"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"}
	ast.Inspect(parse(t, name, 0), func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "time" && !slices.Contains(allowed, selector.Sel.Name) {
			t.Errorf("%s uses time.%s", name, selector.Sel.Name)
		}
		return true
	})
}

// layerRule says what the packages below a directory must not import.
type layerRule struct {
	below     string
	forbidden []string
}

// TestLayers holds the direction of dependencies: towards the pure packages, and never from one protocol to another side.
func TestLayers(t *testing.T) {
	rules := []layerRule{
		{"internal", []string{"gaugerelay/cmd"}},
		{"cmd", []string{"gaugerelay/cmd"}},
		{"internal/frontend", []string{"gaugerelay/internal/upstream", "gaugerelay/internal/gateway", "gaugerelay/internal/discovery"}},
		{"internal/upstream", []string{"gaugerelay/internal/frontend", "gaugerelay/internal/gateway", "gaugerelay/internal/discovery"}},
		{"internal/lifecycle", []string{"gaugerelay/internal/eventloop", "gaugerelay/internal/frontend", "gaugerelay/internal/upstream"}},
		{"internal/eventloop", []string{"gaugerelay/internal/frontend", "gaugerelay/internal/upstream", "gaugerelay/internal/gateway"}},
	}
	for _, rule := range rules {
		t.Run(rule.below, func(t *testing.T) {
			for _, dir := range packagesBelow(t, rule.below) {
				checkLayer(t, dir, rule.forbidden)
			}
		})
	}
}

// checkLayer reports the forbidden imports of one package. Files of the build tag chaos are left out: they are not part of
// the released programs.
func checkLayer(t *testing.T, dir string, forbidden []string) {
	t.Helper()
	for _, name := range sourceFiles(t, dir) {
		if strings.HasSuffix(name, "_chaos.go") {
			continue
		}
		for _, path := range imports(t, name) {
			if isOneOf(path, forbidden) {
				t.Errorf("%s imports %s", name, path)
			}
		}
	}
}

// TestOnlyTestsUseTestbed holds the doubles of outside systems out of the gateway.
func TestOnlyTestsUseTestbed(t *testing.T) {
	for _, dir := range packagesBelow(t, "internal") {
		if !strings.HasPrefix(dir, "internal/testbed") {
			checkLayer(t, dir, []string{"gaugerelay/internal/testbed"})
		}
	}
	checkLayer(t, "cmd/gaugerelay", []string{"gaugerelay/internal/testbed"})
	checkLayer(t, "cmd/simhost", []string{"gaugerelay/internal/testbed"})
}

// packagesBelow returns the directories below one, and itself, that hold production code.
func packagesBelow(t *testing.T, dir string) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(root, filepath.Dir(path))
		if err == nil && !slices.Contains(found, relative) {
			found = append(found, relative)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(found) == 0 {
		t.Fatalf("no packages below %s", dir)
	}
	return found
}
