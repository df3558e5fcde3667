// Package loop runs the one goroutine that owns the core and the decision module. Everyone else reaches them
// through its bounded inbox.
package eventloop

import (
	"context"
	"log/slog"
	"sync/atomic"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
)

// inboxSize bounds what waits for the loop; above the last quarter new requests are turned away, so that the
// ends of attempts, which must not be lost, always find room soon.
const inboxSize = 4096

// Loop owns a core.
type Loop struct {
	Clock   clock.Clock
	Metrics *metrics.Set
	// Watch is called when the module wants the changes of the node list, Prober when it wants a node probed.
	Watch  func()
	Prober func(n *lifecycle.Node)
	// BecameReady is called, once, when requests can be served.
	BecameReady func()

	core   *lifecycle.Core
	inbox  chan func(nowMs float64)
	done   chan struct{}
	stop   func() // of the pending wake
	ready  atomic.Bool
	openNo atomic.Int64
}

// New returns a loop round a decision module; call Run to start it.
func New(p lifecycle.Policy, c clock.Clock, m *metrics.Set) *Loop {
	l := &Loop{Clock: c, Metrics: m, Watch: func() {}, Prober: func(*lifecycle.Node) {}, BecameReady: func() {},
		inbox: make(chan func(float64), inboxSize), done: make(chan struct{}), stop: func() {}}
	l.core = lifecycle.New(p, outside{l})
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		l.core.TraceOn()
	}
	return l
}

// Run handles the inbox until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.inbox:
			now := l.Clock.NowMs()
			f(now)
			for n := len(l.inbox); n > 0; n-- { // all that waits is one step
				(<-l.inbox)(now)
			}
			// A wake that came while these were handled is for a time that is later than theirs. Taken for one that
			// came too early it would be none, and the module would wait for another for good.
			l.core.Step(l.Clock.NowMs())
			if l.core.Ready() && !l.ready.Swap(true) {
				l.BecameReady()
			}
			l.openNo.Store(int64(l.core.Open()))
		}
	}
}

// Offer hands a request in. It returns false, having done nothing, when the inbox is too full or closed.
func (l *Loop) Offer(r *lifecycle.Request) bool {
	if len(l.inbox) > inboxSize*3/4 {
		return false
	}
	return l.post(func(now float64) { l.core.Take(now, r) })
}

// Gone tells that a request's client has gone away.
func (l *Loop) Gone(r *lifecycle.Request) {
	r.Leave()
	l.post(func(now float64) { l.core.Gone(now, r) })
}

// Written tells that a device's answer was written whole to its connection.
func (l *Loop) Written(r *lifecycle.Request, link lifecycle.Link) {
	l.post(func(now float64) { l.core.Desk().Written(now, r, link) })
}

// Measured tells what a device's link was found to be.
func (l *Loop) Measured(device string, link lifecycle.Link) {
	l.post(func(now float64) { l.core.Desk().Measured(now, device, link) })
}

// DrainDesk tells the desk to begin nothing new.
func (l *Loop) DrainDesk() {
	l.post(func(now float64) {
		if d := l.core.Desk(); d != nil {
			d.Drain(now)
		}
	})
}

// Ending tells that the gateway ends, and by when all that is open must have been answered.
func (l *Loop) Ending(atMs float64) { l.post(func(float64) { l.core.Ending(atMs) }) }

// Desk is the desk, if there is one.
func (l *Loop) Desk() lifecycle.Desk { return l.core.Desk() }

// SetDesk puts a desk before the core; make builds it round a way to hand in requests. It is called before Run.
func (l *Loop) SetDesk(make func(take func(nowMs float64, r *lifecycle.Request)) lifecycle.Desk) {
	l.core.SetDesk(make(l.core.Take))
}

// Gate is what all attempts pass before their first byte.
func (l *Loop) Gate() *lifecycle.Gate { return l.core.Gate() }

// SetLease bounds the time for which a node list is used that is not refreshed. It is called before Run.
func (l *Loop) SetLease(lease *endpointlease.Lease) { l.core.SetLease(lease) }

// SetFleet gives the core what speaks with other gateways. It is called before Run.
func (l *Loop) SetFleet(f lifecycle.Fleet) { l.core.SetFleet(f) }

// Post calls f on the loop's goroutine.
func (l *Loop) Post(f func(nowMs float64)) { l.post(f) }

// After calls f on the loop's goroutine when ms have passed.
func (l *Loop) After(ms float64, f func(nowMs float64)) (stop func()) {
	return l.Clock.AfterFunc(ms, func() { l.post(f) })
}

// Finish tells how an attempt ended.
func (l *Loop) Finish(a lifecycle.Attempt, res lifecycle.Result) {
	l.post(func(now float64) { l.core.Finish(now, a.Request, a.N, res) })
}

// Probed tells what a probe found.
func (l *Loop) Probed(n *lifecycle.Node, latencyMs float64, s scheduler.Status, report []float64) {
	l.post(func(float64) { l.core.Probed(n, latencyMs, s, report) })
}

// Nodes brings news of the node list.
func (l *Loop) Nodes(list lifecycle.List) { l.post(func(float64) { l.core.Nodes(list) }) }

// Ready tells whether requests can be served.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Open is the number of requests not yet answered.
func (l *Loop) Open() int { return int(l.openNo.Load()) }

// post waits for room in the inbox; the loop never waits for anyone, so there soon is some.
func (l *Loop) post(f func(nowMs float64)) bool {
	select {
	case <-l.done: // an ended loop leaves its inbox unread, room or not
		return false
	default:
	}
	select {
	case l.inbox <- f:
		return true
	case <-l.done:
		return false
	}
}

// outside is the loop as the core sees it; its methods run on the loop's goroutine.
type outside struct{ l *Loop }

func (o outside) WakeAt(ms float64) {
	o.l.stop()
	o.l.stop = o.l.Clock.AfterFunc(ms-o.l.Clock.NowMs(), func() {
		o.l.post(func(float64) { o.l.core.Wake() })
	})
}

func (o outside) Subscribe()              { o.l.Watch() }
func (o outside) Probe(n *lifecycle.Node) { o.l.Prober(n) }
func (o outside) Log(text string)         { slog.Info(logevent.SchedulerNote, "text", text) }
func (o outside) Count(name string)       { o.l.Metrics.Add(name, 1) }

func (o outside) Trace(name string, fields ...any) { slog.Debug(name, fields...) }

// Sync returns once all that was handed in before it has been decided on.
func (l *Loop) Sync() {
	for range 2 { // the second is handled after the step that the first came before
		done := make(chan struct{})
		if !l.post(func(float64) { close(done) }) {
			return
		}
		select {
		case <-done:
		case <-l.done: // it may have ended with that in its inbox
			return
		}
	}
}
