package cluster

import "time"

// tokenBucket is the limit of a volume as the invariant counts it at the servers.
type tokenBucket struct {
	level, burst float64 // units; the level is below zero while the limit is exceeded
	lowest       float64 // lowest level so far
	at           time.Time
}

// newTokenBucket returns a full bucket.
func newTokenBucket(burst float64, now time.Time) *tokenBucket {
	return &tokenBucket{level: burst, burst: burst, lowest: burst, at: now}
}

// take refills the bucket at limitRate up to now and takes units from it.
func (b *tokenBucket) take(units float64, now time.Time) {
	b.level = min(b.burst, b.level+limitRate*now.Sub(b.at).Seconds()) - units
	b.at = now
	b.lowest = min(b.lowest, b.level)
}
