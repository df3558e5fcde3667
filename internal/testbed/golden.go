package testbed

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// CompareGolden checks that got equals the file testdata/golden/NAME.txt of the package under test. Golden files hold output
// that must not change between versions, so there is no option that rewrites them.
func CompareGolden(t testing.TB, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from its golden file\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// QuoteLines returns wire bytes in a readable form: one quoted string for each line, including its line ending.
func QuoteLines(wire []byte) string {
	var text strings.Builder
	for _, line := range bytes.SplitAfter(wire, []byte("\n")) {
		if len(line) > 0 {
			fmt.Fprintf(&text, "%q\n", line)
		}
	}
	return text.String()
}
