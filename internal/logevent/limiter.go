package logevent

import (
	"sync"
	"time"
)

// Limits of a Limiter for each key.
const (
	// limiterInterval is the time in which limiterBurst events may be logged.
	limiterInterval = time.Second
	limiterBurst    = 5
)

// Limiter bounds how often events are logged, so that an overload does not fill the log. It counts the events separately by key. The
// keys must come from a bounded set. The zero value is ready for use, and its methods may be called from any goroutine.
type Limiter struct {
	mu     sync.Mutex
	states map[string]*limiterState
}

// limiterState is the count of the events with one key.
type limiterState struct {
	intervalStart time.Time
	logged        int // events logged in the interval
	suppressed    int // events that were not logged since the last one that was
}

// Allow reports whether an event with the given key may be logged now. suppressed is the number of events with that key that were not
// logged since the last one that was.
func (l *Limiter) Allow(key string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = map[string]*limiterState{}
	}
	state := l.states[key]
	if state == nil {
		state = &limiterState{}
		l.states[key] = state
	}
	if now := time.Now(); now.Sub(state.intervalStart) >= limiterInterval {
		state.intervalStart, state.logged = now, 0
	}
	if state.logged >= limiterBurst {
		state.suppressed++
		return 0, false
	}
	state.logged++
	suppressed, state.suppressed = state.suppressed, 0
	return suppressed, true
}
