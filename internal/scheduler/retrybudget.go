package scheduler

import "time"

// retryBudget limits the number of retries in a sliding window, over all requests, to a constant plus a fraction of the requests
// that have arrived in the window. The zero value allows every retry.
type retryBudget struct {
	window  time.Duration // length of the sliding window; 0: every retry is allowed
	minimum float64       // retries allowed per window even if no request arrives
	ratio   float64       // additional retries allowed per request in the window

	arrivals []time.Duration // clock times of the arrivals of requests, oldest first
	retries  []time.Duration // clock times of the retries, oldest first
}

// recordArrival counts the arrival of a request.
func (b *retryBudget) recordArrival(now time.Duration) {
	if b.window > 0 {
		b.arrivals = append(b.arrivals, now)
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
	for len(b.arrivals) > 0 && now-b.arrivals[0] >= b.window {
		b.arrivals = b.arrivals[1:]
	}
	for len(b.retries) > 0 && now-b.retries[0] > b.window {
		b.retries = b.retries[1:]
	}
	return float64(len(b.retries)+1) <= b.minimum+b.ratio*float64(len(b.arrivals))
}
