package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/scheduler"
)

const (
	// responseTimeoutMs is the time after which a call without a response fails.
	responseTimeoutMs = 3000

	// heartbeatIntervalMs is the longest time between two messages on a healthy watch. Discovery sends an empty line if it has
	// nothing else to send.
	heartbeatIntervalMs = 2000

	// idleTimeoutMs is the time without a message after which a watch fails: one and a half heartbeat intervals. Such a watch may
	// miss changes. The platform treats the gateway as having been notified of them 6 s after the last message at the latest. By
	// then another watch must be open and have sent a list. The 3 s that remain after the timeout are for the delays of calls,
	// which are spread over 2 s at most, and for their responses.
	idleTimeoutMs = 1.5 * heartbeatIntervalMs

	// confirmationDelayMs is the time from the request of a watch until the watch is treated as confirmed even if no update has
	// arrived. Before that, discovery may still end the watch because there are too many calls.
	confirmationDelayMs = 1.25 * heartbeatIntervalMs
)

// watchSession is the state of one watch, from its request to its end. Only the goroutine of the watch uses it.
type watchSession struct {
	mode      watchMode
	onMessage func() // function that is called for each object and each heartbeat

	startedMs     float64 // time at which the request was sent
	responded     bool    // whether a response with status 200 has begun
	updated       bool    // whether an update was applied; an empty snapshot counts
	lastMessageMs float64 // time at which the latest object or heartbeat was received; 0: none
	parser        fastjson.Parser
}

// confirmed reports whether a message received at atMs proves that the gateway has received all changes made before atMs.
func (s *watchSession) confirmed(atMs float64) bool {
	return s.updated || atMs-s.startedMs >= confirmationDelayMs
}

// recordUpdate records that an update of the session is applied. For the first update it returns the time since the request was
// sent, in milliseconds. For later updates it returns 0.
func (s *watchSession) recordUpdate(nowMs float64) float64 {
	if s.updated {
		return 0
	}
	s.updated = true
	return nowMs - s.startedMs
}

// endUpdate returns the update that reports that the session has ended with an error.
func (s *watchSession) endUpdate(nowMs float64, err error) lifecycle.EndpointUpdate {
	switch {
	case s.responded && errors.Is(err, errWatchIdle):
		return lifecycle.EndpointUpdate{Kind: scheduler.WatchIdle, Failure: lifecycle.WatchSilent}
	case s.responded && s.confirmed(nowMs) && s.silent(nowMs):
		return lifecycle.EndpointUpdate{Kind: scheduler.WatchClosed, Failure: lifecycle.WatchSilent}
	case s.responded && s.confirmed(nowMs):
		return lifecycle.EndpointUpdate{Kind: scheduler.WatchClosed}
	}
	return lifecycle.EndpointUpdate{Kind: scheduler.WatchFailed, CompleteAsOfMs: s.startedMs, Failure: callFailure(err)}
}

// silent reports whether a heartbeat is overdue at nowMs. A watch may fall silent before its connection ends, and then misses changes.
// One that falls silent and ends between two heartbeats cannot be told from a healthy one.
func (s *watchSession) silent(nowMs float64) bool {
	return nowMs-max(s.startedMs, s.lastMessageMs) > heartbeatIntervalMs
}

// logEnd logs the error with which a call failed, or with which the watch that it opened has ended.
func (w *Watcher) logEnd(session *watchSession, err error) {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	slog.Warn(logevent.DiscoveryCallFailed, logevent.Error, err, logevent.TookMs, w.clock.NowMs()-session.startedMs,
		"answered", session.responded, "silent", session.responded && session.silent(w.clock.NowMs()), logevent.Version, version)
}

// idleTimer cancels a watch with errWatchIdle unless reset or close is called before the timeout of the latest reset has passed.
// clock and cancel must be set.
type idleTimer struct {
	clock  clock.Clock
	cancel context.CancelCauseFunc
	stop   func() // stops the running timer; nil if none was started
}

// reset restarts the timer with the given timeout.
func (t *idleTimer) reset(timeoutMs float64) {
	t.close()
	t.stop = t.clock.AfterFunc(timeoutMs, func() { t.cancel(errWatchIdle) })
}

// close stops the timer.
func (t *idleTimer) close() {
	if t.stop != nil {
		t.stop()
	}
}

// watch runs one session until it ends, and returns the reason as an error, which is never nil. The error is errWatchIdle if
// discovery did not respond within responseTimeoutMs, or if no message arrived for idleTimeoutMs after that.
func (w *Watcher) watch(ctx context.Context, session *watchSession) error {
	w.mu.Lock()
	addr, version := w.addr, w.version
	w.mu.Unlock()
	session.startedMs = w.clock.NowMs()
	slog.Debug(logevent.DiscoveryCall, logevent.Address, addr, logevent.Version, version)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := &idleTimer{clock: w.clock, cancel: cancel}
	defer idle.close()
	idle.reset(responseTimeoutMs)
	request, err := watchRequest(ctx, addr, version)
	if err != nil {
		return err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %d", errUnexpectedStatus, response.StatusCode)
	}
	session.responded = true
	slog.Info(logevent.DiscoveryAnswered, logevent.Address, addr, logevent.TookMs, w.clock.NowMs()-session.startedMs)
	return w.receive(ctx, session, response.Body, idle)
}

// watchRequest returns the request for all changes after a version, or for a snapshot first if the version is 0.
func watchRequest(ctx context.Context, addr string, version uint64) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&after=%d", addr, version)
	return http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
}

// receive handles the messages of a session until one of them cannot be read or handled.
func (w *Watcher) receive(ctx context.Context, session *watchSession, body io.Reader, idle *idleTimer) error {
	idle.reset(idleTimeoutMs)
	reader := newObjectReader(body)
	for {
		object, err := reader.next()
		if err != nil {
			return w.readError(ctx, err)
		}
		idle.reset(idleTimeoutMs)
		session.onMessage()
		receivedMs := w.received.lastReadStartedMs()
		session.lastMessageMs = receivedMs
		if object == nil {
			w.handleHeartbeat(session, receivedMs)
			continue
		}
		if err := w.handleObject(session, object, receivedMs); err != nil {
			return err
		}
	}
}

// readError returns the reason why the body of a watch could not be read. If ctx was canceled, the reason is the cause of the
// cancellation, because the read error is only its consequence.
func (w *Watcher) readError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	switch {
	case errors.Is(err, errNotAnObject):
		w.metrics.Add(counterInvalidMessages, 1)
		return err
	case errors.Is(err, errObjectTooLarge):
		return err
	}
	return fmt.Errorf("discovery: watch ended: %w", err)
}
