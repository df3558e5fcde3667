// Package casetest runs the script of a case as a Go test.
package casetest

import (
	"os/exec"
	"testing"
)

// Exit codes of a case's script.
const (
	held   = 0
	broken = 1
)

// Run runs run.sh of the folder that it is called in, and fails unless the rule held. The programs have to be built.
func Run(t *testing.T) {
	t.Helper()
	command := exec.Command("./run.sh")
	output, err := command.CombinedOutput()
	t.Logf("%s", output)
	switch code := command.ProcessState.ExitCode(); code {
	case held:
	case broken:
		t.Error("the rule was broken, see record.txt")
	default:
		t.Errorf("the case could not run: exit code %d, %v", code, err)
	}
}
