package quantile

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// maxError is the largest allowed ratio between a quantile of the sketch and the exact quantile of the values.
const maxError = 1.0911

func TestQuantileWithinRelativeError(t *testing.T) {
	for name, draw := range map[string]func(*rand.Rand) float64{
		"uniform":   func(r *rand.Rand) float64 { return 1 + 999*r.Float64() },
		"long tail": func(r *rand.Rand) float64 { return min(1e7, math.Exp(2+2*r.NormFloat64())+1) },
		"bimodal":   func(r *rand.Rand) float64 { return []float64{20, 2000}[r.IntN(2)] + r.Float64() },
		"constant":  func(*rand.Rand) float64 { return 77 },
	} {
		t.Run(name, func(t *testing.T) {
			random, sketch := rand.New(rand.NewPCG(3, 4)), &Sketch{}
			var values []float64
			for range 5000 {
				value := draw(random)
				values = append(values, value)
				sketch.Add(value)
			}
			slices.Sort(values)
			for _, q := range []float64{0, 0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.99, 1} {
				want := values[max(0, int(math.Ceil(q*float64(len(values))))-1)]
				if got := sketch.Quantile(q); got < want/maxError || got > want*maxError {
					t.Errorf("quantile %v is %.1f, want %.1f within the relative error", q, got, want)
				}
			}
		})
	}
}

func TestEmptySketch(t *testing.T) {
	sketch := &Sketch{}
	if sketch.Quantile(0.5) != 0 || sketch.Count() != 0 {
		t.Errorf("an empty sketch has the median %v and %d values, want 0 and 0", sketch.Quantile(0.5), sketch.Count())
	}
}

// TestValuesOutsideOfTheRange checks that NaN is ignored, and that values below or above the range are counted in the first or
// the last bucket.
func TestValuesOutsideOfTheRange(t *testing.T) {
	sketch := &Sketch{}
	for _, value := range []float64{math.NaN(), -1, 0, 0.3, math.Inf(1), 1e300} {
		sketch.Add(value)
	}
	if sketch.Count() != 5 || sketch.Quantile(0) > 1.2 || sketch.Quantile(1) < 1e7 {
		t.Errorf("the sketch has %d values from %v to %v, want 5 values in the first and the last bucket",
			sketch.Count(), sketch.Quantile(0), sketch.Quantile(1))
	}
}

// TestFullBucketDecaysAll checks that adding a value to a bucket whose counter is full (maxBucketValue) halves the counts of
// all buckets, so that no counter overflows and earlier values lose weight.
func TestFullBucketDecaysAll(t *testing.T) {
	sketch := &Sketch{}
	for range 200_000 {
		sketch.Add(10)
	}
	for range 60_000 {
		sketch.Add(1000)
	}
	if n := sketch.Count(); n > 2*maxBucketValue || sketch.Quantile(0.01) > 11 || sketch.Quantile(0.99) < 900 {
		t.Errorf("the sketch has %d values and the quantiles %v and %v: a full bucket must halve all counts and keep both values", n,
			sketch.Quantile(0.01), sketch.Quantile(0.99))
	}
	for range 20 {
		sketch.Decay()
	}
	if sketch.Count() != 0 {
		t.Errorf("the sketch has %d values after 20 halvings, want 0", sketch.Count())
	}
}
