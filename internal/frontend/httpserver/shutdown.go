package httpserver

import "math"

// newConnsExpectedMs is how long after the start of a shutdown the platform lets clients open new connections, at least.
const newConnsExpectedMs = 200

// BeginShutdown makes the handler report that it is not ready, and respond to every request that it accepts from now on before
// respondByMs, in milliseconds of Clock.
func (h *Handler) BeginShutdown(respondByMs float64) {
	h.keepFreeFromMs.Store(math.Float64bits(h.Clock.NowMs() + newConnsExpectedMs))
	h.respondByMs.Store(math.Float64bits(respondByMs))
}

// DisableKeepAlives makes each response from now on the last one of its connection.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// rejectsForShutdown counts a request that has arrived and reports whether to reject it for the sake of its connection: a
// shutdown serves more requests if a connection stays free. respondByMs is 0 before a shutdown.
func (h *Handler) rejectsForShutdown(nowMs, respondByMs float64) bool {
	if h.Conns == nil {
		return false
	}
	h.pacerMu.Lock()
	defer h.pacerMu.Unlock()
	h.pacer.RecordArrival(nowMs)
	if respondByMs == 0 || nowMs < math.Float64frombits(h.keepFreeFromMs.Load()) {
		return false
	}
	open, busy := h.Conns.Count()
	return h.pacer.ShouldReject(nowMs, open, busy, respondByMs-nowMs)
}

// recordLatency records how long a request took that rejectsForShutdown did not reject.
func (h *Handler) recordLatency(arrivedMs float64) {
	if h.Conns != nil {
		h.pacerMu.Lock()
		defer h.pacerMu.Unlock()
		nowMs := h.Clock.NowMs()
		h.pacer.RecordCompletion(nowMs, nowMs-arrivedMs)
	}
}
