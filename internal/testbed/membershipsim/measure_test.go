package membershipsim

import (
	"fmt"
	"testing"
)

// TestCrashesAreDetectedWithinBound checks that every running member detects each crash within Report.BoundMs, also if 20 % of
// the messages are lost, and that at loss rates below 10 % no running member is declared dead.
func TestCrashesAreDetectedWithinBound(t *testing.T) {
	for _, c := range []struct {
		memberCount int
		lossRate    float64
	}{{3, 0}, {3, 0.05}, {10, 0}, {10, 0.05}, {10, 0.2}, {40, 0.05}} {
		t.Run(fmt.Sprintf("members=%d,loss=%.2f", c.memberCount, c.lossRate), func(t *testing.T) {
			for seed := range uint64(4) {
				options := Options{MemberCount: c.memberCount, LossRate: c.lossRate, MinDelayMs: 1, JitterMs: 8, Seed: seed}
				report := Measure(options, 30_000, 3)
				if report.Undetected > 0 || c.lossRate < 0.1 && report.FalseDeaths > 0 {
					t.Errorf("seed %d: got undetected crashes, or false deaths at a low loss rate; want none: %v", seed, report)
				}
			}
		})
	}
}
