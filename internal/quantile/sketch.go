// Package quantile estimates quantiles of a stream of durations in 196 bytes, small enough to keep one sketch for each
// device.
//
// A Sketch counts values in logarithmic buckets of 16 bits, four to each doubling, from 1 ms to 4.6 hours. A quantile
// is within 9.1 % of a value of that rank as long as the values lie in that range. When a bucket is full, all counts
// are halved, so that old values lose weight and the quantiles follow the stream. The package has no goroutine.
package quantile

import "math"

const (
	bucketsPerDoubling = 4
	bucketCount        = 24 * bucketsPerDoubling
	maxBucketValue     = math.MaxUint16
)

// Sketch is a histogram of durations. The zero value is empty and ready for use. It is not safe for concurrent use.
type Sketch struct {
	counts [bucketCount]uint16
	total  uint32
}

// Add counts a value in milliseconds. NaN is ignored, a value below 1 counts as 1, and one beyond the last bucket counts
// in it.
func (s *Sketch) Add(ms float64) {
	if math.IsNaN(ms) {
		return
	}
	bucket := 0
	if ms > 1 {
		bucket = int(min(math.Log2(ms)*bucketsPerDoubling, bucketCount-1))
	}
	if s.counts[bucket] == maxBucketValue {
		s.Decay()
	}
	s.counts[bucket]++
	s.total++
}

// Decay halves all counts, rounding down: a bucket that holds a single value becomes empty.
func (s *Sketch) Decay() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += uint32(s.counts[i])
	}
}

// Count returns the number of values that the sketch holds: those added, less those lost by Decay.
func (s *Sketch) Count() int { return int(s.total) }

// Quantile returns a duration in milliseconds such that a fraction q of the values lies at or below it. q outside of
// 0 to 1 is clamped. It returns 0 for an empty sketch.
func (s *Sketch) Quantile(q float64) float64 {
	if s.total == 0 {
		return 0
	}
	rank := uint32(min(max(math.Ceil(q*float64(s.total)), 1), float64(s.total)))
	sum := uint32(0)
	for bucket, count := range s.counts {
		if sum += uint32(count); sum >= rank {
			return math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling) // the geometric middle of the bucket
		}
	}
	return 0 // unreachable: the counts add up to total
}
