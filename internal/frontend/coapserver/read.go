package coapserver

import (
	"errors"
	"os"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/workbudget"
)

const (
	// idleBufferSize is the size in bytes of the read buffer of a connection without an incomplete frame. Only frames of
	// at least this size are used to measure the throughput of a link.
	idleBufferSize = 512
	// firstNonRequestCode is the lowest message code above those of requests (RFC 7252, 12.1).
	firstNonRequestCode codes.Code = 32
)

// Protocol errors. They are sent to devices in an Abort message, so their texts have no package prefix.
var (
	errMessageTooLarge    = errors.New("a message over the size that this side told")
	errNoCSM              = errors.New("the first message must be a CSM")
	errUnexpectedResponse = errors.New("a response to no request")
	errTooMuchWork        = errors.New("more messages than this side handles")
	errTokenInUse         = errors.New("a token that is in use")
)

// serve reads and handles messages until the connection ends.
func (c *conn) serve() {
	// A plain close with unread bytes in the socket would reset the connection, and the device could lose the last message.
	defer gracefulclose.Close(c.netConn)
	defer c.close()
	for c.setReadDeadline() {
		if !c.work.AwaitRead() {
			c.server.Metrics.Add(connectionsTooMuchWork, 1)
			c.abort(errTooMuchWork)
			return
		}
		count, readErr := c.netConn.Read(c.buf[c.buffered:])
		now := time.Now()
		c.work.Charge(workbudget.Read + workbudget.Bytes(count))
		if count > 0 {
			c.recordRead(count, now)
			if err := c.handleFrames(now); err != nil {
				c.abort(err)
				return
			}
		}
		if readErr != nil && !c.handleReadError(readErr, now) {
			return
		}
	}
}

// handleReadError reports whether reading continues after an error. It does if the error is an expired deadline and the device
// is not considered lost.
func (c *conn) handleReadError(err error, now time.Time) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		if c.buffered > 0 {
			c.server.Metrics.Add(messagesTruncated, 1)
		}
		return false
	}
	if counter := c.handleReadTimeout(now); counter != "" {
		c.server.Metrics.Add(counter, 1)
		return false
	}
	return true
}

// setReadDeadline sets the deadline of the next read. It returns false if the connection has been closed.
func (c *conn) setReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.netConn.SetReadDeadline(c.readDeadline())
	}
	return !c.closed
}

// readDeadline returns the time by which the next bytes must arrive; otherwise handleReadTimeout is called. The caller holds
// c.mu.
func (c *conn) readDeadline() time.Time {
	switch {
	case !c.csmReceived:
		return c.frameStart.Add(c.server.FirstMessageTimeout) // a fixed deadline, which bytes that arrive one by one do not extend
	case !c.pingSentAt.IsZero():
		return c.pingSentAt.Add(c.idleTimeout)
	case c.buffered > 0:
		return c.lastReadAt.Add(c.idleTimeout)
	case len(c.pending) > 0:
		return c.lastReadAt.Add(c.idleTimeout / 2)
	}
	return c.lastReadAt.Add(c.server.KeepaliveTime)
}

// handleReadTimeout handles an expired read deadline. If the connection is considered lost, it returns the name of the counter
// to increment. Otherwise it returns "". In that case it has sent a Ping, unless the deadline has been extended in the meantime.
func (c *conn) handleReadTimeout(now time.Time) (counter string) {
	c.mu.Lock()
	early := now.Before(c.readDeadline()) // the deadline has been extended since it was set
	pingPending := !c.pingSentAt.IsZero()
	c.mu.Unlock()
	switch {
	case early:
		return ""
	case !c.csmReceived:
		return connectionsCSMTimeout
	case pingPending || c.buffered > 0:
		return connectionsIdleTimeout
	}
	c.ping(now)
	return ""
}

// recordRead updates the number of buffered bytes and the link measurements after count bytes have been read.
func (c *conn) recordRead(count int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buffered > 0 {
		c.linkSample.MaxGapMs = max(c.linkSample.MaxGapMs, clock.Ms(now.Sub(c.lastReadAt)))
	} else if c.csmReceived {
		c.frameStart = now
	}
	c.buffered += count
	c.lastReadAt = now
	c.heardAt.Store(now.UnixNano())
}

// handleFrames handles the complete frames in the buffer and keeps an incomplete one that follows them. If it returns an error,
// the caller ends the connection with an Abort.
func (c *conn) handleFrames(now time.Time) error {
	offset := 0
	for offset < c.buffered {
		length, err := coapwire.FrameLength(c.buf[offset:c.buffered])
		if err != nil {
			return err
		}
		if length > c.server.MaxMessageSize {
			return errMessageTooLarge
		}
		if length == 0 || length > c.buffered-offset {
			return c.keepIncompleteFrame(offset, length, now)
		}
		if offset > 0 && !c.work.AwaitRead() { // the first frame has waited before it was read
			c.server.Metrics.Add(connectionsTooMuchWork, 1)
			return errTooMuchWork
		}
		if err := c.handleFrame(c.buf[offset:offset+length], now); err != nil {
			return err
		}
		offset += length
		c.frameStart = now
	}
	c.buffered = 0
	c.recordIncomplete(0, now)
	return c.resizeBuffer(0)
}

// keepIncompleteFrame moves the incomplete frame at offset to the start of the buffer. length is the length of the complete
// frame, or 0 if it is not known yet.
func (c *conn) keepIncompleteFrame(offset, length int, now time.Time) error {
	c.buffered = copy(c.buf, c.buf[offset:c.buffered])
	if offset > 0 {
		c.frameStart = now
	}
	c.recordIncomplete(c.buffered, c.frameStart)
	return c.resizeBuffer(length)
}

// resizeBuffer makes room for a frame of the given length. If the length is not known yet (0), it doubles a full buffer. It
// shrinks the buffer when nothing is buffered. It returns errNoMemory if there is no memory for the frame.
func (c *conn) resizeBuffer(frameLength int) error {
	size := idleBufferSize
	if frameLength > size {
		size = frameLength
	} else if c.buffered == len(c.buf) {
		size = 2 * c.buffered
	}
	mustGrow := size > len(c.buf)
	canShrink := len(c.buf) > idleBufferSize && c.buffered == 0 && frameLength == 0
	if mustGrow || canShrink {
		return c.setBuffer(size)
	}
	return nil
}

// handleFrame decodes and handles one complete frame.
func (c *conn) handleFrame(frame []byte, now time.Time) error {
	c.work.Charge(workbudget.Request)
	m, err := coapwire.Decode(frame)
	if err != nil {
		return err
	}
	if len(frame) >= idleBufferSize {
		c.linkSample.Bytes, c.linkSample.TransferMs = len(frame), clock.Ms(now.Sub(c.frameStart))
	}
	return c.handleMessage(m, now)
}

// handleMessage handles one message. If it returns an error, the caller ends the connection with an Abort.
func (c *conn) handleMessage(m *message.Message, now time.Time) error {
	if !c.csmReceived && m.Code != codes.CSM {
		return errNoCSM
	}
	switch m.Code {
	case codes.CSM, codes.Ping, codes.Pong, codes.Release, codes.Abort:
		return c.handleSignal(m, now)
	case codes.Empty:
		return nil
	}
	if m.Code >= firstNonRequestCode {
		return errUnexpectedResponse
	}
	pendingCount, tokenInUse := c.awaitQueueSpace(m.Token)
	if tokenInUse {
		return errTokenInUse
	}
	if pendingCount >= c.server.MaxPendingRequests {
		c.rejectOverLimit(m)
		return nil
	}
	if err := c.handleRequest(m, now); err != nil {
		c.rejectMalformed(m.Token, err)
	}
	return nil
}

// awaitQueueSpace waits while too many messages are queued, so that a device that does not read its responses cannot send
// more requests. It returns the number of pending requests and whether one of them has the token.
func (c *conn) awaitQueueSpace(token message.Token) (pendingCount int, tokenInUse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxQueuedMessages && !c.closed {
		c.queueShrunk.Wait()
	}
	return len(c.pending), c.pending[string(token)] != nil
}
