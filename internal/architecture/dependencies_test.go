// Package architecture tests the dependencies between packages, and the page that describes them. It has no production code.
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
	modulePrefix = "gaugerelay/"
	// root is the directory of the module, relative to this package.
	root = "../.."
)

// purePackages are the packages that must use no I/O, clock or goroutine.
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

// durationPackages are the pure packages that may use the duration type and constants of package time, but no clock.
var durationPackages = []string{"internal/platformsettings", "internal/scheduler"}

// impureImports are the packages of the standard library that a pure package must not import, including their subpackages.
var impureImports = []string{
	"bufio", "context", "io", "log", "net", "os", "runtime", "sync", "syscall", "time", "unsafe",
}

// sourceFiles returns the Go files of a package without its test files.
func sourceFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	files = slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	if len(files) == 0 {
		t.Fatalf("%s has no Go files except tests", dir)
	}
	return files
}

// parse parses a Go file.
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

// TestPurePackages checks that the pure packages import no impure package of the standard library, directly or through other
// packages of this module.
func TestPurePackages(t *testing.T) {
	visited := map[string]bool{}
	for _, dir := range purePackages {
		checkPure(t, dir, visited)
	}
}

// checkPure checks a package and the packages of this module that it imports, each once.
func checkPure(t *testing.T, dir string, visited map[string]bool) {
	t.Helper()
	if visited[dir] {
		return
	}
	visited[dir] = true
	for _, name := range sourceFiles(t, dir) {
		for _, path := range imports(t, name) {
			if importedDir, ok := strings.CutPrefix(path, modulePrefix); ok {
				checkPure(t, importedDir, visited)
				continue
			}
			if path == "time" && slices.Contains(durationPackages, dir) {
				checkDurationsOnly(t, name)
				continue
			}
			if isBelow(path, impureImports) {
				t.Errorf("%s imports %s, which no pure package may import", name, path)
			}
		}
	}
}

// isBelow reports whether an import path is one of the listed packages or a subpackage of one.
func isBelow(path string, listed []string) bool {
	return slices.ContainsFunc(listed, func(parent string) bool {
		return path == parent || strings.HasPrefix(path, parent+"/")
	})
}

// checkDurationsOnly checks that a file uses no identifiers of package time except the duration type and its constants.
func checkDurationsOnly(t *testing.T, name string) {
	t.Helper()
	allowed := []string{"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"}
	ast.Inspect(parse(t, name, 0), func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "time" && !slices.Contains(allowed, selector.Sel.Name) {
			t.Errorf("%s uses time.%s, but only durations are allowed", name, selector.Sel.Name)
		}
		return true
	})
}

// layerRule lists the packages that the packages below a directory must not import.
type layerRule struct {
	below     string
	forbidden []string
}

// TestLayers checks the direction of dependencies: towards the pure packages, and never between frontends and upstreams.
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

// checkLayer reports the forbidden imports of one package. It skips the files with the build tag chaos, which are not part
// of the released programs.
func checkLayer(t *testing.T, dir string, forbidden []string) {
	t.Helper()
	for _, name := range sourceFiles(t, dir) {
		if strings.HasSuffix(name, "_chaos.go") {
			continue
		}
		for _, path := range imports(t, name) {
			if isBelow(path, forbidden) {
				t.Errorf("%s imports %s, which is forbidden in its layer", name, path)
			}
		}
	}
}

// TestOnlyTestsUseTestbed checks that production code does not import the fakes of external systems. cmd/faultbench, which
// tests the gateway, may import them.
func TestOnlyTestsUseTestbed(t *testing.T) {
	for _, dir := range packagesBelow(t, "internal") {
		if !strings.HasPrefix(dir, "internal/testbed") {
			checkLayer(t, dir, []string{"gaugerelay/internal/testbed"})
		}
	}
	checkLayer(t, "cmd/gaugerelay", []string{"gaugerelay/internal/testbed"})
	checkLayer(t, "cmd/simhost", []string{"gaugerelay/internal/testbed"})
}

// packagesBelow returns the directories with production code: dir itself and those below it.
func packagesBelow(t *testing.T, dir string) []string {
	t.Helper()
	var packages []string
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(root, filepath.Dir(path))
		if err == nil && !slices.Contains(packages, relative) {
			packages = append(packages, relative)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(packages) == 0 {
		t.Fatalf("there are no packages below %s", dir)
	}
	return packages
}
