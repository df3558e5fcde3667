package scheduler

import (
	"math"
	"time"
)

// maxTokenWait is the longest time that tokenBucket.waitFor returns.
const maxTokenWait = 24 * time.Hour

// tokenBucket is filled with units at a constant rate up to a capacity. Its level may fall below zero.
type tokenBucket struct {
	rate, capacity, tokens float64 // rate in units per second; tokens is the level at updatedAt
	updatedAt              time.Duration
}

// newTokenBucket returns a bucket that is empty at the clock time now.
func newTokenBucket(rate, capacity float64, now time.Duration) tokenBucket {
	return tokenBucket{rate: rate, capacity: capacity, updatedAt: now}
}

// newFullTokenBucket returns a bucket that is full at the clock time now.
func newFullTokenBucket(rate, capacity float64, now time.Duration) tokenBucket {
	return tokenBucket{rate: rate, capacity: capacity, tokens: capacity, updatedAt: now}
}

// available adds the units that are due since the last update and returns the level of the bucket.
func (b *tokenBucket) available(now time.Duration) float64 {
	b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b.tokens
}

// waitFor returns how long it takes until the level reaches a number of units. It returns 0 if it has reached them, or if the bucket
// is not filled, and maxTokenWait at most. Converting a float beyond the range of int64 gives other results on other architectures.
func (b *tokenBucket) waitFor(now time.Duration, units float64) time.Duration {
	missing := units - b.available(now)
	if missing <= 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration(min(missing/b.rate*float64(time.Second), float64(maxTokenWait)))
}

// consume takes units out of the bucket, even if its level falls below zero.
func (b *tokenBucket) consume(now time.Duration, units float64) { b.tokens = b.available(now) - units }

// resize changes the rate and the capacity from now on. The next call of available discards units beyond the new capacity.
func (b *tokenBucket) resize(now time.Duration, rate, capacity float64) {
	b.available(now)
	b.rate, b.capacity = rate, capacity
}

// setRate changes the rate from now on.
func (b *tokenBucket) setRate(now time.Duration, rate float64) {
	b.available(now)
	b.rate = rate
}

// decayingSum is a sum of units that decays exponentially. All calls must pass the same time constant.
type decayingSum struct {
	units     float64 // value at updatedAt
	updatedAt time.Duration
}

// value returns the decayed sum at the clock time now.
func (d *decayingSum) value(now, timeConstant time.Duration) float64 {
	d.units *= math.Exp(-float64(now-d.updatedAt) / float64(timeConstant))
	d.updatedAt = now
	return d.units
}

// add adds units at the clock time now.
func (d *decayingSum) add(now, timeConstant time.Duration, units float64) {
	d.units = d.value(now, timeConstant) + units
}
