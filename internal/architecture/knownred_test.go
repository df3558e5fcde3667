package architecture

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRedScript checks the file of tests that are known to fail.
const knownRedScript = "../../.ci/known-red"

// A script in the file that always failed must fail. One that fails sometimes may pass. The others must be able to run.
func TestKnownRedChecksScripts(t *testing.T) {
	script, err := filepath.Abs(knownRedScript)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		status, seen string
		wantOK       bool
	}{
		"always failed, fails":           {"1", "seen", true},
		"always failed, passes":          {"0", "seen", false},
		"failed in all runs, fails":      {"1", "failed 5 of 5 runs", true},
		"failed in all runs, passes":     {"0", "failed 5 of 5 runs", false},
		"failed in some runs, fails":     {"1", "failed 3 of 5 runs of CI", true},
		"failed in some runs, passes":    {"0", "failed 3 of 5 runs of CI", true},
		"failed in some, cannot run":     {"2", "failed 3 of 5 runs", false},
		"always failed, cannot run":      {"2", "seen", false},
		"failed in no run":               {"1", "failed 0 of 5 runs", false},
		"failed in more runs than there": {"1", "failed 6 of 5 runs", false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			writeFile(t, filepath.Join(dir, "case.sh"), "#!/bin/sh\nexit "+test.status+"\n", 0o700)
			writeFile(t, filepath.Join(dir, "list"), "./case.sh, the script; no seed, "+test.seen+", issue 1\n", 0o600)
			cmd := exec.CommandContext(t.Context(), script, "list")
			cmd.Dir = dir
			var stderr strings.Builder
			cmd.Stderr = &stderr
			stdout, err := cmd.Output()
			if (err == nil) != test.wantOK || len(stdout) != 0 {
				t.Errorf("got error %v, output %q and %q; want success %v and no pattern", err, stdout, stderr.String(), test.wantOK)
			}
			if outcome := map[string]string{"0": "passed", "1": "failed"}[test.status]; test.wantOK && !strings.Contains(stderr.String(), outcome+" now") {
				t.Errorf("printed %q, want that the script %s", stderr.String(), outcome)
			}
		})
	}
}

// Lines that name nothing that can be run fail.
func TestKnownRedRejectsUnknownTests(t *testing.T) {
	script, err := filepath.Abs(knownRedScript)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"./missing.sh, the script, failed 1 of 2, issue 1", "TestThatDoesNotExist, go test, seen, issue 1"} {
		dir := t.TempDir()
		writeFile(t, filepath.Join(dir, "list"), line+"\n", 0o600)
		cmd := exec.CommandContext(t.Context(), script, "list")
		cmd.Dir = dir
		if output, err := cmd.CombinedOutput(); err == nil {
			t.Errorf("%q: got success and %q, want a failure", line, output)
		}
	}
}

func writeFile(t *testing.T, path, text string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
}
