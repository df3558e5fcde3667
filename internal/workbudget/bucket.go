package workbudget

// bucket is an allowance of work that grows with time up to its burst. Work that has been done is taken from it, so that it may be in debt.
type bucket struct {
	perMs Work // growth in each millisecond
	burst Work
	level Work // at atMs; negative: debt
	atMs  float64
}

// newBucket returns a full bucket.
func newBucket(perMs, burst Work, nowMs float64) bucket {
	return bucket{perMs: perMs, burst: burst, level: burst, atMs: nowMs}
}

// refill lets the bucket grow until nowMs.
func (b *bucket) refill(nowMs float64) {
	b.level = min(b.burst, b.level+Work(max(0, nowMs-b.atMs))*b.perMs)
	b.atMs = max(b.atMs, nowMs)
}

// take takes work from the bucket. The debt is at most half of the burst, so that many connections at once, or one large amount, do
// not stop clients for long.
func (b *bucket) take(work Work, nowMs float64) {
	b.refill(nowMs)
	b.level = max(-b.burst/2, b.level-work)
}

// debtMs returns the time in milliseconds until the bucket is out of debt.
func (b *bucket) debtMs(nowMs float64) float64 {
	b.refill(nowMs)
	return max(0, float64(-b.level/b.perMs))
}
