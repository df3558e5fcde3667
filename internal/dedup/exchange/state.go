package exchange

import (
	"container/list"
	"math"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/timerwheel"
)

// responseGraceMs is how long after its response was due a waiting copy fails, if its run has not ended by then.
const responseGraceMs = 12

// state is the state of an exchange.
type state uint8

const (
	stateReceiving state = iota // its body is being uploaded; it has not run
	stateRunning                // a run is open
	stateResponded              // its response is stored, and was written to no connection yet
	stateDelivered              // its response is stored, and was written to a connection
	stateFailed                 // it ended without a response
	stateForgotten              // it is not in the store any more
)

// String returns the state in lower case.
func (s state) String() string {
	return nameOf(int(s), "receiving", "running", "responded", "delivered", "failed", "forgotten")
}

// isActive reports whether an exchange in this state counts towards Settings.MaxActivePerDevice.
func (s state) isActive() bool { return s == stateReceiving || s == stateRunning }

// waitingCopy is a copy that waits for its exchange's response.
type waitingCopy struct {
	id      CopyID
	untilMs float64 // when its device stops waiting, if the request took no time to arrive
}

// storedExchange is the state of an exchange in the store.
type storedExchange struct {
	id     ID
	key    string
	device *trackedDevice
	state  state

	class          Class
	digest         Digest
	shard          int     // the shard that the request names
	createdMs      float64 // when its first copy or block arrived
	lastActivityMs float64 // when a copy, a block or the end of a run last arrived
	deadlineMs     float64 // when the device stops waiting, by its first copy
	clientDelayMs  float64

	runNumber         int // number of its latest run
	mayHaveExecuted   bool
	firstAttemptMs    float64 // when the first attempt that may have executed was sent
	firstAttemptShard int     // where to; -1: unknown
	// latestAttemptMs is the latest time known of an attempt that may have executed. The servers' deduplication window
	// began with it if the earlier ones did not arrive.
	latestAttemptMs float64
	failureReported bool // a copy got the response that the exchange failed, which is final

	bodyBytes     int // stored for the run
	uploadBytes   int // stored of an upload that was not run
	responseBytes int // stored of the response, or reserved for it
	waiting       []waitingCopy
	upload        *upload // nil: no block was received

	timer           timerwheel.Timer[*storedExchange]
	evictionList    *list.List // that it is in; nil: it must not be evicted
	evictionElement *list.Element
}

// outcomeUnknown reports whether the exchange failed and no copy got to know that, so that another run may decide.
func (e *storedExchange) outcomeUnknown() bool { return e.state == stateFailed && !e.failureReported }

// rerunUntilMs returns when servers may stop dropping repeats of the first attempt: none is sent from then on. It is
// minus infinity if no server drops them.
func (e *storedExchange) rerunUntilMs() float64 { return e.windowEndMs(e.firstAttemptMs) }

// retainUntilMs returns when no server drops repeats any more. What may have executed is not forgotten before it.
func (e *storedExchange) retainUntilMs() float64 { return e.windowEndMs(e.latestAttemptMs) }

// windowEndMs returns when the deduplication window of an attempt that was sent at sentMs ends. It is minus infinity if there
// is no window.
func (e *storedExchange) windowEndMs(sentMs float64) float64 {
	if !e.mayHaveExecuted || e.class.Idempotency != scheduler.IdempotentWithKey {
		return math.Inf(-1)
	}
	return sentMs + e.class.DedupWindowMs
}

// incompleteUploadBytes returns the bytes stored of an upload that is not complete yet.
func (e *storedExchange) incompleteUploadBytes() int {
	if e.upload == nil || e.upload.complete {
		return 0
	}
	return e.uploadBytes
}

// respondByMs returns when a copy that still waits must get a response: the response takes time on the link, as the
// request did.
func (e *storedExchange) respondByMs(waiter waitingCopy) float64 {
	link := &e.device.link
	return waiter.untilMs - link.expectedRoundTripMs(waiter.untilMs-e.lastActivityMs) - link.safetyMarginMs() + responseGraceMs
}

// addExchange begins an exchange that stores so many bytes. It returns nil if that exceeds the limits.
func (s *Store) addExchange(device *trackedDevice, key string, bytes int) *storedExchange {
	if device.active >= s.settings.MaxActivePerDevice || !s.ensureCapacity(1, bytes) {
		return nil
	}
	s.lastID++
	added := &storedExchange{id: s.lastID, key: key, device: device, shard: -1, firstAttemptShard: -1,
		createdMs: s.nowMs, lastActivityMs: s.nowMs}
	added.timer.Value = added
	s.exchanges[added.id] = added
	device.exchanges[key] = added
	device.active++
	s.updateIdle(device)
	return added
}

// setState changes the state of an exchange, and the counts and the eviction list that follow from it.
func (s *Store) setState(exchange *storedExchange, to state) {
	from := exchange.state
	exchange.device.active += boolToInt(to.isActive()) - boolToInt(from.isActive())
	s.stats.Running += boolToInt(to == stateRunning) - boolToInt(from == stateRunning)
	s.stats.Undelivered += boolToInt(to == stateResponded) - boolToInt(from == stateResponded)
	exchange.state = to
	s.updateEvictable(exchange)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// setStoredBytes sets how many bytes an exchange stores.
func (s *Store) setStoredBytes(exchange *storedExchange, body, upload, response int) {
	s.stats.StoredBytes += body + upload + response - exchange.bodyBytes - exchange.uploadBytes - exchange.responseBytes
	exchange.bodyBytes, exchange.uploadBytes, exchange.responseBytes = body, upload, response
}

// releaseBody frees a body that will not run again and the bytes reserved for a response. An upload that is not
// complete continues, so that its content can be compared.
func (s *Store) releaseBody(exchange *storedExchange) {
	s.setStoredBytes(exchange, 0, exchange.incompleteUploadBytes(), 0)
	if exchange.uploadBytes == 0 {
		s.emit(Release{ID: exchange.id, Body: true})
	}
}

// forget removes an exchange. Copies that still wait for it fail.
func (s *Store) forget(exchange *storedExchange) {
	for _, waiter := range exchange.waiting {
		s.respond(waiter.id, Respond{Kind: ResponseFailed})
	}
	exchange.waiting = nil
	if exchange.state == stateReceiving {
		s.stats.UploadsDropped++
	}
	s.setState(exchange, stateForgotten)
	s.wheel.Cancel(&exchange.timer)
	s.setStoredBytes(exchange, 0, 0, 0)
	delete(s.exchanges, exchange.id)
	delete(exchange.device.exchanges, exchange.key)
	s.updateIdle(exchange.device)
	s.emit(Release{ID: exchange.id, Body: true, Response: true, Exchange: true})
}
