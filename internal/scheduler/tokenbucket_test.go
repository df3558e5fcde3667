package scheduler

import (
	"math"
	"testing"
	"time"
)

func TestTokenBucket(t *testing.T) {
	const now = time.Hour
	bucket := newTokenBucket(10, 25, now)
	checkAvailable := func(at time.Duration, want float64) {
		t.Helper()
		if got := bucket.available(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v units available, want %v", got, want)
		}
	}
	checkAvailable(now, 0)
	checkAvailable(now+time.Second, 10)
	checkAvailable(now+time.Minute, 25)
	bucket.consume(now+time.Minute, 40)
	checkAvailable(now+time.Minute, -15)
	bucket.setRate(now+time.Minute+time.Second, 20) // the level is -5
	checkAvailable(now+time.Minute+2*time.Second, 15)
	bucket.resize(now+time.Minute+2*time.Second, 1, 8)
	checkAvailable(now+time.Minute+2*time.Second, 8)
	bucket = newFullTokenBucket(10, 25, now)
	checkAvailable(now, 25)
}

func TestDecayingSum(t *testing.T) {
	var sum decayingSum
	sum.add(time.Hour, time.Second, 4)
	sum.add(time.Hour+time.Second, time.Second, 1)
	if got, want := sum.value(time.Hour+2*time.Second, time.Second), 4/(math.E*math.E)+1/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("sum is %v, want %v", got, want)
	}
}

// Guards against retry times that depend on the architecture: a conversion to a duration beyond its range is not defined by Go.
func TestTokenBucketWaitIsTheSameOnAllArchitectures(t *testing.T) {
	const now = time.Hour
	for _, test := range []struct {
		name                string
		rate, tokens, units float64
		want                time.Duration
	}{
		{"enough units", 10, 25, 25, 0},
		{"more than enough units", 10, 25, 1, 0},
		{"some units missing", 10, 5, 10, 500 * ms},
		{"overdrawn", 4, -2, 1, 750 * ms},
		{"a fraction of a nanosecond is cut off", 3, 0, 1, 333_333_333},
		{"not filled", 0, 0, 3, 0},
		{"not filled, nothing missing", 0, 0, 0, 0},
		{"filled so slowly that the time is beyond a duration's range", 1e-12, 0, 3, maxTokenWait},
		{"filled at the smallest rate", math.SmallestNonzeroFloat64, 0, 3, maxTokenWait},
		{"infinitely many units", 10, 0, math.Inf(1), maxTokenWait},
	} {
		bucket := tokenBucket{rate: test.rate, capacity: 100, tokens: test.tokens, updatedAt: now}
		if got := bucket.waitFor(now, test.units); got != test.want {
			t.Errorf("%s: the wait is %v, want %v", test.name, got, test.want)
		}
	}
}
