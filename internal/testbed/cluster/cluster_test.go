package cluster

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/process"
)

// TestInvariantsHoldInAllScenarios checks that gateways violate no invariant in any scenario. It shortens the waiting times to a
// fifth, except those of waitUnscaled; `make fleet-soak` runs the scenarios at full length.
func TestInvariantsHoldInAllScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts several processes")
	}
	var out strings.Builder
	result, err := Run(Options{Binary: testbed.BuildGateway(t), Gateways: 3, HostsPerVolume: 3, Volumes: 2, Shards: 4, Seed: 1, Gossip: true,
		LeaseMs: 300, TimeScale: 0.2}, 0, "", &out)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s%+v", out.String(), result)
	for _, text := range result.Violations {
		t.Error(text)
	}
	if result.Served < 50 || result.Rejected == 0 || result.Kills < 3 || result.Pauses < 2 || result.Datagrams < 50 {
		t.Error("the logged result is too small, want at least 50 served and 1 rejected request, 3 kills, 2 pauses and 50 datagrams")
	}
}

// TestStartReportsExitedGateway guards against a start that waits for a gateway to become ready although its process has exited.
func TestStartReportsExitedGateway(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "ends")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\nexit 3\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	_, err := StartCluster(Options{Binary: binary, Gateways: 1, HostsPerVolume: 1, Shards: 1, Seed: 1})
	if !errors.Is(err, process.ErrExited) {
		t.Errorf("StartCluster with a program that exits: got error %v, want process.ErrExited", err)
	}
}

// TestResultCountsUnitsOverLimit takes the burst of a volume and 24 units more at once. Only 15 units more are allowed: the overdraft
// and the yield of limitRate in limitTimeSlackMs. If Result did not count the excess as a violation, the scenarios would pass although
// the gateways exceed limits.
func TestResultCountsUnitsOverLimit(t *testing.T) {
	p, err := newPlatform(1, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	c := &Cluster{platform: p, options: Options{HostsPerVolume: 1}}
	for range int(limitBurst(1))/6 + 4 {
		p.takeUnits(7, 6)
	}
	if result := c.Result(); result.OverLimit != 1 || result.MaxOverLimit < 10 || len(result.Violations) == 0 {
		t.Errorf("Result() = %+v, want one volume that exceeds its limit by at least 10 units, and a violation", result)
	}
}

func TestRunRejectsUnknownScenario(t *testing.T) {
	if _, err := Run(Options{}, time.Second, "nothing", &strings.Builder{}); err == nil {
		t.Error("Run with the unknown scenario \"nothing\" returned no error, want one")
	}
}
