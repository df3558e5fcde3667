package httpserver

import (
	"errors"
	"net/http"
	"strconv"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/workbudget"
)

// writeResponse writes the final response to a request. If a transmission on a newer connection of the device has superseded
// the request, it panics with http.ErrAbortHandler.
func (h *Handler) writeResponse(w http.ResponseWriter, r *http.Request, pending *pendingRequest, response lifecycle.Response) {
	if h.keepAlivesDisabled.Load() { // keep-alives may have been disabled since ServeHTTP checked
		w.Header().Set("Connection", "close")
	}
	switch response.Kind {
	case lifecycle.Served:
		if h.ServesDevices {
			h.writeDeviceResponse(w, r, pending, response)
			return
		}
		h.writeBody(w, r, response.Body.([]byte))
	case lifecycle.Rejected:
		writeRejection(w, response.RetryAfterMs)
	case lifecycle.DuplicateID:
		w.Header().Set("Connection", "close")
		http.Error(w, "a request with this X-Correlation-Id is open", http.StatusConflict)
	case lifecycle.Conflict:
		http.Error(w, "another content than that of the exchange it names; nothing of it was done", http.StatusConflict)
	case lifecycle.Superseded:
		panic(http.ErrAbortHandler) // the device waits for the response on a newer connection
	default:
		writeFailure(w)
	}
}

// writeBody writes a successful response. The response takes memory until the client has read it, except for the part that the operating
// system buffers.
func (h *Handler) writeBody(w http.ResponseWriter, r *http.Request, body []byte) {
	if conn := clientConnOf(r.Context()); conn != nil {
		conn.force(len(body))
		defer conn.beginWrite()()
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a client that has disconnected needs no response
}

// writeFailure writes the response to a request that failed but may have been executed.
func writeFailure(w http.ResponseWriter) {
	http.Error(w, "failed", http.StatusBadGateway)
}

// writeRejection writes the response to a request that was not executed. If retryAfterMs is 0, it omits Retry-After.
func writeRejection(w http.ResponseWriter, retryAfterMs float64) {
	if retryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfterMs/1000, 'f', 3, 64))
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// rejectInboxFull responds to a request that the event loop did not accept. The request was not executed, so it is rejected,
// whatever its class. A repeated transmission of a device's write fails instead, because an earlier one may have been executed.
func (h *Handler) rejectInboxFull(w http.ResponseWriter, r *http.Request, request *lifecycle.Request) {
	h.Metrics.Add(frontend.RequestsInboxFull, 1)
	if request.Device != nil && request.IsRetry && r.Method != http.MethodGet {
		writeFailure(w)
		return
	}
	writeRejection(w, h.inboxRetryAfterMs())
}

// rejectEvicted responds to a request that was not read completely, or not accepted, to make room for others. The server then closes the
// connection.
func (h *Handler) rejectEvicted(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeRejection(w, h.inboxRetryAfterMs())
}

// inboxRetryAfterMs returns the delay, in milliseconds, after which the client should retry a request that was not submitted.
func (h *Handler) inboxRetryAfterMs() float64 {
	return min(frontend.InboxFullRetryAfterMs, clock.Ms(h.Settings.MaxRetryAfter))
}

// rejectMalformed responds to a request for which parseRequest returned err. The server then closes the connection, because the
// end of the body, and so the start of the next request, is unknown.
func (h *Handler) rejectMalformed(w http.ResponseWriter, r *http.Request, err error) {
	h.Metrics.Add(frontend.RequestsMalformed, 1)
	if !h.awaitWork(w, r, workbudget.Request) {
		return
	}
	if conn := clientConnOf(r.Context()); conn != nil {
		conn.noteReason(closeMalformed)
	}
	w.Header().Set("Connection", "close")
	status := http.StatusBadRequest
	if malformed := (*malformedError)(nil); errors.As(err, &malformed) {
		status = malformed.status
	}
	http.Error(w, err.Error(), status)
}
