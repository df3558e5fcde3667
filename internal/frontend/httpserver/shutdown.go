package httpserver

import "math"

// newConnsExpectedMs is how long, in milliseconds after the start of a shutdown, new client connections are still expected. The
// platform lets clients open new connections for at least this long.
const newConnsExpectedMs = 200

// BeginShutdown makes the handler report that it is not ready, and respond by respondByMs, a time of Clock in milliseconds, to
// every request that it accepts from now on.
func (h *Handler) BeginShutdown(respondByMs float64) {
	h.rejectFromMs.Store(math.Float64bits(h.Clock.NowMs() + newConnsExpectedMs))
	h.respondByMs.Store(math.Float64bits(respondByMs))
}

// DisableKeepAlives makes the server close each connection after the next response on it.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// shouldRejectForShutdown records that a request arrived, and reports whether to reject it so that its connection becomes idle
// at once. Clients regard a gateway that is shutting down as unavailable if they find all its connections busy. The gateway
// therefore serves more requests during a shutdown if it keeps a connection idle. respondByMs is 0 before a shutdown.
func (h *Handler) shouldRejectForShutdown(nowMs, respondByMs float64) bool {
	if h.Conns == nil {
		return false
	}
	h.pacerMu.Lock()
	defer h.pacerMu.Unlock()
	h.pacer.RecordArrival(nowMs)
	if respondByMs == 0 || nowMs < math.Float64frombits(h.rejectFromMs.Load()) {
		return false
	}
	open, busy := h.Conns.Count()
	return h.pacer.ShouldReject(nowMs, open, busy, respondByMs-nowMs)
}

// recordLatency records the latency of a request that shouldRejectForShutdown did not reject.
func (h *Handler) recordLatency(arrivedMs float64) {
	if h.Conns != nil {
		h.pacerMu.Lock()
		defer h.pacerMu.Unlock()
		nowMs := h.Clock.NowMs()
		h.pacer.RecordCompletion(nowMs, nowMs-arrivedMs)
	}
}
