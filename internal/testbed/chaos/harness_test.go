package chaos

import (
	"os"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
)

// TestInvariantsHoldUnderOverlappingFaults checks that gateways violate no invariant while faults of all kinds overlap, once
// with polled and once with pushed endpoint lists. It runs for a short time with one seed; `make chaos` runs longer, with any
// seed.
func TestInvariantsHoldUnderOverlappingFaults(t *testing.T) {
	for _, push := range []bool{false, true} {
		result, err := Run(Options{Binary: testbed.BuildGateway(t), Gateways: 8, Shards: 4, Duration: 20 * time.Second, Seed: 1, RequestRate: 12,
			PushDiscovery: push, LogOutput: os.Stderr})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("push discovery %v: %s", push, result)
		for _, text := range result.Violations {
			t.Errorf("push discovery %v: %s", push, text)
		}
		if result.Served < 500 || result.FaultCount < 10 {
			t.Errorf("push discovery %v: want at least 500 served requests and 10 faults to test the invariants, got %+v", push, result)
		}
	}
}
