package scheduler

import (
	"math"
	"time"
)

// tokenBucket holds units that arrive at a rate up to a capacity. It may be overdrawn.
type tokenBucket struct {
	rate, capacity, tokens float64 // rate per second
	updatedAt              time.Duration
}

// newTokenBucket returns a bucket that is empty at a time.
func newTokenBucket(rate, capacity float64, now time.Duration) tokenBucket {
	return tokenBucket{rate: rate, capacity: capacity, updatedAt: now}
}

// newFullTokenBucket returns a bucket that is full at a time.
func newFullTokenBucket(rate, capacity float64, now time.Duration) tokenBucket {
	return tokenBucket{rate: rate, capacity: capacity, tokens: capacity, updatedAt: now}
}

// available adds the units that have arrived since the last call and returns what the bucket holds.
func (b *tokenBucket) available(now time.Duration) float64 {
	b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b.tokens
}

// consume takes units out of the bucket, below zero if need be.
func (b *tokenBucket) consume(now time.Duration, units float64) { b.tokens = b.available(now) - units }

// resize changes rate and capacity from now on. Units beyond the new capacity are lost at the next call of available.
func (b *tokenBucket) resize(now time.Duration, rate, capacity float64) {
	b.available(now)
	b.rate, b.capacity = rate, capacity
}

// setRate changes the rate from now on.
func (b *tokenBucket) setRate(now time.Duration, rate float64) {
	b.available(now)
	b.rate = rate
}

// decayingSum is a sum of units that decay exponentially with a time constant, which every call must give alike.
type decayingSum struct {
	units     float64
	updatedAt time.Duration
}

// value returns what has not decayed yet.
func (d *decayingSum) value(now, timeConstant time.Duration) float64 {
	d.units *= math.Exp(-float64(now-d.updatedAt) / float64(timeConstant))
	d.updatedAt = now
	return d.units
}

// add adds units.
func (d *decayingSum) add(now, timeConstant time.Duration, units float64) {
	d.units = d.value(now, timeConstant) + units
}
