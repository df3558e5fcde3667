// Package eventloop runs the one goroutine that owns the state of requests (package lifecycle) and the scheduler. All other
// goroutines reach them through its bounded inbox.
//
// What waits in the inbox is handled together, in its order, and then the scheduler steps once. The loop itself never waits for
// another goroutine, so a full inbox soon has room again.
//
// Methods of Loop may be called from any goroutine unless their comments say otherwise. The caller of Run owns the goroutine.
// Once Run has returned, nothing that is still in the inbox or posted later is handled.
package eventloop

import (
	"context"
	"log/slog"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

const (
	// inboxSize bounds the tasks that wait for the loop.
	inboxSize = 4096
	// requestInboxSize is from how many waiting tasks on new requests are rejected, so that the ends of attempts, which must
	// not be lost, soon have room.
	requestInboxSize = inboxSize * 3 / 4
)

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

// setDefaults replaces the functions that are nil.
func (o *Options) setDefaults() {
	if o.WatchEndpoints == nil {
		o.WatchEndpoints = func() {}
	}
	if o.ProbeServer == nil {
		o.ProbeServer = func(*lifecycle.Server) {}
	}
	if o.OnReady == nil {
		o.OnReady = func() {}
	}
}

// task is work for the loop's goroutine. It gets the current time in milliseconds.
type task func(nowMs float64)

// Loop runs a lifecycle.Manager on one goroutine. Create one with New and run it with Run.
type Loop struct {
	options Options
	manager *lifecycle.Manager
	inbox   chan task
	done    chan struct{} // closed when Run returns
	// stopTimer stops the pending timer of the scheduler. It belongs to the loop's goroutine.
	stopTimer func()

	ready        atomic.Bool
	openRequests atomic.Int64 // as of the last step
}

// New returns a Loop that handles nothing until Run is called.
func New(options Options) *Loop {
	options.setDefaults()
	l := &Loop{options: options, inbox: make(chan task, inboxSize), done: make(chan struct{}), stopTimer: func() {}}
	l.manager = lifecycle.New(lifecycle.Options{
		Scheduler:     options.Scheduler,
		Environment:   environment{l},
		Deduplicator:  options.Deduplicator,
		Peers:         options.Peers,
		EndpointLease: options.EndpointLease,
		Authorizer:    options.Authorizer,
		TraceRequests: slog.Default().Enabled(context.Background(), slog.LevelDebug),
	})
	return l
}

// Run handles the inbox until ctx ends. It must be called once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.inbox:
			l.step(first)
		}
	}
}

// step handles a task and all that wait behind it, and then steps the scheduler.
func (l *Loop) step(first task) {
	nowMs := l.options.Clock.NowMs()
	first(nowMs)
	for n := len(l.inbox); n > 0; n-- {
		(<-l.inbox)(nowMs)
	}
	// The clock is read again, because a timer that has fired meanwhile is for a later time than nowMs. The scheduler would
	// take it for one that is too early, and never ask for another.
	l.manager.Step(l.options.Clock.NowMs())
	if l.manager.Ready() && !l.ready.Swap(true) {
		l.options.OnReady()
	}
	l.openRequests.Store(int64(l.manager.OpenRequests()))
}

// post puts a task into the inbox, and waits while that is full. It returns false if the loop has ended.
func (l *Loop) post(t task) bool {
	select {
	case <-l.done: // an ended loop leaves its inbox unread, even if that has room
		return false
	default:
	}
	select {
	case l.inbox <- t:
		return true
	case <-l.done:
		return false
	}
}

// Post calls f on the loop's goroutine with the current time in milliseconds. It waits while the inbox is full. f is not called
// if the loop ends first.
func (l *Loop) Post(f func(nowMs float64)) { l.post(f) }

// AfterFunc calls f on the loop's goroutine after a duration in milliseconds, unless stop is called first.
func (l *Loop) AfterFunc(ms float64, f func(nowMs float64)) (stop func()) {
	return l.options.Clock.AfterFunc(ms, func() { l.post(f) })
}

// Sync returns once all that was posted before has been handled and the scheduler has stepped, or the loop has ended. It must
// not be called on the loop's goroutine.
func (l *Loop) Sync() {
	for range 2 { // the second task is handled after the step that follows the first
		handled := make(chan struct{})
		if !l.post(func(float64) { close(handled) }) {
			return
		}
		select {
		case <-handled:
		case <-l.done: // the loop may have ended with the task in its inbox
			return
		}
	}
}

// Ready reports whether the gateway can serve requests. Once true, it stays so.
func (l *Loop) Ready() bool { return l.ready.Load() }

// OpenRequests returns the number of open requests as of the last step.
func (l *Loop) OpenRequests() int { return int(l.openRequests.Load()) }

// Deduplicator returns Options.Deduplicator.
func (l *Loop) Deduplicator() lifecycle.Deduplicator { return l.options.Deduplicator }
