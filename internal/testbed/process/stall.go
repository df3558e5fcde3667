package process

import "time"

// DetectStalls sleeps for interval in a loop until stop is closed. A sleep that took longer than limit means that the machine
// was too busy for timing checks. DetectStalls then calls onStall synchronously with the interval of the sleep, whose
// From and To are both set.
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
