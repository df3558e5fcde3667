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
			res = Play(d)
			time.Sleep(time.Minute) // connections and timers of what has ended come to their own ends
		})
		for _, what := range res.Broken {
			t.Errorf("seed %d (push %v, %d of %d gateways, %d shards): %s", seed, d.Push, d.Gateways, d.Siblings, d.Shards, what)
		}
		all.Broken = append(all.Broken, res.Broken...)
		all.Crashed, all.Lost = all.Crashed+res.Crashed, all.Lost+res.Lost
		all.Served, all.Refused, all.Failed = all.Served+res.Served, all.Refused+res.Refused, all.Failed+res.Failed
		all.Turned, all.Closed = all.Turned+res.Turned, all.Closed+res.Closed
	}
	t.Logf("served %d, refused %d, failed %d; %d attempts turned away, %d nodes closed", all.Served, all.Refused, all.Failed, all.Turned, all.Closed)
	if all.Served < 100**seeds || all.Closed < *seeds/2 {
		t.Error("too little happened to show anything")
	}
	last := fmt.Sprintf("deployments=%d rules_broken=%d crashed=%d lost=%d\n", *seeds, len(all.Broken), all.Crashed, all.Lost)
	if *line == "" {
		t.Log(last)
	} else if err := os.WriteFile(*line, []byte(last), 0o644); err != nil {
		t.Error(err)
	}
}
