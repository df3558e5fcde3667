package discovery

import (
	"context"
	"log/slog"

	"gaugerelay/internal/logevent"
)

// Bounds of the delay before a continuous watch that has ended is reopened. The delay doubles from one reconnect to the next.
// A watch that lasted for maxReconnectDelayMs or longer is reopened at once. While no watch is open, the gateway does not learn
// that a server drains. The longest delay is therefore short compared with the time for which a draining server still accepts
// requests. That time starts when the discovery agent on this machine is notified of the drain.
const (
	minReconnectDelayMs = 10
	maxReconnectDelayMs = 160
)

// backoff computes the delays between reconnects. Its zero value begins with the shortest delay.
type backoff struct{ delayMs float64 }

// next returns the delay before the next reconnect, in milliseconds.
func (b *backoff) next() float64 {
	b.delayMs = min(max(2*b.delayMs, minReconnectDelayMs), maxReconnectDelayMs)
	return b.delayMs
}

// reset makes the next delay the shortest one.
func (b *backoff) reset() { b.delayMs = 0 }

// availability logs one record when the discovery agent on this machine becomes unavailable and one when it recovers. The zero
// value means that the agent is available.
type availability struct{ unavailable bool }

// recordFailure records that a watch has failed with an error.
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

// runContinuously keeps a watch open until ctx is done. The delays between watches limit the rate of calls while the agent is
// unavailable or ends each watch as soon as it is open.
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

// sleep returns after a delay or when ctx is done, whichever comes first.
func (w *Watcher) sleep(ctx context.Context, delayMs float64) {
	elapsed := make(chan struct{})
	stop := w.clock.AfterFunc(delayMs, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}
