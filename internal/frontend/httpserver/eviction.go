package httpserver

import (
	"io"
	"time"

	"gaugerelay/internal/socketstate"
)

// take records that a request has been read completely, so that its connection stays open until it has its response. It returns false
// if the request must be rejected instead.
func (c *clientConn) take() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.evictedFor != closeUnspecified {
		return false
	}
	c.removeFromList()
	return true
}

// mustYield reports whether the current request must be rejected because it was sent before the response to an earlier one, and there are too
// many connections: a client that sends many requests at once would hold its connection for all of them.
func (c *clientConn) mustYield() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.wasPipelined && c.tracker.open > c.tracker.SheddingThreshold
}

// evictionReason returns why the request that is being read must be rejected, or closeUnspecified.
func (c *clientConn) evictionReason() closeReason {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.evictedFor
}

// isLeaving reports whether the connection no longer counts as open, because it has been shed or its request is being rejected. The
// caller holds tracker.mu.
func (c *clientConn) isLeaving() bool { return c.isShed || c.evictedFor != closeUnspecified }

// evictForMemory rejects the request that is being read because memory is short.
func (c *clientConn) evictForMemory() (evicted bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.list != &c.tracker.readingConns {
		return false
	}
	c.evict(closeMemory)
	return true
}

// beginWrite records that a response is being written. The returned function records that it has been written.
func (c *clientConn) beginWrite() (end func()) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.addToList(&c.tracker.writingConns)
	return func() {
		c.tracker.mu.Lock()
		defer c.tracker.mu.Unlock()
		if c.list == &c.tracker.writingConns {
			c.removeFromList()
		}
	}
}

// abortForMemory ends the writing of a response that the client does not read because memory is short.
func (c *clientConn) abortForMemory() (aborted bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.list != &c.tracker.writingConns {
		return false
	}
	c.abortWrite(closeMemory)
	return true
}

// abortWrite ends the writing of a response that the client does not read, and the reading of further requests. The client can tell that the response is not whole. The caller
// holds tracker.mu.
func (c *clientConn) abortWrite(reason closeReason) {
	c.evict(reason)
	c.SetWriteDeadline(time.Unix(1, 0))
}

// earlyResponse is a response that is written before a request has been read completely.
type earlyResponse string

// earlyResponseTimeout bounds the time to write an earlyResponse. The client has been sent nothing since its last response, so that
// there is room in its connection unless it has left earlier responses unread.
const earlyResponseTimeout = 50 * time.Millisecond

// reject writes a response to a request that is being read, and returns io.EOF. The request has not been accepted, so that a status
// of 503 is right even if the rest of it has arrived.
func (c *clientConn) reject(response earlyResponse, reason closeReason) error {
	c.noteReason(reason)
	c.SetWriteDeadline(time.Now().Add(earlyResponseTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+string(response)+"\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "+
		"0\r\nConnection: close\r\n\r\n") // a client that has disconnected needs no response
	return io.EOF
}

// SetReadDeadline sets the deadline of reads, unless a read must end at once because the request is rejected.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.evictedFor != closeUnspecified && c.closingElement == nil {
		deadline = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Responses that reject a request before it has been read completely.
const (
	responseBusy          earlyResponse = "503 Service Unavailable"
	responseTooManyFields earlyResponse = "431 Request Header Fields Too Large"
)

// markShed marks the connection as shed, unless bytes of a request have arrived: closing the connection would lose that request. The
// caller holds tracker.mu.
func (c *clientConn) markShed() bool {
	c.arrivalMu.Lock()
	defer c.arrivalMu.Unlock()
	if c.hasArrived || c.hasUnreadData() {
		return false
	}
	c.isShed = true
	return true
}

// hasUnreadData reports whether bytes from the client wait to be read.
func (c *clientConn) hasUnreadData() bool {
	unread, err := socketstate.HasUnreadData(c.Conn)
	return unread && err == nil
}

// evict rejects the request that is being read: the read ends, and the goroutine that reads writes the response. The caller holds
// tracker.mu.
func (c *clientConn) evict(reason closeReason) {
	if c.evictedFor != closeUnspecified || c.isShed || c.closed {
		c.removeFromList()
		return
	}
	c.noteReason(reason)
	c.evictedFor = reason
	c.removeFromList()
	c.tracker.open--
	c.tracker.Metrics.Add(connectionsEvicted, 1)
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}
