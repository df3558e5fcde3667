package simulation

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/logevent"
)

// Flags of the test binary. `make deployments` sets them.
var (
	seeds      = flag.Int("seeds", 48, "number of deployments to simulate")
	from       = flag.Uint64("from", 1, "seed of the first deployment")
	resultFile = flag.String("line", "", "file to write the summary line to; empty: test log")
)

func TestMain(m *testing.M) {
	logevent.Setup(io.Discard, slog.LevelError)
	os.Exit(m.Run())
}

// TestDeployments runs randomly generated deployments and checks that no rule is violated in any of them. It also checks that enough
// requests were served and enough servers drained, since otherwise most rules could not be violated.
func TestDeployments(t *testing.T) {
	var total Result
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		var result Result
		d := GenerateDeployment(seed)
		synctest.Test(t, func(t *testing.T) {
			result = Run(d)
			// The bubble can end only when all of its goroutines have ended. The remaining connections and timers end within a minute.
			time.Sleep(time.Minute)
		})
		for _, violation := range result.Violations {
			t.Errorf("seed %d (push %v, %d of %d gateways, %d shards): %s", seed, d.Push, d.Gateways, d.FleetSize, d.Shards, violation)
		}
		total.add(result)
	}
	t.Logf("served %d, rejected %d, failed %d; %d attempts rejected by servers, %d servers drained", total.Served, total.Rejected,
		total.Failed, total.RejectedAttempts, total.DrainedServers)
	if total.Served < 100**seeds || total.DrainedServers < *seeds/2 {
		t.Error("too few served requests or drained servers: want at least 100 requests and 1/2 server per deployment")
	}
	line := fmt.Sprintf("deployments=%d rules_broken=%d crashed=%d lost=%d\n", *seeds, len(total.Violations), total.CrashedGateways, total.LostRequests)
	if *resultFile == "" {
		t.Log(line)
	} else if err := os.WriteFile(*resultFile, []byte(line), 0o644); err != nil {
		t.Error(err)
	}
}

// add adds the result of another run.
func (r *Result) add(other Result) {
	r.Violations = append(r.Violations, other.Violations...)
	r.CrashedGateways += other.CrashedGateways
	r.LostRequests += other.LostRequests
	r.Served += other.Served
	r.Rejected += other.Rejected
	r.Failed += other.Failed
	r.RejectedAttempts += other.RejectedAttempts
	r.DrainedServers += other.DrainedServers
}
