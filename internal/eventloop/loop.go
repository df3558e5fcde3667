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
	// WatchEndpoints is called when the module wants the changes of the node list, Prober when it wants a node probed.
	WatchEndpoints func()
	ProbeServer    func(n *lifecycle.Server)
	// OnReady is called, once, when requests can be served.
	OnReady func()

	requests *lifecycle.Manager
	inbox    chan func(nowMs float64)
	done     chan struct{}
	stop     func() // of the pending wake
	ready    atomic.Bool
	openNo   atomic.Int64
}

// New returns a loop round a decision module; call Run to start it.
func New(p lifecycle.Scheduler, c clock.Clock, m *metrics.Set) *Loop {
	l := &Loop{Clock: c, Metrics: m, WatchEndpoints: func() {}, ProbeServer: func(*lifecycle.Server) {}, OnReady: func() {},
		inbox: make(chan func(float64), inboxSize), done: make(chan struct{}), stop: func() {}}
	l.requests = lifecycle.New(p, outside{l})
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		l.requests.EnableTracing()
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
			l.requests.Step(l.Clock.NowMs())
			if l.requests.Ready() && !l.ready.Swap(true) {
				l.OnReady()
			}
			l.openNo.Store(int64(l.requests.OpenRequests()))
		}
	}
}

// Submit hands a request in. It returns false, having done nothing, when the inbox is too full or closed.
func (l *Loop) Submit(r *lifecycle.Request) bool {
	if len(l.inbox) > inboxSize*3/4 {
		return false
	}
	return l.post(func(now float64) { l.requests.Submit(now, r) })
}

// Cancel tells that a request's client has gone away.
func (l *Loop) Cancel(r *lifecycle.Request) {
	r.Cancel()
	l.post(func(now float64) { l.requests.Cancel(now, r) })
}

// ResponseWritten tells that a device's answer was written whole to its connection.
func (l *Loop) ResponseWritten(r *lifecycle.Request, link lifecycle.LinkSample) {
	l.post(func(now float64) { l.requests.Deduplicator().ResponseWritten(now, r, link) })
}

// LinkMeasured tells what a device's link was found to be.
func (l *Loop) LinkMeasured(device string, link lifecycle.LinkSample) {
	l.post(func(now float64) { l.requests.Deduplicator().LinkMeasured(now, device, link) })
}

// DrainDeduplicator tells the desk to begin nothing new.
func (l *Loop) DrainDeduplicator() {
	l.post(func(now float64) {
		if d := l.requests.Deduplicator(); d != nil {
			d.Drain(now)
		}
	})
}

// BeginShutdown tells that the gateway ends, and by when all that is open must have been answered.
func (l *Loop) BeginShutdown(atMs float64) { l.post(func(float64) { l.requests.BeginShutdown(atMs) }) }

// Deduplicator is the desk, if there is one.
func (l *Loop) Deduplicator() lifecycle.Deduplicator { return l.requests.Deduplicator() }

// SetDeduplicator puts a desk before the core; make builds it round a way to hand in requests. It is called before Run.
func (l *Loop) SetDeduplicator(make func(take func(nowMs float64, r *lifecycle.Request)) lifecycle.Deduplicator) {
	l.requests.SetDeduplicator(make(l.requests.Submit))
}

// Authorizer is what all attempts pass before their first byte.
func (l *Loop) Authorizer() *lifecycle.Authorizer { return l.requests.Authorizer() }

// SetEndpointLease bounds the time for which a node list is used that is not refreshed. It is called before Run.
func (l *Loop) SetEndpointLease(lease *endpointlease.Lease) { l.requests.SetEndpointLease(lease) }

// SetPeers gives the core what speaks with other gateways. It is called before Run.
func (l *Loop) SetPeers(f lifecycle.Peers) { l.requests.SetPeers(f) }

// Post calls f on the loop's goroutine.
func (l *Loop) Post(f func(nowMs float64)) { l.post(f) }

// AfterFunc calls f on the loop's goroutine when ms have passed.
func (l *Loop) AfterFunc(ms float64, f func(nowMs float64)) (stop func()) {
	return l.Clock.AfterFunc(ms, func() { l.post(f) })
}

// Complete tells how an attempt ended.
func (l *Loop) Complete(a lifecycle.Attempt, res lifecycle.AttemptResult) {
	l.post(func(now float64) { l.requests.Complete(now, a.Request, a.Number, res) })
}

// ProbeEnded tells what a probe found.
func (l *Loop) ProbeEnded(n *lifecycle.Server, latencyMs float64, s scheduler.Status, report []float64) {
	l.post(func(float64) { l.requests.ProbeEnded(n, latencyMs, s, report) })
}

// UpdateEndpoints brings news of the node list.
func (l *Loop) UpdateEndpoints(list lifecycle.EndpointUpdate) {
	l.post(func(float64) { l.requests.UpdateEndpoints(list) })
}

// Ready tells whether requests can be served.
func (l *Loop) Ready() bool { return l.ready.Load() }

// OpenRequests is the number of requests not yet answered.
func (l *Loop) OpenRequests() int { return int(l.openNo.Load()) }

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

func (o outside) SetTimer(ms float64) {
	o.l.stop()
	o.l.stop = o.l.Clock.AfterFunc(ms-o.l.Clock.NowMs(), func() {
		o.l.post(func(float64) { o.l.requests.TimerFired() })
	})
}

func (o outside) WatchEndpoints()                 { o.l.WatchEndpoints() }
func (o outside) ProbeServer(n *lifecycle.Server) { o.l.ProbeServer(n) }
func (o outside) Log(text string)                 { slog.Info(logevent.SchedulerNote, "text", text) }
func (o outside) Count(name string)               { o.l.Metrics.Add(name, 1) }

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
