// Package quantile estimates quantiles of a stream of durations. A Sketch takes 196 bytes, so that one can be kept for each
// device.
//
// A Sketch is a histogram with logarithmic buckets, four for each doubling of the duration, from 1 ms to 4.6 hours. Each
// bucket has a counter of 16 bits. An estimated quantile differs from the exact one by at most 9.1 % if all values are in
// the range of the buckets. When a counter is full, all counters are halved, so that old values lose weight and the quantiles
// follow the stream. The package runs no goroutine.
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

// Add adds a duration in milliseconds. NaN is ignored. Values below 1 count as 1, and values beyond the last bucket are
// counted in it.
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

// Decay halves all counts and rounds them down, so that a bucket with a single value becomes empty.
func (s *Sketch) Decay() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += uint32(s.counts[i])
	}
}

// Count returns the sum of all counts: the number of values added, less what Decay has removed.
func (s *Sketch) Count() int { return int(s.total) }

// Quantile returns an estimate of the q-quantile in milliseconds: the duration that a fraction q of the values does not
// exceed. q is clamped to the range from 0 to 1. It returns 0 for an empty sketch.
func (s *Sketch) Quantile(q float64) float64 {
	if s.total == 0 {
		return 0
	}
	rank := uint32(min(max(math.Ceil(q*float64(s.total)), 1), float64(s.total)))
	sum := uint32(0)
	for bucket, count := range s.counts {
		if sum += uint32(count); sum >= rank {
			return math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling) // geometric mean of the bucket's bounds
		}
	}
	return 0 // unreachable: the counts add up to total
}
