package exchange

import (
	"math"

	"gaugerelay/internal/scheduler"
)

// minReadRetentionMs is the minimum time for which the response to a read is retained.
const minReadRetentionMs = 100

// armTimer sets the timer of an exchange to the next time at which the exchange changes without an event.
func (s *Store) armTimer(exchange *storedExchange) {
	nextMs := math.Inf(1)
	for _, waiter := range exchange.waiting {
		nextMs = min(nextMs, exchange.respondByMs(waiter))
	}
	switch exchange.state {
	case stateRunning:
	case stateReceiving:
		nextMs = min(nextMs, exchange.lastActivityMs+s.settings.UploadIdleTimeoutMs)
	default:
		nextMs = min(nextMs, s.forgetAtMs(exchange))
		if exchange.retainUntilMs() > s.nowMs {
			nextMs = min(nextMs, exchange.retainUntilMs()) // the exchange may be evicted from then on
		}
	}
	if math.IsInf(nextMs, 1) {
		s.wheel.Cancel(&exchange.timer)
		return
	}
	s.wheel.Schedule(&exchange.timer, nextMs)
}

// forgetAtMs returns when an ended exchange is forgotten.
func (s *Store) forgetAtMs(exchange *storedExchange) float64 {
	if exchange.class.Idempotency == scheduler.Idempotent {
		// Reads are retained only for a short time, because it is safe to execute a later transmission again.
		return max(exchange.deadlineMs, exchange.lastActivityMs+minReadRetentionMs)
	}
	return max(exchange.deadlineMs, exchange.retainUntilMs()) + s.settings.RetentionMs
}

// onExpiry handles an exchange whose timer has expired.
func (s *Store) onExpiry(exchange *storedExchange) {
	if s.expired(exchange) {
		s.forget(exchange)
		return
	}
	stillWaiting := exchange.waiting[:0]
	for _, waiter := range exchange.waiting {
		if s.nowMs < exchange.respondByMs(waiter) {
			stillWaiting = append(stillWaiting, waiter)
			continue
		}
		// A later response would not reach the device before it stops waiting. The failure is final for all later transmissions
		// as well.
		s.respond(waiter.id, Respond{Kind: ResponseFailed, Advice: s.advice(exchange.device)})
		exchange.failureReported = true
	}
	exchange.waiting = stillWaiting
	s.updateEvictable(exchange)
	s.armTimer(exchange)
}

// expired reports whether an exchange must be forgotten now.
func (s *Store) expired(exchange *storedExchange) bool {
	switch exchange.state {
	case stateRunning:
		return false
	case stateReceiving:
		return s.nowMs >= exchange.lastActivityMs+s.settings.UploadIdleTimeoutMs
	default:
		return s.nowMs >= s.forgetAtMs(exchange)
	}
}
