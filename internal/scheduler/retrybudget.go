package scheduler

import "time"

// retryBudget limits the number of retries in a sliding window, over all requests, to a constant plus a fraction of the requests
// that have arrived in the window. The zero value allows every retry.
type retryBudget struct {
	window  time.Duration // length of the sliding window; 0: every retry is allowed
	minimum float64       // retries allowed per window even if no request arrives
	ratio   float64       // additional retries allowed per request in the window

	arrivals     []arrivalCount  // arrivals of requests, oldest first
	arrivalCount int             // sum of the counts in arrivals
	retries      []time.Duration // clock times of the retries, oldest first
}

// arrivalCount is the number of requests that have arrived at one clock time.
type arrivalCount struct {
	at    time.Duration
	count int
}

// recordArrival counts the arrival of a request, and drops the arrivals that have left the window.
func (b *retryBudget) recordArrival(now time.Duration) {
	if b.window == 0 {
		return
	}
	b.dropArrivals(now)
	if last := len(b.arrivals) - 1; last >= 0 && b.arrivals[last].at == now {
		b.arrivals[last].count++
	} else {
		b.arrivals = append(b.arrivals, arrivalCount{at: now, count: 1})
	}
	b.arrivalCount++
}

// dropArrivals drops the arrivals whose age has reached the window.
func (b *retryBudget) dropArrivals(now time.Duration) {
	for len(b.arrivals) > 0 && now-b.arrivals[0].at >= b.window {
		b.arrivalCount -= b.arrivals[0].count
		b.arrivals = b.arrivals[1:]
	}
}

// recordRetry counts a retry that is sent now.
func (b *retryBudget) recordRetry(now time.Duration) {
	if b.window > 0 {
		b.retries = append(b.retries, now)
	}
}

// allowsRetry reports whether one more retry stays within the budget. It drops entries that have left the window: an arrival when
// its age reaches the window, a retry only when its age exceeds the window.
func (b *retryBudget) allowsRetry(now time.Duration) bool {
	if b.window == 0 {
		return true
	}
	b.dropArrivals(now)
	for len(b.retries) > 0 && now-b.retries[0] > b.window {
		b.retries = b.retries[1:]
	}
	return float64(len(b.retries)+1) <= b.minimum+b.ratio*float64(b.arrivalCount)
}
