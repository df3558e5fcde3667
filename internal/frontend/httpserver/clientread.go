package httpserver

import (
	"errors"
	"net"

	"gaugerelay/internal/socketstate"
	"gaugerelay/internal/workbudget"
)

// unknownLength is the value of clientConn.bodyLeft for a body whose length is not known.
const unknownLength = -1

// Memory that a request takes beyond the bytes that were received.
const (
	// headCopies is the number of copies of a head in memory: the read buffer and the parsed fields.
	headCopies = 2
	// fieldBytes is the memory of one field of a parsed head in addition to its text.
	fieldBytes = 128
)

var (
	errTooMuchPipelined = errors.New("httpserver: the client sent more pipelined bytes than the gateway buffers")
	// errEvicted ends a request that is rejected before it has been read.
	errEvicted = errors.New("httpserver: the request is rejected to make room for others")
)

// Read returns bytes of one request at most, so that the next head begins with the first byte of a later call. It returns net.ErrClosed
// if the connection was shed while a request was being read from it. That can happen because net/http reports a connection as active only
// when a complete head has arrived, so the tracker regards the connection as new or idle until Read removes it from its list. The client
// sees the connection closed and sends the request again, so the request must not be accepted here. Read returns errTooMuchPipelined if
// pipelined bytes were discarded while the last request was open.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.discardedBytes > 0 && !c.requestActive {
		c.noteReason(closeTooMuchPipelined)
		return 0, errTooMuchPipelined
	}
	if c.requestActive && len(p) == 1 {
		return c.watchForDisconnect(p)
	}
	if c.requestActive {
		return c.readBody(p)
	}
	return c.readHead(p)
}

// readHead reads bytes of a head. If the request must be rejected before it is complete, it writes the response itself, since net/http
// would close the connection without one, and returns io.EOF, upon which net/http closes the connection.
func (c *clientConn) readHead(p []byte) (int, error) {
	if reason := c.awaitRead(); reason != closeUnspecified {
		return 0, c.reject(responseBusy, reason)
	}
	n, err := c.readRequest(p)
	if reason := c.evictionReason(); reason != closeUnspecified {
		return 0, c.reject(responseBusy, reason)
	}
	if n == 0 {
		return 0, err
	}
	c.requestBegun.Store(true)
	linesBefore := c.head.lines
	headBytes, _ := c.head.scan(p[:n])
	c.unread(p[headBytes:n])
	if c.head.tooManyLines() {
		return 0, c.reject(responseTooManyFields, closeTooManyFields)
	}
	if !c.reserveHead(headCopies*headBytes + fieldBytes*(c.head.lines-linesBefore)) {
		return 0, c.reject(responseBusy, closeMemory)
	}
	return headBytes, err
}

// readBody reads bytes of a body. It returns errEvicted if the request must be rejected before it is complete.
func (c *clientConn) readBody(p []byte) (int, error) {
	if c.bodyLeft >= 0 {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	if !c.work.AwaitRead() {
		c.noteReason(closeTooMuchWork)
		return 0, errEvicted
	}
	n, err := c.readRequest(p)
	if c.evictionReason() != closeUnspecified {
		return 0, errEvicted
	}
	if c.bodyLeft >= 0 {
		c.bodyLeft -= int64(n)
	}
	return n, err
}

// readRequest reads bytes of a request from the buffered bytes, or from the connection if none are buffered, and records the progress. It
// returns net.ErrClosed if the connection has been shed.
func (c *clientConn) readRequest(p []byte) (int, error) {
	if len(c.pipelined) > 0 {
		c.wasPipelined = c.wasPipelined || !c.requestActive
		return c.readPipelined(p), nil
	}
	n, err := c.readConn(p)
	c.work.Charge(workbudget.Read + workbudget.Bytes(n))
	if n == 0 {
		c.recordClientClose(err)
		c.noteReadError(err)
		return 0, err
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if !c.recordProgressLocked(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// readConn reads from the connection and sets hasArrived. For a socket it does both under arrivalMu, so that the bytes of a request are
// always either unread or recorded when the tracker decides whether to shed the connection.
func (c *clientConn) readConn(p []byte) (int, error) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return socketstate.ReadLocked(tcp, p, &c.arrivalMu, func(int) { c.hasArrived = true })
	}
	n, err := c.Conn.Read(p)
	c.arrivalMu.Lock()
	defer c.arrivalMu.Unlock()
	c.hasArrived = c.hasArrived || n > 0
	return n, err
}

// readPipelined reads from the buffered bytes, of which there must be some. A connection with buffered bytes is not shed.
func (c *clientConn) readPipelined(p []byte) int {
	n := copy(p, c.pipelined)
	if n == len(c.pipelined) {
		c.pipelined = nil
	} else {
		c.pipelined = c.pipelined[n:]
	}
	c.releaseBuffer(n)
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.recordProgressLocked(n)
	return n
}

// unread puts back bytes that were read, in front of the buffered ones.
func (c *clientConn) unread(data []byte) {
	if len(data) == 0 {
		return
	}
	c.pipelined = append(append(make([]byte, 0, len(data)+len(c.pipelined)), data...), c.pipelined...)
	c.forceBuffer(len(data))
}

// watchForDisconnect reads until the client disconnects, or until the read deadline that net/http sets when the response has been
// written. net/http calls Read with one byte while a request is open, to detect a disconnect, and stops when it gets that byte.
// If a client pipelined another request and then disconnected, net/http would not detect the disconnect, and the open request would
// be forwarded in vain. So watchForDisconnect buffers the bytes that it reads for later calls of Read, and returns none of them.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	for c.discardedBytes < maxDiscardBytes {
		n, err := c.Conn.Read(p)
		c.work.Charge(workbudget.Read + workbudget.UnwantedBytes(n))
		kept := c.reserveBuffer(min(n, maxPipelinedBytes-len(c.pipelined)))
		c.pipelined = append(c.pipelined, p[:kept]...)
		c.discardedBytes += n - kept
		if err != nil {
			c.recordClientClose(err)
			return 0, err
		}
		_ = c.work.AwaitUnwanted() // the response that is being waited for ends the connection, if needed
		if len(p) == 1 {
			p = make([]byte, discardBufferBytes)
		}
	}
	return 1, nil // net/http stops watching, and Read returns errTooMuchPipelined after the response
}

// earliestArrival returns the earliest time at which the current request, read at nowMs, can have arrived: the first one may have waited
// while the connection waited to be accepted, and each one while the reading was delayed.
func (c *clientConn) earliestArrival(nowMs float64) float64 {
	if c.delayedSinceMs != 0 {
		nowMs = min(nowMs, c.delayedSinceMs)
	}
	if c.answeredFirst {
		return nowMs
	}
	return min(nowMs, c.connectedAtMs)
}

// expectBody sets the length of the body of the request whose head has just been read; a negative length is unknown.
func (c *clientConn) expectBody(length int64) { c.bodyLeft = max(length, unknownLength) }

// recordProgressLocked records that bytes of a request have been read. It returns false if the connection has been shed. The caller holds
// tracker.mu.
func (c *clientConn) recordProgressLocked(bytes int) bool {
	if c.isShed {
		return false
	}
	if c.evictedFor != closeUnspecified {
		return true
	}
	if c.list != &c.tracker.readingConns {
		c.addToList(&c.tracker.readingConns)
		c.receivedBytes = 0
		if c.tracker.open > c.tracker.SheddingThreshold {
			c.tracker.scheduleShedding(slowRequestMs)
		}
	}
	c.receivedBytes += bytes
	return true
}

// endRequest resets what belongs to one request.
func (c *clientConn) endRequest() {
	c.answeredFirst, c.wasPipelined, c.handled, c.delayedSinceMs = true, false, false, 0
	c.account.Release(c.requestBytes)
	c.arrivalMu.Lock()
	c.hasArrived = false
	c.arrivalMu.Unlock()
	c.head, c.requestBytes, c.requestActive, c.bodyLeft = headScanner{}, 0, false, unknownLength
	c.requestBegun.Store(false)
}
