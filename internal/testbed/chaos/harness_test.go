package chaos

import (
	"os"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
)

// TestInvariantsHoldUnderOverlappingFaults runs for a short time with one seed; `make chaos` runs longer, with any seed.
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
			t.Errorf("push discovery %v: the run had too few served requests or faults to test the invariants: %+v", push, result)
		}
	}
}
