package discovery

import (
	"context"
	"log/slog"

	"gaugerelay/internal/logevent"
)

// A continuous watch that has ended is opened again after a delay that doubles between these bounds, or at once if it lasted
// for maxReconnectDelayMs. That bound is short compared with the grace period of drains, which starts when the agent is
// notified.
const (
	minReconnectDelayMs = 10
	maxReconnectDelayMs = 160
)

// backoff is the delay before the next reconnect. Its zero value has no delay yet.
type backoff struct{ delayMs float64 }

// next returns the delay before the next reconnect.
func (b *backoff) next() float64 {
	b.delayMs = min(max(2*b.delayMs, minReconnectDelayMs), maxReconnectDelayMs)
	return b.delayMs
}

// reset makes the next delay the shortest one.
func (b *backoff) reset() { b.delayMs = 0 }

// availability logs when this machine's agent becomes unavailable and when it recovers, one record for each. Its zero value
// stands for an agent that is available.
type availability struct{ unavailable bool }

// recordFailure records that a watch has ended by an error.
func (a *availability) recordFailure(err error) {
	if !a.unavailable {
		a.unavailable = true
		slog.Warn(logevent.DiscoveryAgentUnavailable, logevent.Error, err)
	}
}

// recordMessage records that the agent sent a message.
func (a *availability) recordMessage() {
	if a.unavailable {
		a.unavailable = false
		slog.Info(logevent.DiscoveryAgentRecovered)
	}
}

// runContinuously keeps a watch open until ctx is done. The delays keep the calls few while the agent is unavailable or ends
// each watch as soon as it is open.
func (w *Watcher) runContinuously(ctx context.Context) {
	defer w.setClosed(ctx)
	var agent availability
	var delay backoff
	for ctx.Err() == nil {
		startedMs := w.clock.NowMs()
		err := w.watch(ctx, &watchSession{mode: modeContinuous, onMessage: agent.recordMessage})
		if ctx.Err() != nil {
			return
		}
		w.metrics.Add(counterWatchesFailed, 1)
		agent.recordFailure(err)
		if w.clock.NowMs()-startedMs >= maxReconnectDelayMs {
			delay.reset()
			continue
		}
		w.sleep(ctx, delay.next())
	}
}

// sleep returns after a delay or when ctx is done.
func (w *Watcher) sleep(ctx context.Context, delayMs float64) {
	elapsed := make(chan struct{})
	stop := w.clock.AfterFunc(delayMs, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}
