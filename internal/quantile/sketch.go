// Package sketch keeps quantiles of a stream of durations in a few dozen bytes: small enough for one a device.
//
// A Sketch counts values in logarithmic buckets of 16 bits, four to a doubling, from 1 ms to 4.6 hours. A quantile
// is within 9.1 % of a value of that rank, as long as values lie in that range. When a bucket is full all are
// halved: old values fade, and what is told follows the stream. A Sketch is not safe for concurrent use.
package quantile

import "math"

const (
	perDoubling = 4
	buckets     = 24 * perDoubling
	full        = math.MaxUint16
)

// Sketch is ready for use as its zero value.
type Sketch struct {
	count [buckets]uint16
	total uint32
}

// Add counts a value in milliseconds. What is no number is left out; what is below 1 counts as 1.
func (s *Sketch) Add(ms float64) {
	if math.IsNaN(ms) {
		return
	}
	i := 0
	if ms > 1 {
		i = int(min(math.Log2(ms)*perDoubling, buckets-1))
	}
	if s.count[i] == full {
		s.Decay()
	}
	s.count[i]++
	s.total++
}

// Decay halves all counts, rounding down: a bucket that was met once is forgotten.
func (s *Sketch) Decay() {
	s.total = 0
	for i := range s.count {
		s.count[i] /= 2
		s.total += uint32(s.count[i])
	}
}

// Count is how many values weigh in: those added, less what has faded.
func (s *Sketch) Count() int { return int(s.total) }

// Quantile is a value such that a part q of the stream lies at or below it; 0 for an empty sketch.
func (s *Sketch) Quantile(q float64) float64 {
	if s.total == 0 {
		return 0
	}
	rank := uint32(min(max(math.Ceil(q*float64(s.total)), 1), float64(s.total)))
	sum := uint32(0)
	for i, n := range s.count {
		if sum += uint32(n); sum >= rank {
			return math.Exp2((float64(i) + 0.5) / perDoubling) // the middle, as logarithms go
		}
	}
	return 0 // not reached: the counts add up to total
}
