package faultnet

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"
)

// TestParseOptions checks that all options are read, and that an unknown option and a missing or malformed value are errors.
func TestParseOptions(t *testing.T) {
	want := Options{Seed: 7, FailureRate: 0.03, WallClockOffset: -time.Hour}
	if got, err := ParseOptions("seed=7,rate=0.03,wall=-1h0m0s"); err != nil || got != want {
		t.Errorf("ParseOptions returned %+v and error %v, want %+v and no error", got, err, want)
	}
	for _, invalid := range []string{"", "seed=x", "rate=", "wall=1", "speed=1"} {
		if _, err := ParseOptions(invalid); err == nil {
			t.Errorf("ParseOptions(%q) returned no error, want one", invalid)
		}
	}
}

// TestSeedDrawsSameFailures checks that a seed draws the same failures on every machine and in every version, so that a run
// can be reproduced.
func TestSeedDrawsSameFailures(t *testing.T) {
	network := New(Options{Seed: 7, FailureRate: 0.03})
	hash, failures := fnv.New64a(), 0
	for range 1000 {
		errno, fails := network.drawAccept()
		if !fails {
			_, _ = fmt.Fprintln(hash, "ok") // Writing to a hash never fails.
			continue
		}
		failures++
		_, _ = fmt.Fprintln(hash, slices.Index(acceptErrors, errno))
	}
	if got := hash.Sum64(); failures != 88 || got != 0x6285aa782b0a3e14 {
		t.Errorf("%d accepts failed, hash of their errors %#x; want 88 and 0x6285aa782b0a3e14", failures, got)
	}
}
