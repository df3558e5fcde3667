package exchange

import (
	"container/list"
	"math"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/timerwheel"
)

// responseGraceMs is how long after the due time of its response a transmission still waits for the end of the execution. Then
// the transmission fails.
const responseGraceMs = 12

// state is the state of an exchange.
type state uint8

const (
	stateReceiving state = iota // the body is being uploaded; the exchange has not been executed
	stateRunning                // an execution is in progress
	stateResponded              // the response is stored but has not been written to a connection
	stateDelivered              // the response is stored and has been written to a connection
	stateFailed                 // the exchange ended without a response
	stateForgotten              // the exchange has been removed from the store
)

// String returns the state in lower case.
func (s state) String() string {
	return nameOf(int(s), "receiving", "running", "responded", "delivered", "failed", "forgotten")
}

// isActive reports whether an exchange in this state counts towards Settings.MaxActivePerDevice.
func (s state) isActive() bool { return s == stateReceiving || s == stateRunning }

// waitingTransmission is a transmission that waits for the response of its exchange.
type waitingTransmission struct {
	id TransmissionID
	// deviceDeadlineMs is when the device stops waiting, on the assumption that the request took no time to arrive.
	deviceDeadlineMs float64
}

// storedExchange is an exchange in the store.
type storedExchange struct {
	id     ID
	key    string
	device *trackedDevice
	state  state

	class          Class
	digest         Digest
	shard          int     // shard that the request names; -1: none
	createdMs      float64 // arrival time of the first transmission or block
	lastActivityMs float64 // time of the latest transmission, block or end of an execution
	deadlineMs     float64 // when the device stops waiting, according to the transmission with the earliest deadline
	clientDelayMs  float64 // time that the request took to arrive, which counts against the device's time

	executionNumber   int     // number of the latest execution, counted from 1
	mayHaveExecuted   bool    // a server may have executed the request
	firstAttemptMs    float64 // when the first attempt that may have been executed was sent
	firstAttemptShard int     // shard that the attempt of firstAttemptMs was sent to; -1: unknown
	// latestAttemptMs is the latest known send time of an attempt that may have been executed. If the earlier attempts
	// did not arrive, the deduplication window of the servers starts at this time.
	latestAttemptMs float64
	failureReported bool // the failure of the exchange was reported to a transmission, which makes the failure final

	bodyBytes     int // number of stored bytes of the body that is being executed, or is kept for a repeated execution
	uploadBytes   int // number of stored bytes of an upload that has not been executed
	responseBytes int // bytes stored of the response or reserved for it
	waiting       []waitingTransmission
	upload        *upload // body that is received in blocks; nil if there is none or it was dropped

	timer           timerwheel.Timer[*storedExchange]
	evictionList    *list.List // list that contains the exchange; nil: the exchange must not be evicted
	evictionElement *list.Element
}

// outcomeUnknown reports whether the exchange failed but the failure was not reported to any transmission yet. Another
// execution may still determine the outcome.
func (e *storedExchange) outcomeUnknown() bool { return e.state == stateFailed && !e.failureReported }

// repeatUntilMs returns the earliest time at which servers may stop dropping repeats of the first attempt. No repeat is sent
// from then on. The result is minus infinity if there is no deduplication window (see windowEndMs).
func (e *storedExchange) repeatUntilMs() float64 { return e.windowEndMs(e.firstAttemptMs) }

// retainUntilMs returns the time from which no server drops repeats. An exchange that may have been executed is not forgotten
// before that time.
func (e *storedExchange) retainUntilMs() float64 { return e.windowEndMs(e.latestAttemptMs) }

// windowEndMs returns when the deduplication window of an attempt that was sent at sentMs ends. It returns minus infinity if no
// server can have executed the request, or if servers do not drop repeats of its class.
func (e *storedExchange) windowEndMs(sentMs float64) float64 {
	if !e.mayHaveExecuted || e.class.Idempotency != scheduler.IdempotentWithKey {
		return math.Inf(-1)
	}
	return sentMs + e.class.DedupWindowMs
}

// incompleteUploadBytes returns the number of bytes stored of an upload that is not complete.
func (e *storedExchange) incompleteUploadBytes() int {
	if e.upload == nil || e.upload.complete {
		return 0
	}
	return e.uploadBytes
}

// respondByMs returns when a waiting transmission must get a response at the latest. It subtracts a round trip and the
// safety margin of the link from the device's deadline, because request and response both take time on the link, and adds
// responseGraceMs.
func (e *storedExchange) respondByMs(waiter waitingTransmission) float64 {
	link := &e.device.link
	return waiter.deviceDeadlineMs - link.expectedRoundTripMs(waiter.deviceDeadlineMs-e.lastActivityMs) -
		link.safetyMarginMs() + responseGraceMs
}

// addExchange adds an exchange that will store the given number of bytes. It returns nil if that exceeds the limits.
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

// setState changes the state of an exchange and updates the counts and the eviction lists accordingly.
func (s *Store) setState(exchange *storedExchange, to state) {
	from := exchange.state
	exchange.device.active += boolToInt(to.isActive()) - boolToInt(from.isActive())
	s.stats.Running += boolToInt(to == stateRunning) - boolToInt(from == stateRunning)
	s.stats.Undelivered += boolToInt(to == stateResponded) - boolToInt(from == stateResponded)
	exchange.state = to
	s.updateEvictable(exchange)
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// setStoredBytes sets the number of bytes that an exchange stores, by kind.
func (s *Store) setStoredBytes(exchange *storedExchange, body, upload, response int) {
	s.stats.StoredBytes += body + upload + response - exchange.bodyBytes - exchange.uploadBytes - exchange.responseBytes
	exchange.bodyBytes, exchange.uploadBytes, exchange.responseBytes = body, upload, response
}

// releaseBody frees a body that will not be executed again and the bytes reserved for a response. An incomplete upload is
// kept, so that its content can be compared with that of the exchange.
func (s *Store) releaseBody(exchange *storedExchange) {
	s.setStoredBytes(exchange, 0, exchange.incompleteUploadBytes(), 0)
	if exchange.uploadBytes == 0 {
		s.emit(Release{ID: exchange.id, Body: true})
	}
}

// forget removes an exchange from the store. Transmissions that still wait for its response fail.
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
