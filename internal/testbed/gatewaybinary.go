package testbed

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildGateway builds the gateway program and returns the path of the binary, which is removed at the end of the test.
func BuildGateway(t testing.TB) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "gaugerelay")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "gaugerelay/cmd/gaugerelay").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}
