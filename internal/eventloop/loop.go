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

// Options are the collaborators of a Loop. Scheduler, Clock and Metrics are required. The functions are called on the loop's
// goroutine, must not block, and do nothing if they are nil.
type Options struct {
	Scheduler lifecycle.Scheduler
	Clock     clock.Clock
	Metrics   *metrics.Registry

	// Deduplicator, Peers, EndpointLease and Authorizer are those of lifecycle.Options; each may be nil.
	Deduplicator  lifecycle.Deduplicator
	Peers         lifecycle.Peers
	EndpointLease *endpointlease.Lease
	Authorizer    *lifecycle.Authorizer

	// WatchEndpoints starts a watch of the endpoint list.
	WatchEndpoints func()
	// ProbeServer starts a probe of a server, which ends in one call of Loop.ProbeEnded.
	ProbeServer func(server *lifecycle.Server)
	// OnReady is called once, when the gateway can serve requests.
	OnReady func()
}

// Loop owns a core.
type Loop struct {
	options  Options
	requests *lifecycle.Manager
	inbox    chan func(nowMs float64)
	done     chan struct{}
	stop     func() // of the pending wake
	ready    atomic.Bool
	openNo   atomic.Int64
}

// New returns a Loop that handles nothing until Run is called.
func New(options Options) *Loop {
	if options.WatchEndpoints == nil {
		options.WatchEndpoints = func() {}
	}
	if options.ProbeServer == nil {
		options.ProbeServer = func(*lifecycle.Server) {}
	}
	if options.OnReady == nil {
		options.OnReady = func() {}
	}
	l := &Loop{options: options, inbox: make(chan func(float64), inboxSize), done: make(chan struct{}), stop: func() {}}
	l.requests = lifecycle.New(lifecycle.Options{
		Scheduler:     options.Scheduler,
		Environment:   outside{l},
		Deduplicator:  options.Deduplicator,
		Peers:         options.Peers,
		EndpointLease: options.EndpointLease,
		Authorizer:    options.Authorizer,
		TraceRequests: slog.Default().Enabled(context.Background(), slog.LevelDebug),
	})
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
			now := l.options.Clock.NowMs()
			f(now)
			for n := len(l.inbox); n > 0; n-- { // all that waits is one step
				(<-l.inbox)(now)
			}
			// A wake that came while these were handled is for a time that is later than theirs. Taken for one that
			// came too early it would be none, and the module would wait for another for good.
			l.requests.Step(l.options.Clock.NowMs())
			if l.requests.Ready() && !l.ready.Swap(true) {
				l.options.OnReady()
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

// SubmitOnLoop submits a request from the loop's goroutine, as a Deduplicator does, without a pass through the inbox.
func (l *Loop) SubmitOnLoop(nowMs float64, r *lifecycle.Request) { l.requests.Submit(nowMs, r) }

// Cancel tells that a request's client has gone away.
func (l *Loop) Cancel(r *lifecycle.Request) {
	r.Cancel()
	l.post(func(now float64) { l.requests.Cancel(now, r) })
}

// ResponseWritten tells that a device's answer was written whole to its connection.
func (l *Loop) ResponseWritten(r *lifecycle.Request, link lifecycle.LinkSample) {
	l.post(func(now float64) { l.options.Deduplicator.ResponseWritten(now, r, link) })
}

// LinkMeasured tells what a device's link was found to be.
func (l *Loop) LinkMeasured(device string, link lifecycle.LinkSample) {
	l.post(func(now float64) { l.options.Deduplicator.LinkMeasured(now, device, link) })
}

// DrainDeduplicator tells the desk to begin nothing new.
func (l *Loop) DrainDeduplicator() {
	l.post(func(now float64) {
		if d := l.options.Deduplicator; d != nil {
			d.Drain(now)
		}
	})
}

// Deduplicator returns Options.Deduplicator.
func (l *Loop) Deduplicator() lifecycle.Deduplicator { return l.options.Deduplicator }

// BeginShutdown tells that the gateway ends, and by when all that is open must have been answered.
func (l *Loop) BeginShutdown(atMs float64) { l.post(func(float64) { l.requests.BeginShutdown(atMs) }) }

// Post calls f on the loop's goroutine.
func (l *Loop) Post(f func(nowMs float64)) { l.post(f) }

// AfterFunc calls f on the loop's goroutine when ms have passed.
func (l *Loop) AfterFunc(ms float64, f func(nowMs float64)) (stop func()) {
	return l.options.Clock.AfterFunc(ms, func() { l.post(f) })
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
	o.l.stop = o.l.options.Clock.AfterFunc(ms-o.l.options.Clock.NowMs(), func() {
		o.l.post(func(float64) { o.l.requests.TimerFired() })
	})
}

func (o outside) WatchEndpoints()                 { o.l.options.WatchEndpoints() }
func (o outside) ProbeServer(n *lifecycle.Server) { o.l.options.ProbeServer(n) }
func (o outside) Log(text string)                 { slog.Info(logevent.SchedulerMessage, "text", text) }
func (o outside) Count(name string)               { o.l.options.Metrics.Add(name, 1) }

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
