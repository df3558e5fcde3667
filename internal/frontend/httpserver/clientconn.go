package httpserver

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/httpmessage"
)

const (
	// MaxHeaderBytes is the limit of the head of a request, in bytes, for http.Server.MaxHeaderBytes.
	MaxHeaderBytes = 16 << 10
	// maxPipelinedBytes bounds what is buffered of the bytes that a client sends while its request is open: one more request
	// of the largest size. What exceeds it is discarded, and the connection ends after the response.
	maxPipelinedBytes = MaxHeaderBytes + httpmessage.MaxBodyBytes
	// maxDiscardBytes is how much of that excess is read.
	maxDiscardBytes = 1 << 20
	// discardBufferBytes is the size of reads while a request is open, after the first.
	discardBufferBytes = 4 << 10
)

// closedWithoutResponse counts connections that this program closed under a request that was accepted and not answered, with
// the client still there. It must stay 0.
const closedWithoutResponse = "rule_violations_closed_without_response"

var errTooMuchPipelined = errors.New("httpserver: more requests sent at once than are buffered")

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	tracker  *ConnTracker
	onClosed func() // called once it is closed; may be nil

	// Guarded by tracker.mu.

	list           *list.List // the tracker's newConns or idleConns; nil if it is in neither
	element        *list.Element
	listedMs       float64 // when it entered the list
	isShed         bool
	closingElement *list.Element // in tracker.closingConns, once the sending side is closed
	stopCloseTimer func()        // stops the timer that closes it
	closed         bool
	bufferedBytes  int // its part of tracker.pipelinedBytes

	// Owned by the server's goroutines of this connection, of which one reads at a time.

	requestActive  bool   // a complete head has been read, and its request is not answered yet
	pipelined      []byte // read while a request was open, and not passed to the server yet
	discardedBytes int    // read in excess of maxPipelinedBytes

	clientEnded     atomic.Bool // the client's end has been read
	responsePending atomic.Bool // a request has been accepted and is not answered
	discarding      atomic.Bool // what still arrives is being read and discarded
}

// trackResponse records that a request was accepted. The function that it returns must be deferred: when the handler returns,
// the request has been answered, unless the handler panics while the client waits.
func (c *clientConn) trackResponse(clientWaits func() bool) (handlerDone func()) {
	c.responsePending.Store(true)
	return func() {
		p := recover()
		if p == nil || !clientWaits() {
			c.responsePending.Store(false)
		}
		if p != nil {
			panic(p)
		}
	}
}

// wasShed reports whether the connection was shed before its request was accepted. The server may have read that request
// together with the one before, without another call of Read.
func (c *clientConn) wasShed() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.isShed
}

// Read returns net.ErrClosed for a request that is read while its connection is shed: net/http calls a connection active only
// once a complete head has arrived, so one that is being read looks idle. The client sees its connection closed and sends the
// request again, so it must not be accepted here.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.discardedBytes > 0 && !c.requestActive {
		return 0, errTooMuchPipelined
	}
	if c.requestActive && len(p) == 1 {
		return c.watchForDisconnect(p)
	}
	n, err := c.readPipelined(p)
	if n == 0 {
		c.noteReadEnd(err)
		return n, err
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.isShed {
		return 0, net.ErrClosed
	}
	c.unlist()
	return n, err
}

// readPipelined reads from the pipelined bytes, or from the connection if there are none.
func (c *clientConn) readPipelined(p []byte) (int, error) {
	if len(c.pipelined) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.pipelined)
	if n == len(c.pipelined) {
		c.pipelined = nil
	} else {
		c.pipelined = c.pipelined[n:]
	}
	c.reserveBuffer(-n)
	return n, nil
}

// watchForDisconnect waits for the client to disconnect while its request is open. net/http reads one byte for that and stops
// watching once it gets one. It would not notice a client that pipelines another request and then disconnects, and the open
// request would be forwarded in vain. So what arrives is buffered for later reads, and the watch goes on until the client
// disconnects, or until the deadline that net/http sets when the request has been answered.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	for c.discardedBytes < maxDiscardBytes {
		n, err := c.Conn.Read(p)
		kept := c.reserveBuffer(min(n, maxPipelinedBytes-len(c.pipelined)))
		c.pipelined = append(c.pipelined, p[:kept]...)
		c.discardedBytes += n - kept
		if err != nil {
			c.noteReadEnd(err)
			return 0, err
		}
		if len(p) == 1 {
			p = make([]byte, discardBufferBytes)
		}
	}
	return 1, nil // the connection is neither watched nor read any more
}

// reserveBuffer adds n to the bytes that are buffered, as far as the limit allows, and returns how many it added. A negative
// n releases bytes.
func (c *clientConn) reserveBuffer(n int) int {
	tracker := c.tracker
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if c.closed { // all bytes have been released
		return 0
	}
	if tracker.MaxPipelinedBytes > 0 {
		n = min(n, max(0, tracker.MaxPipelinedBytes-tracker.pipelinedBytes))
	}
	c.bufferedBytes += n
	tracker.pipelinedBytes += n
	return n
}

// noteReadEnd records that the client has closed its side or reset the connection. A read that ends by its deadline does not
// show that.
func (c *clientConn) noteReadEnd(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.clientEnded.Store(true)
	}
}

// Close closes the sending side, reads on until the client has closed its own, for gracefulclose.TimeoutMs at most, and
// closes the connection. It does not wait for that. If the connection were closed over unread bytes it would be reset, and a
// client that has not received the last response would lose it: bytes may arrive in that very moment, and often follow a
// malformed request.
func (c *clientConn) Close() error {
	c.tracker.mu.Lock()
	c.closeWrite()
	c.tracker.mu.Unlock()
	if c.clientEnded.Load() {
		c.finishClose()
	} else if !c.discarding.Swap(true) {
		// It ends with the connection, which the timer that closeWrite has set closes at the latest.
		go func() {
			c.SetReadDeadline(time.Time{})
			_, _ = io.Copy(io.Discard, c.Conn) // any error ends the wait, as the client's end does
			c.finishClose()
		}()
	}
	return nil
}

// closeWrite closes the sending side and schedules the close of the connection. If too many connections wait for their clients
// to close, it closes the oldest of them, unless all connections are being drained. The caller holds tracker.mu.
func (c *clientConn) closeWrite() {
	if c.closingElement != nil {
		return
	}
	tracker := c.tracker
	c.closingElement = tracker.closingConns.PushBack(c)
	c.stopCloseTimer = tracker.Clock.AfterFunc(gracefulclose.TimeoutMs, c.finishClose)
	if !gracefulclose.CloseWrite(c.Conn) {
		c.closeLocked()
	}
	if tracker.drained == nil && tracker.closingConns.Len() > max(1, tracker.MaxOpen/maxClosingDivisor) {
		oldest(&tracker.closingConns).closeLocked()
	}
}

// finishClose closes the connection, after which others may have to be shed.
func (c *clientConn) finishClose() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.closeLocked()
	c.tracker.shedExcess()
}

// closeLocked closes the connection, once. Its sending side is closed already. The caller holds tracker.mu.
func (c *clientConn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	if c.responsePending.Load() && !c.clientEnded.Load() {
		c.tracker.Metrics.Add(closedWithoutResponse, 1)
	}
	c.tracker.pipelinedBytes -= c.bufferedBytes
	c.tracker.closingConns.Remove(c.closingElement)
	c.stopCloseTimer()
	c.Conn.Close()
	if c.onClosed != nil {
		c.onClosed()
	}
}

// unlist removes the connection from the tracker's list that it is in, if any. The caller holds tracker.mu.
func (c *clientConn) unlist() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// enlist moves the connection to the end of one of the tracker's lists. The caller holds tracker.mu.
func (c *clientConn) enlist(conns *list.List) {
	c.unlist()
	c.list, c.element, c.listedMs = conns, conns.PushBack(c), c.tracker.Clock.NowMs()
}
