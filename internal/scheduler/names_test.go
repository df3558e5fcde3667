package scheduler

import (
	"fmt"
	"testing"
)

// checkNames checks that all values of an enumeration up to the given last value have distinct names, and that the next number is
// named "unknown".
func checkNames[E interface {
	~uint8
	fmt.Stringer
}](t *testing.T, last E) {
	t.Helper()
	seen := map[string]bool{}
	for value := E(0); value <= last; value++ {
		if name := value.String(); name == "" || name == "unknown" || seen[name] {
			t.Errorf("%T %d is named %q, want a distinct name", last, uint8(value), name)
		} else {
			seen[name] = true
		}
	}
	if name := (last + 1).String(); name != "unknown" {
		t.Errorf("%T %d, which does not exist, is named %q, want the name unknown", last, uint8(last+1), name)
	}
}

func TestNamesOfEnumerations(t *testing.T) {
	checkNames(t, Removed)
	checkNames(t, Heartbeat)
	checkNames(t, StatusNotSent)
	checkNames(t, NotIdempotent)
	checkNames(t, DedupShard)
	checkNames(t, ReasonEndpointsExpired)
	checkNames(t, trialDue)
}

// The names of statuses are parts of the names of counters, which operators' dashboards use.
func TestStatusNames(t *testing.T) {
	for status, want := range map[Status]string{
		StatusOK: "ok", StatusError: "error", StatusOverloaded: "overloaded", StatusTimedOut: "timed_out",
		StatusConnectFailed: "connect_failed", StatusConnectionReset: "connection_reset", StatusCanceled: "canceled",
		StatusNotSent: "not_sent",
	} {
		if got := status.String(); got != want {
			t.Errorf("status %d is named %q, want %q", uint8(status), got, want)
		}
	}
}
