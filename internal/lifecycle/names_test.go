package lifecycle_test

import (
	"testing"

	"gaugerelay/internal/lifecycle"
)

// Every value of an enumeration has a name, and other values are unknown.
func TestNamesOfEnumerations(t *testing.T) {
	for kind := lifecycle.Served; kind <= lifecycle.Superseded; kind++ {
		if name := kind.String(); name == "" || name == "unknown" {
			t.Errorf("response kind %d is named %q", kind, name)
		}
	}
	for failure := lifecycle.CallRejected; failure <= lifecycle.CallInconclusive; failure++ {
		if name := failure.String(); name == "" || name == "unknown" {
			t.Errorf("call failure %d is named %q", failure, name)
		}
	}
	if name := (lifecycle.Superseded + 1).String(); name != "unknown" {
		t.Errorf("a response kind out of range is named %q", name)
	}
	if name := (lifecycle.CallInconclusive + 1).String(); name != "unknown" {
		t.Errorf("a call failure out of range is named %q", name)
	}
}
