package exchange

import (
	"math"
	"math/rand/v2"
	"testing"
)

var estimatorSettings = LinkSettings{MinIdleTimeoutMs: 1000, MaxIdleTimeoutMs: 10_000, MinBlockSize: 64, MaxBlockSize: 16384,
	MaxBlockTransferMs: 400}

// After many samples of a link, the block size, the idle timeout and the expected overhead must fit the link, within the limits
// of the settings.
func TestEstimatorFollowsSamples(t *testing.T) {
	for name, c := range map[string]struct {
		roundTripMs, jitterMs, bytesPerMs, gapMs float64
		blockSize                                int
		minIdleTimeoutMs, maxIdleTimeoutMs       float64
	}{
		"good":     {20, 4, 1000, 5, 16384, 1000, 1000},
		"slow":     {300, 60, 10, 50, 2048, 1000, 1500},
		"stalling": {100, 20, 50, 2500, 16384, 4500, 6000},
		"hopeless": {2000, 500, 0.5, 9000, 128, 10_000, 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			random, link := rand.New(rand.NewPCG(1, 1)), &LinkEstimator{}
			for range 200 {
				link.Observe(LinkSample{RoundTripMs: c.roundTripMs + c.jitterMs*(2*random.Float64()-1), Bytes: 2000,
					TransferMs: 2000 / c.bytesPerMs, MaxGapMs: c.gapMs})
			}
			advice := link.Advise(&estimatorSettings)
			if advice.BlockSize != c.blockSize || advice.IdleTimeoutMs < c.minIdleTimeoutMs || advice.IdleTimeoutMs > c.maxIdleTimeoutMs {
				t.Errorf("got advice %+v, want a block size of %d and an idle timeout of %v to %v ms", advice, c.blockSize,
					c.minIdleTimeoutMs, c.maxIdleTimeoutMs)
			}
			// The overhead is the round trip, the transfer time of a response of 1,000 bytes, half the median gap, and the margin.
			want := c.roundTripMs + 1000/c.bytesPerMs + c.gapMs/2
			if got := link.ExpectedOverheadMs(1000, 1e6); got < want*0.9 || got > want*1.1+max(25, 4*c.jitterMs) {
				t.Errorf("got an expected overhead of %v ms, want about %v", got, want)
			}
		})
	}
}

// Samples come from devices. An implausible duration, or a transfer of fewer than minRateSampleBytes, must not change the
// estimates.
func TestEstimatorIgnoresImplausibleSamples(t *testing.T) {
	link := &LinkEstimator{}
	for _, value := range []float64{math.NaN(), math.Inf(1), -5, 0, 1e12} {
		link.Observe(LinkSample{RoundTripMs: value, Bytes: 1000, TransferMs: value, MaxGapMs: value})
	}
	link.Observe(LinkSample{Bytes: 3, TransferMs: 1})
	if link.roundTripMs != 0 || link.bytesPerMs != 0 || link.gaps.Count() != 0 {
		t.Errorf("%+v", link)
	}
}

// A link without samples must be assumed to be poor.
func TestEstimatorWithoutSamples(t *testing.T) {
	link := &LinkEstimator{}
	// The expected round trip is 600 ms or a quarter of the remaining time, whichever is less, and 0 after the deadline.
	for remainingMs, want := range map[float64]float64{400: 100, 2400: 600, 1e5: 600, -3: 0} {
		if got := link.expectedRoundTripMs(remainingMs); got != want {
			t.Errorf("got an expected round trip of %v ms with %v ms remaining, want %v", got, remainingMs, want)
		}
	}
	if advice := link.Advise(&estimatorSettings); advice.IdleTimeoutMs != 10_000 {
		t.Errorf("got an idle timeout of %v ms, want the maximum", advice.IdleTimeoutMs)
	}
}
