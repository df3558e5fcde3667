package soak

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/gateway"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/linkshaper"
	"gaugerelay/internal/testbed/memnet"
)

func TestMain(m *testing.M) {
	logevent.Setup(io.Discard, slog.LevelError)
	os.Exit(m.Run())
}

var someFaults = fakestorage.Faults{Reject: 0.02, ErrorAfter: 0.02, ResetAfter: 0.02, ResetBefore: 0.01, Slow: 0.05, SlowDelay: 700 * time.Millisecond}

// inBubble runs a soak in memory, in a bubble's time.
func inBubble(t *testing.T, o Options) (rep *Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &memnet.Net{}
		o.Network = gateway.Network{Listen: n.Listen, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return n.Dial(ctx, network, addr)
		}}
		var err error
		if rep, err = Run(o); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // links and timers of what has ended come to their own ends
	})
	return rep
}

// All protocols over all kinds of links, with everything that may go wrong, must show none of what must never be.
func TestSoak(t *testing.T) {
	counts := map[string]int64{}
	links := []linkshaper.Profile{linkshaper.Good, linkshaper.Middling, linkshaper.Bad}
	if os.Getenv("SOAK_LINKS") == "bad" {
		links = links[2:]
	}
	seeds := []uint64{1, 2}
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = nil
		for i := range n {
			seeds = append(seeds, uint64(100+i))
		}
	}
	for _, seed := range seeds {
		rep := inBubble(t, Options{Duration: 2 * time.Minute, Seed: seed, Devices: 36, Protocols: "chf", Deduplication: true,
			Links:  links,
			Faults: someFaults, QuirkRate: 0.2, ReplacementInterval: 15 * time.Second, RestartInterval: 40 * time.Second})
		if rep.ViolationCount() > 0 {
			t.Errorf("seed %d: %+v", seed, rep.Result.Violations)
		}
		t.Logf("seed %d: exchanges=%d double_answers=%d unallowed_repeats=%d unanswered=%d phantoms=%d late_sends=%d served_in_time=%d drains=%d restarts=%d",
			seed, rep.Exchanges, rep.DuplicateResponses, rep.DisallowedRetries, rep.MissingResponses, rep.LostWrites, rep.SendsToDraining, rep.ServedInTime, rep.Replacements, rep.Restarts)
		if rep.Exchanges < 300 || rep.ServedInTime < rep.Exchanges/2 {
			t.Errorf("seed %d: too little happened to show anything", seed)
		}
		counts["drains"] += int64(rep.Replacements)
		counts["restarts"] += int64(rep.Restarts)
		for name, n := range rep.Counters {
			counts[name] += n
		}
	}
	for _, name := range []string{"drains", "restarts", "device_copies_joined", "device_answers_kept", "device_conflicts",
		"device_uploads", "device_doubt_failed", "file_writes_rejoined"} {
		if counts[name] == 0 {
			t.Errorf("nothing counted as %s", name)
		}
	}
}
