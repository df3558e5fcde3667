package httpserver

import (
	"net/http"

	"gaugerelay/internal/workbudget"
)

// workOf returns the account of the work of a request's connection, or nil if the connection is not tracked.
func workOf(r *http.Request) *workbudget.Account {
	if conn := clientConnOf(r.Context()); conn != nil {
		return conn.work
	}
	return nil
}

// awaitWork waits until the gateway may do the work of a response that no server takes part in. If that takes too long, it rejects the
// request, so that the server closes the connection, and returns false.
func (h *Handler) awaitWork(w http.ResponseWriter, r *http.Request, work workbudget.Work) bool {
	account := workOf(r)
	if account.AwaitAnswer(work) {
		workbudget.Yield()
		return true
	}
	clientConnOf(r.Context()).noteReason(closeTooMuchWork)
	h.rejectEvicted(w)
	return false
}

// awaitRead waits until the client may cause more work. It returns why the connection must be closed instead, or closeUnspecified. Bytes
// that have arrived by its end may have arrived at any time during the wait.
func (c *clientConn) awaitRead() closeReason {
	if c.work.Overused() && (len(c.pipelined) > 0 || c.hasUnreadData()) {
		return closeTooMuchWork
	}
	startMs := c.tracker.Clock.NowMs()
	if !c.work.AwaitRead() {
		return closeTooMuchWork
	}
	if c.delayedSinceMs == 0 && c.tracker.Clock.NowMs()-startMs >= negligibleDelayMs && (len(c.pipelined) > 0 || c.hasUnreadData()) {
		c.delayedSinceMs = startMs
	}
	return closeUnspecified
}

// negligibleDelayMs is the shortest delay of a read that counts as such.
const negligibleDelayMs = 1

// awaitOwnResponse waits before net/http writes a response of its own, which no Handler has seen: the head of the request was malformed.
// The connection is closed after the response in any case.
func (c *clientConn) awaitOwnResponse() {
	if !c.handled && !c.work.AwaitAnswer(workbudget.Request) {
		c.noteReason(closeTooMuchWork)
	}
}

// discardUntilClosed reads and discards what the client sends until it closes its side, the connection is closed, or the client sends
// more than it may.
func (c *clientConn) discardUntilClosed() {
	buffer := make([]byte, discardBufferBytes)
	for {
		n, err := c.Conn.Read(buffer)
		c.work.Charge(workbudget.Read + workbudget.UnwantedBytes(n))
		if err != nil || !c.work.AwaitUnwanted() {
			return
		}
	}
}
