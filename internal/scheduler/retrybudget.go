package scheduler

import "time"

// retryBudget limits the retries of all requests together to a constant and a fraction of the requests that have arrived, both
// counted over a sliding window. The zero value allows every retry.
type retryBudget struct {
	window  time.Duration // 0: no budget
	minimum float64       // retries allowed per window without any request
	ratio   float64       // further retries allowed per request in the window

	arrivals []time.Duration // times of the requests, oldest first
	retries  []time.Duration // times of the retries, oldest first
}

// recordArrival counts a request.
func (b *retryBudget) recordArrival(now time.Duration) {
	if b.window > 0 {
		b.arrivals = append(b.arrivals, now)
	}
}

// recordRetry counts a retry.
func (b *retryBudget) recordRetry(now time.Duration) {
	if b.window > 0 {
		b.retries = append(b.retries, now)
	}
}

// allowsRetry reports whether one more retry stays within the budget. It drops what has left the window: a request at the age
// of the window, a retry beyond it.
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
