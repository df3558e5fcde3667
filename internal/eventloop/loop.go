// Package eventloop runs the one goroutine that owns the state of requests (package lifecycle) and the scheduler. All other
// goroutines access them through the bounded inbox of the loop.
//
// In each step the loop handles all tasks that wait in the inbox, in order, and then steps the scheduler once. The loop itself
// never waits for another goroutine, so a full inbox soon has room again.
//
// Methods of Loop may be called from any goroutine unless their comments say otherwise. The loop's goroutine is the one that
// calls Run. Tasks that are in the inbox when Run returns, or that are posted later, are not handled.
package eventloop

import (
	"context"
	"log/slog"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

const (
	// inboxSize is the maximum number of tasks that wait for the loop.
	inboxSize = 4096
	// requestInboxLimit is the number of waiting tasks above which new requests are rejected. The rest of the inbox is reserved
	// for other tasks such as the ends of attempts, which must not be lost and should not wait long for room.
	requestInboxLimit = inboxSize * 3 / 4
)

// Options configure a Loop. Scheduler, Clock and Metrics are required. The functions are called on the loop's goroutine and must
// not block. A nil function is replaced by one that does nothing.
type Options struct {
	Scheduler lifecycle.Scheduler
	Clock     clock.Clock
	Metrics   *metrics.Registry

	// Deduplicator, Peers, EndpointLease and Authorizer are passed on to lifecycle.Options. Each may be nil.
	Deduplicator  lifecycle.Deduplicator
	Peers         lifecycle.Peers
	EndpointLease *endpointlease.Lease
	Authorizer    *lifecycle.Authorizer

	// Classes are the classes of requests in the settings.
	Classes []scheduler.Class

	// WatchEndpoints starts a watch of the endpoint list.
	WatchEndpoints func()
	// ProbeServer starts a probe of a server. Its result must be passed to Loop.ProbeEnded once.
	ProbeServer func(server *lifecycle.Server)
	// OnReady is called once, as soon as the gateway can serve requests.
	OnReady func()
}

// setDefaults replaces nil functions by functions that do nothing.
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
	// stopTimer stops the pending timer of the scheduler. It is used on the loop's goroutine only.
	stopTimer func()

	ready        atomic.Bool
	openRequests atomic.Int64 // number of open requests after the last step
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
		Classes:       options.Classes,
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

// step handles the given task and all tasks that wait in the inbox, and then steps the scheduler.
func (l *Loop) step(first task) {
	nowMs := l.options.Clock.NowMs()
	first(nowMs)
	for waiting := len(l.inbox); waiting > 0; waiting-- {
		(<-l.inbox)(nowMs)
	}
	// The clock is read again, because the scheduler's timer may have fired since nowMs. If the scheduler were given nowMs, it
	// would regard that timer as too early and never set another one.
	l.manager.Step(l.options.Clock.NowMs())
	if l.manager.Ready() && !l.ready.Swap(true) {
		l.options.OnReady()
	}
	l.openRequests.Store(int64(l.manager.OpenRequests()))
}

// post puts a task into the inbox. It waits while the inbox is full, and returns false if the loop has ended.
func (l *Loop) post(t task) bool {
	select {
	case <-l.done: // checked first, because the inbox of an ended loop is not read even if it has room
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

// Sync waits until all tasks that were posted before it have been handled and the scheduler has stepped after them, or the
// loop has ended. It must not be called on the loop's goroutine.
func (l *Loop) Sync() {
	// If the first task begins a step, the earlier tasks were handled in steps that have ended. Otherwise the second task is handled
	// only after the step of the first has ended.
	for range 2 {
		handled := make(chan struct{})
		if !l.post(func(float64) { close(handled) }) {
			return
		}
		select {
		case <-handled:
		case <-l.done: // the loop may have ended without handling the task
			return
		}
	}
}

// Ready reports whether the gateway can serve requests. Once true, it stays true.
func (l *Loop) Ready() bool { return l.ready.Load() }

// OpenRequests returns the number of requests that were open after the last step.
func (l *Loop) OpenRequests() int { return int(l.openRequests.Load()) }

// Deduplicator returns Options.Deduplicator.
func (l *Loop) Deduplicator() lifecycle.Deduplicator { return l.options.Deduplicator }
