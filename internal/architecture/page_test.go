package architecture

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	architecturePage = "docs/ARCHITECTURE.md"
	// minCheckedNames is the minimum number of names that must be recognized on the page. The page has many more; fewer mean
	// that the test does not parse the page correctly.
	minCheckedNames = 80
)

// codeSpan matches code in backquotes.
var codeSpan = regexp.MustCompile("`([^`\n]+)`")

// codeBlock matches a fenced code block, such as a diagram.
var codeBlock = regexp.MustCompile("(?s)```.*?```")

// qualifiedName matches package.Name and package.Type.Member.
var qualifiedName = regexp.MustCompile(`^([a-z]+)\.([A-Za-z]\w*)(?:\.(\w+))?$`)

// TestArchitecturePageNamesWhatExists checks that each directory, file and declaration that the page names exists.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, architecturePage))
	if err != nil {
		t.Fatal(err)
	}
	declared := declarations(t)
	prose := codeBlock.ReplaceAllString(string(text), "")
	spans := codeSpan.FindAllStringSubmatch(prose, -1)
	if len(spans) == 0 {
		t.Fatal("the page has no code spans")
	}
	checked := 0
	for _, span := range spans {
		if checkSpan(t, span[1], declared) {
			checked++
		}
	}
	if checked < minCheckedNames {
		t.Errorf("recognized %d paths and declarations on the page, want at least %d", checked, minCheckedNames)
	}
}

// checkSpan checks that the path or declaration in a code span exists. It returns false if the span is neither.
func checkSpan(t *testing.T, span string, declared map[string]bool) bool {
	t.Helper()
	if strings.HasPrefix(span, "internal/") || strings.HasPrefix(span, "cmd/") || strings.HasPrefix(span, "docs/") {
		if _, err := os.Stat(filepath.Join(root, strings.TrimSuffix(span, "/..."))); err != nil {
			t.Errorf("the page names the path %s: %v", span, err)
		}
		return true
	}
	match := qualifiedName.FindStringSubmatch(span)
	if match == nil {
		return false
	}
	if !declared[match[1]] {
		t.Errorf("the page names the declaration %s, but there is no package %s", span, match[1])
		return true
	}
	if !declared[span] {
		t.Errorf("the page names %s, which no package declares", span)
	}
	return true
}

// declarations returns the names of the packages of this module, and of their declarations in the forms package.Name and
// package.Type.Member.
func declarations(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	for _, dir := range append(packagesBelow(t, "internal"), packagesBelow(t, "cmd")...) {
		for _, name := range sourceFiles(t, dir) {
			file := parse(t, name, 0)
			declared[file.Name.Name] = true
			for _, decl := range file.Decls {
				addDeclaration(declared, file.Name.Name, decl)
			}
		}
	}
	return declared
}

// addDeclaration adds the names that a declaration declares.
func addDeclaration(declared map[string]bool, pkg string, decl ast.Decl) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		declared[pkg+"."+receiverPrefix(decl)+decl.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			addSpec(declared, pkg, spec)
		}
	}
}

// receiverPrefix returns the name of a method's receiver type and a dot, or "" for a function.
func receiverPrefix(decl *ast.FuncDecl) string {
	if decl.Recv == nil {
		return ""
	}
	expr := decl.Recv.List[0].Type
	if star, ok := expr.(*ast.StarExpr); ok {
		expr = star.X
	}
	if index, ok := expr.(*ast.IndexExpr); ok {
		expr = index.X
	}
	if name, ok := expr.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// addSpec adds the names of a type and its members, or of constants or variables.
func addSpec(declared map[string]bool, pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			declared[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		declared[pkg+"."+spec.Name.Name] = true
		for _, member := range members(spec.Type) {
			declared[pkg+"."+spec.Name.Name+"."+member] = true
		}
	}
}

// members returns the names of a struct's fields or an interface's methods.
func members(expr ast.Expr) []string {
	var list *ast.FieldList
	switch expr := expr.(type) {
	case *ast.StructType:
		list = expr.Fields
	case *ast.InterfaceType:
		list = expr.Methods
	default:
		return nil
	}
	var names []string
	for _, field := range list.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}
