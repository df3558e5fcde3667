package quantile

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Quantiles stay within the promised part of the plain program's: all values, sorted.
func TestQuantiles(t *testing.T) {
	for name, draw := range map[string]func(*rand.Rand) float64{
		"even":      func(r *rand.Rand) float64 { return 1 + 999*r.Float64() },
		"long tail": func(r *rand.Rand) float64 { return min(1e7, math.Exp(2+2*r.NormFloat64())+1) },
		"two heaps": func(r *rand.Rand) float64 { return []float64{20, 2000}[r.IntN(2)] + r.Float64() },
		"one value": func(*rand.Rand) float64 { return 77 },
	} {
		r, s := rand.New(rand.NewPCG(3, 4)), &Sketch{}
		var all []float64
		for range 5000 {
			x := draw(r)
			all = append(all, x)
			s.Add(x)
		}
		slices.Sort(all)
		for _, q := range []float64{0, 0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.99, 1} {
			want := all[max(0, int(math.Ceil(q*float64(len(all))))-1)]
			if got := s.Quantile(q); got < want/1.0911 || got > want*1.0911 {
				t.Errorf("%s: quantile %v is %.1f, want %.1f", name, q, got, want)
			}
		}
	}
}

func TestOddValuesAndFading(t *testing.T) {
	s := &Sketch{}
	if s.Quantile(0.5) != 0 || s.Count() != 0 {
		t.Error("an empty sketch tells something")
	}
	for _, x := range []float64{math.NaN(), -1, 0, 0.3, math.Inf(1), 1e300} {
		s.Add(x)
	}
	if s.Count() != 5 || s.Quantile(0) > 1.2 || s.Quantile(1) < 1e7 {
		t.Errorf("%d values, from %v to %v", s.Count(), s.Quantile(0), s.Quantile(1))
	}
	s = &Sketch{}
	for range 200_000 {
		s.Add(10)
	}
	for range 60_000 {
		s.Add(1000)
	}
	if n := s.Count(); n > 2*full || s.Quantile(0.01) > 11 || s.Quantile(0.99) < 900 {
		t.Errorf("%d values, %v and %v: a full bucket must halve all and lose none", n, s.Quantile(0.01), s.Quantile(0.99))
	}
	for range 20 {
		s.Decay()
	}
	if s.Count() != 0 {
		t.Errorf("%d values after they have faded", s.Count())
	}
}

// The rivals: the last thousand values, sorted when asked, and a library's sketch of the same accuracy.
func BenchmarkSketch(b *testing.B) {
	for _, every := range []int{1, 16} { // values for each question
		r := rand.New(rand.NewPCG(1, 2))
		values := make([]float64, 4096)
		for i := range values {
			values[i] = math.Exp(3 + 1.5*r.NormFloat64())
		}
		sum := 0.0
		b.Run(fmt.Sprintf("buckets/%d", every), func(b *testing.B) {
			s := &Sketch{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Add(values[i%4096])
				if i%every == 0 {
					sum += s.Quantile(0.99)
				}
			}
		})
		b.Run(fmt.Sprintf("sorted/%d", every), func(b *testing.B) {
			ring, order := make([]float64, 0, 1000), make([]float64, 0, 1000)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if len(ring) < 1000 {
					ring = append(ring, values[i%4096])
				} else {
					ring[i%1000] = values[i%4096]
				}
				if i%every == 0 {
					order = append(order[:0], ring...)
					slices.Sort(order)
					sum += order[len(order)*99/100]
				}
			}
		})
		b.Run(fmt.Sprintf("ddsketch/%d", every), func(b *testing.B) {
			s, err := ddsketch.LogCollapsingLowestDenseDDSketch(0.09, buckets)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Add(values[i%4096])
				if i%every == 0 {
					x, _ := s.GetValueAtQuantile(0.99)
					sum += x
				}
			}
		})
		if sum == 0 {
			b.Fatal("no values")
		}
	}
}
