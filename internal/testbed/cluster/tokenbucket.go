package cluster

import "time"

// tokenBucket counts the units that arrive at the servers against the limit of a volume, to check
// that the volume does not exceed its limit by more than the invariant allows.
type tokenBucket struct {
	level, burst float64   // units; the level is negative while the volume exceeds its limit
	lowest       float64   // lowest level so far
	updatedAt    time.Time // time of the last call of take
}

// newTokenBucket returns a full bucket.
func newTokenBucket(burst float64, now time.Time) *tokenBucket {
	return &tokenBucket{level: burst, burst: burst, lowest: burst, updatedAt: now}
}

// take refills the bucket at limitRate up to now and takes units from it.
func (b *tokenBucket) take(units float64, now time.Time) {
	b.level = min(b.burst, b.level+limitRate*now.Sub(b.updatedAt).Seconds()) - units
	b.updatedAt = now
	b.lowest = min(b.lowest, b.level)
}
