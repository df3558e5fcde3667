package httpserver

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"

	"gaugerelay/internal/logevent"
)

// closeReason is why a client's connection was closed. The first reason that is noted for a connection counts.
type closeReason uint32

const (
	closeUnspecified      closeReason = iota
	closeByClient                     // the client has closed the connection or its sending side
	closeClientReset                  // the client has reset the connection, or the network has
	closeIdleTimeout                  // no request arrived in time after the last response
	closeReadTimeout                  // a request was not complete in time
	closeWriteFailed                  // a response could not be written, or the client did not read it in time
	closeInvalidHead                  // the head of a request could not be read
	closeMalformed                    // the request was malformed, so that the start of the next one is unknown
	closeAfterResponse                // the client asked for it, or the response said so
	closeTooMuchPipelined             // the client sent more requests at once than are buffered
	closeSilentShed                   // to make room: the client had sent nothing since it connected
	closeIdleShed                     // to make room: there was no request
	closeShutdown                     // the gateway is shutting down, and there was no request
	closeSlowRequest                  // to make room: the request that was being read made the least progress
	closeUnreadResponse               // to make room: the client did not read its response
	closeTooManyFields                // the head of a request has too many fields
	closeMemory                       // clients' data takes too much memory
	closeTooMuchWork                  // the client keeps the gateway busier than it may
	closeTooManyClosing               // too many connections waited for their clients to close them
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"unspecified", "client_closed", "client_reset", "idle_timeout", "read_timeout",
	"write_failed", "invalid_head", "malformed", "after_response", "too_much_pipelined", "silent_shed", "idle_shed", "shutdown",
	"slow_request", "unread_response", "too_many_fields", "memory", "too_much_work", "too_many_closing"}

// String returns the name of the reason in logs and counters.
func (r closeReason) String() string {
	if r < closeReasonCount {
		return closeReasonNames[r]
	}
	return fmt.Sprintf("closeReason(%d)", uint32(r))
}

// isUsual reports whether closes for this reason are not logged, because the client brought them about or expects them.
func (r closeReason) isUsual() bool {
	return r == closeByClient || r == closeAfterResponse || r == closeIdleTimeout
}

// connectionsClosedPrefix is the first part of the names of the counters of closed connections. The name of the reason follows.
const connectionsClosedPrefix = "client_connections_closed_"

// maxLoggedID is the number of bytes of a request's id that are logged. The ids of malformed requests may be longer.
const maxLoggedID = 64

// noteReason records why the connection is going to be closed, unless a reason has been recorded already.
func (c *clientConn) noteReason(reason closeReason) {
	c.reason.CompareAndSwap(uint32(closeUnspecified), uint32(reason))
}

// noteReadError records the reason that the error of a read implies.
func (c *clientConn) noteReadError(err error) {
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		c.noteReason(closeByClient)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.noteReason(closeClientReset)
	case c.requestBegun.Load() || c.requestActive:
		c.noteReason(closeReadTimeout)
	default:
		c.noteReason(closeIdleTimeout)
	}
}

// noteServerClose records the reason for a close by net/http for which no other reason was recorded: it closes a connection after its
// own response to an invalid head, and after a response that ends the connection.
func (c *clientConn) noteServerClose() {
	if c.requestBegun.Load() {
		c.noteReason(closeInvalidHead)
		return
	}
	c.noteReason(closeAfterResponse)
}

// reportClose counts a close by its reason, and logs it unless it is usual. The caller holds tracker.mu.
func (c *clientConn) reportClose() {
	reason := closeReason(c.reason.Load())
	c.tracker.Metrics.Add(connectionsClosedPrefix+reason.String(), 1)
	if reason.isUsual() && !c.responsePending.Load() {
		return
	}
	suppressed, ok := c.tracker.closeEvents.Allow(reason.String())
	if !ok {
		return
	}
	fields := []any{logevent.Client, c.RemoteAddr().String(), logevent.Reason, reason.String(), logevent.Request, c.lastRequestID(),
		logevent.Unanswered, c.responsePending.Load(), logevent.AgeMs, c.tracker.Clock.NowMs() - c.acceptedAtMs,
		logevent.Suppressed, suppressed}
	go slog.Info(logevent.ClientConnectionClosed, fields...) // in a goroutine, since the log may block and the caller holds tracker.mu
}

// recordRequestID records the id of a request that was read.
func (c *clientConn) recordRequestID(r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	id = id[:min(len(id), maxLoggedID)]
	c.requestID.Store(&id)
}

// lastRequestID returns the id of the last request that was read from the connection, or "".
func (c *clientConn) lastRequestID() string {
	if id := c.requestID.Load(); id != nil {
		return *id
	}
	return ""
}
