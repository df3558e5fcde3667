package lifecycle

import (
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/scheduler"
)

// Keys of the fields of this package's trace events, in addition to those of package logevent.
const (
	fieldRequestID   = "id" // id of the request in the scheduler
	fieldClass       = "class"
	fieldShard       = "shard"
	fieldRemainingMs = "left_ms"
	fieldVerdict     = "verdict"
)

// traceAccepted traces that a request was accepted.
func (m *Manager) traceAccepted(request *Request) {
	if m.traceRequests {
		m.environment.Trace(logevent.RequestAccepted, logevent.Request, request.ClientID, fieldRequestID, request.id,
			fieldClass, request.Class, fieldShard, request.Shard, fieldRemainingMs, request.RemainingMs)
	}
}

// traceCanceled traces that an open request was canceled.
func (m *Manager) traceCanceled(request *Request) {
	if m.traceRequests {
		m.environment.Trace(logevent.RequestCanceled, logevent.Request, request.ClientID, fieldRequestID, request.id)
	}
}

// traceCompleted traces the final response to a request.
func (m *Manager) traceCompleted(request *Request, response *Response) {
	if m.traceRequests {
		m.environment.Trace(logevent.RequestCompleted, logevent.Request, request.ClientID, fieldRequestID, request.id,
			fieldVerdict, responseCounters[response.Kind], logevent.Reason, response.Reason.String())
	}
}

// traceAttemptStarted traces that an attempt is passed to its Upstream.
func (m *Manager) traceAttemptStarted(request *Request, number int, server *Server) {
	if m.traceRequests {
		m.environment.Trace(logevent.AttemptStarted, logevent.Request, request.ClientID, fieldRequestID, request.id,
			logevent.Attempt, number, logevent.Server, server.Name)
	}
}

// traceAttemptEnded traces how an attempt ended.
func (m *Manager) traceAttemptEnded(request *Request, number int, server *Server, status scheduler.Status, latencyMs float64) {
	if m.traceRequests {
		m.environment.Trace(logevent.AttemptEnded, logevent.Request, request.ClientID, fieldRequestID, request.id,
			logevent.Attempt, number, logevent.Server, server.Name,
			logevent.Status, status.String(), logevent.TookMs, latencyMs)
	}
}
