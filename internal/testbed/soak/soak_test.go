package soak

import (
	"io"
	"log/slog"
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

// serverFaults makes each server fault affect a small fraction of the requests.
var serverFaults = fakestorage.Faults{Reject: 0.02, ErrorAfter: 0.02, ResetAfter: 0.02, ResetBefore: 0.01, Slow: 0.05,
	SlowDelay: 700 * time.Millisecond}

// runInBubble runs a soak with an in-memory network and the clock of a synctest bubble.
func runInBubble(t *testing.T, options Options) (report *Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &memnet.Net{}
		options.Network = gateway.Network{Listen: network.Listen, Dial: network.Dial}
		var err error
		if report, err = Run(options); err != nil {
			t.Fatal(err)
		}
		// The bubble can end only when all of its goroutines have ended. The remaining links and timers end within a minute.
		time.Sleep(time.Minute)
	})
	return report
}

// soakLinks returns the profiles of the links: all three of package linkshaper, or only linkshaper.Bad if the environment variable
// SOAK_LINKS is "bad".
func soakLinks() []linkshaper.Profile {
	if os.Getenv("SOAK_LINKS") == "bad" {
		return []linkshaper.Profile{linkshaper.Bad}
	}
	return []linkshaper.Profile{linkshaper.Good, linkshaper.Middling, linkshaper.Bad}
}

// soakSeeds returns two seeds, or as many seeds as the environment variable SOAK_SEEDS says.
func soakSeeds() []uint64 {
	count, err := strconv.Atoi(os.Getenv("SOAK_SEEDS"))
	if err != nil {
		return []uint64{1, 2}
	}
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, uint64(100+i))
	}
	return seeds
}

// TestSoak runs devices of all protocols over all kinds of links, with all faults. It checks that no invariant is violated. It also
// checks by counters that the faults led to replaced servers, restarts, joined and conflicting transmissions, uploads in blocks and
// the other less common cases; otherwise the run would not test them.
func TestSoak(t *testing.T) {
	counts := map[string]int64{}
	for _, seed := range soakSeeds() {
		report := runInBubble(t, Options{Duration: 2 * time.Minute, Seed: seed, Devices: 36, Uploaders: 4, Protocols: "chf", Deduplication: true,
			Links: soakLinks(), Faults: serverFaults, QuirkRate: 0.2, ReplacementInterval: 15 * time.Second, RestartInterval: 40 * time.Second})
		if report.ViolationCount() > 0 {
			t.Errorf("seed %d: invariants violated: %+v", seed, report.Violations)
		}
		t.Logf("seed %d: exchanges=%d double_answers=%d unallowed_repeats=%d unanswered=%d phantoms=%d late_sends=%d served_in_time=%d drains=%d restarts=%d",
			seed, report.Exchanges, report.DuplicateResponses, report.DisallowedRetries, report.MissingResponses, report.LostWrites,
			report.SendsToDraining, report.ServedInTime, report.Replacements, report.Restarts)
		if report.Exchanges < 300 || report.ServedInTime < report.Exchanges/2 {
			t.Errorf("seed %d: too few exchanges; want at least 300, and at least half of them served in time", seed)
		}
		t.Logf("seed %d: uploads=%d damaged=%d", seed, report.Uploads, report.DamagedUploads)
		counts["uploads"] += int64(report.Uploads)
		counts["drains"] += int64(report.Replacements)
		counts["restarts"] += int64(report.Restarts)
		for name, n := range report.Counters {
			counts[name] += n
		}
	}
	for _, name := range []string{"drains", "restarts", "device_copies_joined", "device_answers_kept", "device_conflicts",
		"device_uploads", "device_doubt_failed", "file_writes_rejoined",
		"file_writes_not_rejoined", "uploads"} {
		if counts[name] == 0 {
			t.Errorf("counter %s is 0 after all runs, want at least 1", name)
		}
	}
}
