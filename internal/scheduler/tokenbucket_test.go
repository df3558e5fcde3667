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
