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
	// MaxHeaderBytes is the maximum size of a request's head, in bytes. It is meant for http.Server.MaxHeaderBytes.
	MaxHeaderBytes = 16 << 10
	// maxPipelinedBytes limits the pipelined bytes that are buffered for a connection to one request of the maximum size. Bytes
	// beyond the limit are discarded, and the connection is closed after the response to the open request.
	maxPipelinedBytes = MaxHeaderBytes + httpmessage.MaxBodyBytes
	// maxDiscardBytes limits how many pipelined bytes of a connection are read and discarded. After that, reading stops and no
	// longer detects a disconnect of the client.
	maxDiscardBytes = 1 << 20
	// discardBufferBytes is the size of the buffer for further reads while a request is open. The first read uses the one-byte
	// buffer of net/http.
	discardBufferBytes = 4 << 10
)

// closedWithoutResponse counts connections that the gateway closed without a response to an accepted request although the client
// was still connected. It must stay 0.
const closedWithoutResponse = "rule_violations_closed_without_response"

var errTooMuchPipelined = errors.New("httpserver: the client sent more pipelined bytes than the gateway buffers")

// clientConn is a client's connection that a ConnTracker tracks.
type clientConn struct {
	net.Conn
	tracker  *ConnTracker
	onClosed func() // called when the connection has been closed; may be nil

	// Guarded by tracker.mu.

	list           *list.List // tracker.newConns, tracker.idleConns, or nil if the connection is in neither
	element        *list.Element
	listedAtMs     float64 // time at which the connection was added to list
	isShed         bool
	closingElement *list.Element // element of tracker.closingConns; nil while the sending side is open
	stopCloseTimer func()        // stops the timer that closes the connection
	closed         bool
	bufferedBytes  int // part of tracker.pipelinedBytes that belongs to this connection

	// Used only by the server's goroutines of this connection, of which one reads at a time.

	requestBegun   bool   // whether bytes of a request have been read and its head is not complete
	requestActive  bool   // whether a complete head has been read and the response has not been written yet
	pipelined      []byte // bytes that were read while a request was open and have not been passed to the server yet
	discardedBytes int    // number of pipelined bytes that were discarded instead of buffered

	clientClosed    atomic.Bool // whether a read has returned the end of the client's data or a connection error
	responsePending atomic.Bool // whether a request has been accepted and has no response yet
	discardStarted  atomic.Bool // whether Close has started a goroutine that reads and discards

	acceptedAtMs float64
	reason       atomic.Uint32          // closeReason of the close
	requestID    atomic.Pointer[string] // id of the last request that was read
}

// trackResponse records that a request was accepted. The handler must defer the returned function, which records that the
// response was written or that the client no longer waits for one. If the handler panics while clientWaiting returns true, the
// response stays pending, and closeLocked counts it in closedWithoutResponse.
func (c *clientConn) trackResponse(clientWaiting func() bool) (handlerDone func()) {
	c.responsePending.Store(true)
	return func() {
		panicValue := recover()
		if panicValue == nil || !clientWaiting() {
			c.responsePending.Store(false)
		}
		if panicValue != nil {
			panic(panicValue)
		}
	}
}

// wasShed reports whether the connection has been shed. The handler must check it before it accepts a request: the server may
// have read the request together with the previous one, so that Read could not refuse it.
func (c *clientConn) wasShed() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.isShed
}

// Read returns net.ErrClosed if the connection was shed while a request was being read from it. That can happen because net/http
// reports a connection as active only when a complete head has arrived, so the tracker regards the connection as new or idle until
// Read removes it from its list. The client sees the connection closed and sends the request again, so the request must not be
// accepted here. Read returns errTooMuchPipelined if pipelined bytes were discarded while the last request was open.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.discardedBytes > 0 && !c.requestActive {
		c.noteReason(closeTooMuchPipelined)
		return 0, errTooMuchPipelined
	}
	if c.requestActive && len(p) == 1 {
		return c.watchForDisconnect(p)
	}
	n, err := c.readPipelined(p)
	if n == 0 {
		c.recordClientClose(err)
		c.noteReadError(err)
		return n, err
	}
	c.requestBegun = !c.requestActive
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.isShed {
		return 0, net.ErrClosed
	}
	c.removeFromList()
	return n, err
}

// readPipelined reads from the buffered pipelined bytes, or from the connection if none are buffered.
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

// watchForDisconnect reads until the client disconnects, or until the read deadline that net/http sets when the response has been
// written. net/http calls Read with one byte while a request is open, to detect a disconnect, and stops when it gets that byte.
// If a client pipelined another request and then disconnected, net/http would not detect the disconnect, and the open request would
// be forwarded in vain. So watchForDisconnect buffers the bytes that it reads for later calls of Read, and returns none of them.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	for c.discardedBytes < maxDiscardBytes {
		n, err := c.Conn.Read(p)
		kept := c.reserveBuffer(min(n, maxPipelinedBytes-len(c.pipelined)))
		c.pipelined = append(c.pipelined, p[:kept]...)
		c.discardedBytes += n - kept
		if err != nil {
			c.recordClientClose(err)
			return 0, err
		}
		if len(p) == 1 {
			p = make([]byte, discardBufferBytes)
		}
	}
	return 1, nil // net/http stops watching, and Read returns errTooMuchPipelined after the response
}

// reserveBuffer adds n, or as much of it as tracker.MaxPipelinedBytes allows, to the counts of buffered bytes, and returns what it
// added. A negative n releases bytes.
func (c *clientConn) reserveBuffer(n int) int {
	tracker := c.tracker
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if c.closed { // closeLocked has released all bytes of the connection
		return 0
	}
	if tracker.MaxPipelinedBytes > 0 {
		n = min(n, max(0, tracker.MaxPipelinedBytes-tracker.pipelinedBytes))
	}
	c.bufferedBytes += n
	tracker.pipelinedBytes += n
	return n
}

// recordClientClose records that the client has closed its side or reset the connection if the error of a read shows that. An
// expired read deadline does not.
func (c *clientConn) recordClientClose(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.clientClosed.Store(true)
		c.noteReadError(err)
	}
}

// Write records that a response could not be written. net/http then closes the connection while the handler still writes: the client has
// disconnected or does not read, so that it has not been left without a response.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.recordClientClose(err)
		c.noteReason(closeWriteFailed)
		c.responsePending.Store(false)
	}
	return n, err
}

// Close closes the sending side and returns. In the background, the connection is read until the client has closed its own side,
// but for at most gracefulclose.TimeoutMs, and is then closed. The kernel resets a connection that is closed with unread bytes,
// and a client that has not yet received the last response would lose it. Unread bytes often follow a malformed request, and
// further bytes may arrive at any moment.
func (c *clientConn) Close() error {
	c.noteServerClose()
	c.tracker.mu.Lock()
	c.closeWrite()
	c.tracker.mu.Unlock()
	if c.clientClosed.Load() {
		c.finishClose()
	} else if !c.discardStarted.Swap(true) {
		// The goroutine ends when the connection is closed, at the latest by the timer that closeWrite has set.
		go func() {
			c.SetReadDeadline(time.Time{})
			_, _ = io.Copy(io.Discard, c.Conn) // an error ends the wait just as EOF does
			c.finishClose()
		}()
	}
	return nil
}

// closeWrite closes the sending side and sets a timer that closes the connection. If too many connections wait for their clients
// to close, it closes the oldest of them, unless the tracker is draining. The caller holds tracker.mu.
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
	if tracker.drained == nil && tracker.closingConns.Len() > max(1, tracker.SheddingThreshold/closingLimitDivisor) {
		longestClosing := oldest(&tracker.closingConns)
		longestClosing.noteReason(closeTooManyClosing)
		longestClosing.closeLocked()
	}
}

// finishClose closes the connection and updates the tracker, which may then shed other connections.
func (c *clientConn) finishClose() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.closeLocked()
	c.tracker.shedExcess()
}

// closeLocked closes a connection that closeWrite has added to tracker.closingConns. Further calls have no effect. The caller holds
// tracker.mu.
func (c *clientConn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	if c.responsePending.Load() && !c.clientClosed.Load() {
		c.tracker.Metrics.Add(closedWithoutResponse, 1)
	}
	c.tracker.pipelinedBytes -= c.bufferedBytes
	c.tracker.closingConns.Remove(c.closingElement)
	c.stopCloseTimer()
	c.reportClose()
	c.Conn.Close()
	if c.onClosed != nil {
		c.onClosed()
	}
}

// removeFromList removes the connection from tracker.newConns or tracker.idleConns, if it is in one of them. The caller holds
// tracker.mu.
func (c *clientConn) removeFromList() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// addToList moves the connection to the end of tracker.newConns or tracker.idleConns. The caller holds tracker.mu.
func (c *clientConn) addToList(conns *list.List) {
	c.removeFromList()
	c.list, c.element, c.listedAtMs = conns, conns.PushBack(c), c.tracker.Clock.NowMs()
}
