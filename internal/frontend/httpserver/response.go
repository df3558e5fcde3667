package httpserver

import (
	"errors"
	"net/http"
	"strconv"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/lifecycle"
)

// writeResponse writes the final response to a request. It panics with http.ErrAbortHandler for a request that a newer
// connection of its device has superseded.
func (h *Handler) writeResponse(w http.ResponseWriter, r *http.Request, request *lifecycle.Request, response lifecycle.Response) {
	if h.keepAlivesDisabled.Load() { // also if that happened while the request was open
		w.Header().Set("Connection", "close")
	}
	switch response.Kind {
	case lifecycle.Served:
		if h.ServesDevices {
			h.writeDeviceResponse(w, r, request, response)
			return
		}
		writeBody(w, response.Result.([]byte))
	case lifecycle.Rejected:
		writeRejection(w, response.RetryAfterMs)
	case lifecycle.DuplicateID:
		w.Header().Set("Connection", "close")
		http.Error(w, "a request with this X-Correlation-Id is open", http.StatusConflict)
	case lifecycle.Conflict:
		http.Error(w, "another content than that of the exchange it names; nothing of it was done", http.StatusConflict)
	case lifecycle.Superseded:
		panic(http.ErrAbortHandler) // the device waits on newer connections
	default:
		writeFailure(w)
	}
}

// writeBody writes a successful response.
func writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a client that has disconnected needs no response
}

// writeFailure writes the response to a request that may have been executed.
func writeFailure(w http.ResponseWriter) {
	http.Error(w, "failed", http.StatusBadGateway)
}

// writeRejection writes the response to a request that was not executed. With retryAfterMs 0 it gives no advice when to retry.
func writeRejection(w http.ResponseWriter, retryAfterMs float64) {
	if retryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfterMs/1000, 'f', 3, 64))
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// rejectInboxFull answers a request that the loop did not accept. Nothing of it was executed, so a rejection is right for any
// class, but an earlier copy of a device's write may have been.
func (h *Handler) rejectInboxFull(w http.ResponseWriter, r *http.Request, request *lifecycle.Request) {
	h.Metrics.Add(frontend.RequestsInboxFull, 1)
	if request.Device != nil && request.IsRetry && r.Method != http.MethodGet {
		writeFailure(w)
		return
	}
	writeRejection(w, h.inboxRetryAfterMs())
}

// inboxRetryAfterMs returns when to retry a request that was not submitted.
func (h *Handler) inboxRetryAfterMs() float64 {
	return min(frontend.InboxFullRetryAfterMs, clock.Ms(h.Settings.MaxRetryAfter))
}

// rejectMalformed answers a request that parseRequest has rejected. The connection ends, since it is not known where the body
// ends or what follows it.
func (h *Handler) rejectMalformed(w http.ResponseWriter, err error) {
	h.Metrics.Add(frontend.RequestsMalformed, 1)
	w.Header().Set("Connection", "close")
	status := http.StatusBadRequest
	if malformed := (*malformedError)(nil); errors.As(err, &malformed) {
		status = malformed.status
	}
	http.Error(w, err.Error(), status)
}
