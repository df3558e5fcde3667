package logevent

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter Limiter
		allowed := 0
		for range 3 * limiterBurst {
			if _, ok := limiter.Allow("a"); ok {
				allowed++
			}
		}
		if allowed != limiterBurst {
			t.Errorf("%d events were allowed in an interval, want %d", allowed, limiterBurst)
		}
		if _, ok := limiter.Allow("b"); !ok {
			t.Error("an event with another key was not allowed")
		}
		time.Sleep(limiterInterval)
		if suppressed, ok := limiter.Allow("a"); !ok || suppressed != 2*limiterBurst {
			t.Errorf("after the interval: allowed %v with %d suppressed events, want true with %d", ok, suppressed, 2*limiterBurst)
		}
		if suppressed, _ := limiter.Allow("a"); suppressed != 0 {
			t.Errorf("%d suppressed events are reported again, want 0", suppressed)
		}
	})
}
