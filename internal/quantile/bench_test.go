package quantile

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	benchValues = 4096
	windowSize  = 1000 // number of values in the sorted window
)

// BenchmarkSketch compares Sketch with two alternatives: a window of the last values, which is sorted for each query, and a
// DDSketch of the same accuracy. The number in the name of a benchmark is the number of values added per query.
func BenchmarkSketch(b *testing.B) {
	for _, every := range []int{1, 16} {
		random := rand.New(rand.NewPCG(1, 2))
		values := make([]float64, benchValues)
		for i := range values {
			values[i] = math.Exp(3 + 1.5*random.NormFloat64())
		}
		sum := 0.0
		b.Run(fmt.Sprintf("buckets/%d", every), func(b *testing.B) { sum += benchmarkBuckets(b, values, every) })
		b.Run(fmt.Sprintf("sorted/%d", every), func(b *testing.B) { sum += benchmarkSorted(b, values, every) })
		b.Run(fmt.Sprintf("ddsketch/%d", every), func(b *testing.B) { sum += benchmarkDDSketch(b, values, every) })
		if sum == 0 {
			b.Fatal("all quantiles are 0")
		}
	}
}

func benchmarkBuckets(b *testing.B, values []float64, every int) (sum float64) {
	sketch := &Sketch{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sketch.Add(values[i%benchValues])
		if i%every == 0 {
			sum += sketch.Quantile(0.99)
		}
	}
	return sum
}

func benchmarkSorted(b *testing.B, values []float64, every int) (sum float64) {
	window, sorted := make([]float64, 0, windowSize), make([]float64, 0, windowSize)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if len(window) < windowSize {
			window = append(window, values[i%benchValues])
		} else {
			window[i%windowSize] = values[i%benchValues]
		}
		if i%every == 0 {
			sorted = append(sorted[:0], window...)
			slices.Sort(sorted)
			sum += sorted[len(sorted)*99/100]
		}
	}
	return sum
}

func benchmarkDDSketch(b *testing.B, values []float64, every int) (sum float64) {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(0.09, bucketCount)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := sketch.Add(values[i%benchValues]); err != nil {
			b.Fatal(err)
		}
		if i%every == 0 {
			quantile, err := sketch.GetValueAtQuantile(0.99)
			if err != nil {
				b.Fatal(err)
			}
			sum += quantile
		}
	}
	return sum
}
