package lifecycle_test

import (
	"testing"

	"gaugerelay/internal/lifecycle"
)

// TestEnumerationNames checks that every value of an enumeration has a name, and that values out of range are named "unknown".
func TestEnumerationNames(t *testing.T) {
	for kind := lifecycle.Served; kind <= lifecycle.Superseded; kind++ {
		if name := kind.String(); name == "" || name == "unknown" {
			t.Errorf("response kind %d has the name %q, want a specific name", kind, name)
		}
	}
	for failure := lifecycle.CallRejected; failure <= lifecycle.WatchSilent; failure++ {
		if name := failure.String(); name == "" || name == "unknown" {
			t.Errorf("call failure %d has the name %q, want a specific name", failure, name)
		}
	}
	if name := (lifecycle.Superseded + 1).String(); name != "unknown" {
		t.Errorf("a response kind out of range has the name %q, want unknown", name)
	}
	if name := (lifecycle.WatchSilent + 1).String(); name != "unknown" {
		t.Errorf("a call failure out of range has the name %q, want unknown", name)
	}
}
