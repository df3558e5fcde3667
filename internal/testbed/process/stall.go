package process

import "time"

// DetectStalls sleeps for interval again and again until stop is closed, and calls onStall from its own goroutine for
// each sleep that took longer than limit: the machine was then too busy for any judgment on times. Both ends of the
// reported interval are set.
func DetectStalls(stop <-chan struct{}, interval, limit time.Duration, onStall func(Interval)) {
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		now := time.Now()
		if now.Sub(last) > limit {
			onStall(Interval{From: last, To: now})
		}
		last = now
	}
}
