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

var (
	seeds = flag.Int("seeds", 48, "how many deployments are played")
	from  = flag.Uint64("from", 1, "the first seed")
	line  = flag.String("line", "", "the file that the last line goes to")
)

func TestMain(m *testing.M) {
	logevent.Setup(io.Discard, slog.LevelError)
	os.Exit(m.Run())
}

// Deployments that nobody has yet must show none of what must never be.
func TestDeployments(t *testing.T) {
	var all Result
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		var res Result
		d := Draw(seed)
		synctest.Test(t, func(t *testing.T) {
			res = Run(d)
			time.Sleep(time.Minute) // connections and timers of what has ended come to their own ends
		})
		for _, what := range res.Violations {
			t.Errorf("seed %d (push %v, %d of %d gateways, %d shards): %s", seed, d.Push, d.Gateways, d.FleetSize, d.Shards, what)
		}
		all.Violations = append(all.Violations, res.Violations...)
		all.Crashed, all.Lost = all.Crashed+res.Crashed, all.Lost+res.Lost
		all.Served, all.Rejected, all.Failed = all.Served+res.Served, all.Rejected+res.Rejected, all.Failed+res.Failed
		all.RejectedAttempts, all.DrainedServers = all.RejectedAttempts+res.RejectedAttempts, all.DrainedServers+res.DrainedServers
	}
	t.Logf("served %d, refused %d, failed %d; %d attempts turned away, %d nodes closed", all.Served, all.Rejected, all.Failed, all.RejectedAttempts, all.DrainedServers)
	if all.Served < 100**seeds || all.DrainedServers < *seeds/2 {
		t.Error("too little happened to show anything")
	}
	last := fmt.Sprintf("deployments=%d rules_broken=%d crashed=%d lost=%d\n", *seeds, len(all.Violations), all.Crashed, all.Lost)
	if *line == "" {
		t.Log(last)
	} else if err := os.WriteFile(*line, []byte(last), 0o644); err != nil {
		t.Error(err)
	}
}
