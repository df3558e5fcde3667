package gaugerelay

import "time"

// This file holds plain data structures; it decides nothing.

// bucket is a token bucket.
type bucket struct {
	rate, most, level float64
	last              time.Duration
}

// set gives a bucket its figures; it starts empty.
func (b *bucket) set(rate, most float64, now time.Duration) { b.rate, b.most, b.last = rate, most, now }

// at is its level now.
func (b *bucket) at(now time.Duration) float64 {
	b.level = min(b.most, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
	return b.level
}

// take draws units from it.
func (b *bucket) take(now time.Duration, units float64) { b.level = b.at(now) - units }

// expiry is an entry of the heap of deadlines, soonest first.
type expiry struct {
	at time.Duration
	r  *request
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
