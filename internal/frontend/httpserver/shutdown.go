package httpserver

import "math"

// newConnsExpectedMs after the gateway starts to shut down, at least, clients may still open new connections, according to
// the platform.
const newConnsExpectedMs = 200

// BeginShutdown starts the shutdown of the handler: it reports that it is not ready, and answers every request that it accepts from
// now on before shutdownMs on its clock.
func (h *Handler) BeginShutdown(shutdownMs float64) {
	h.keepFreeFromMs.Store(math.Float64bits(h.Clock.NowMs() + newConnsExpectedMs))
	h.shutdownMs.Store(math.Float64bits(shutdownMs))
}

// DisableKeepAlives makes each response from now on the last one of its connection.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// rejectsForShutdown counts a request that has arrived and reports whether to reject it for the sake of its connection: a
// shutdown is better served if a connection stays free. shutdownMs is 0 before a shutdown.
func (h *Handler) rejectsForShutdown(nowMs, shutdownMs float64) bool {
	if h.Conns == nil {
		return false
	}
	h.pacerMu.Lock()
	defer h.pacerMu.Unlock()
	h.pacer.RecordArrival(nowMs)
	if shutdownMs == 0 || nowMs < math.Float64frombits(h.keepFreeFromMs.Load()) {
		return false
	}
	open, busy := h.Conns.Count()
	return h.pacer.ShouldReject(nowMs, open, busy, shutdownMs-nowMs)
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
