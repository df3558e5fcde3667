package httpserver

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/workbudget"
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

// clientConn is a client's connection that a ConnTracker tracks.
type clientConn struct {
	net.Conn
	tracker      *ConnTracker
	account      *memorybudget.Account // memory that the connection uses
	work         *workbudget.Account   // work that the connection causes
	acceptedAtMs float64
	// connectedAtMs is the earliest time at which the client can have connected: the connection may have waited to be accepted.
	connectedAtMs float64
	onClosed      func() // called when the connection has been closed; may be nil

	// arrivalMu may be acquired while tracker.mu is held, but not the other way round.
	arrivalMu  sync.Mutex
	hasArrived bool // whether bytes have been read since the last response; guarded by arrivalMu

	// Guarded by tracker.mu.

	list           *list.List // tracker.newConns, tracker.idleConns, tracker.readingConns, or nil if the connection is in none
	element        *list.Element
	listedAtMs     float64       // time at which the connection was added to list
	receivedBytes  int           // bytes of the current request that have been read
	isShed         bool          // whether the sending side was closed because the connection had no request
	evictedFor     closeReason   // why the request that is being read is rejected unread; closeUnspecified if it is not
	closingElement *list.Element // element of tracker.closingConns; nil while the sending side is open
	stopCloseTimer func()        // stops the timer that closes the connection
	closed         bool
	bufferedBytes  int // part of tracker.pipelinedBytes that belongs to this connection

	// Used only by the server's goroutines of this connection, of which one reads at a time.

	head           headScanner // the head that is being read
	wasPipelined   bool        // whether the head of the current request was sent before the last response
	handled        bool        // whether a Handler has seen the current request
	delayedSinceMs float64     // earliest time at which the current request can have arrived, as its reading was delayed; 0: it was not
	answeredFirst  bool        // whether a response has been written
	requestActive  bool        // whether a complete head has been read and the response has not been written yet
	bodyLeft       int64       // bytes of the current request's body that have not been read; unknownLength if that is not known
	requestBytes   int         // bytes that account has for the current request
	pipelined      []byte      // bytes that were read from the connection and have not been passed to the server yet
	discardedBytes int         // number of pipelined bytes that were discarded instead of buffered

	requestBegun    atomic.Bool // whether bytes of a request have been read and its head is not complete
	clientClosed    atomic.Bool // whether a read has returned the end of the client's data or a connection error
	responsePending atomic.Bool // whether a request has been accepted and has no response yet
	discardStarted  atomic.Bool // whether Close has started a goroutine that reads and discards

	reason    atomic.Uint32          // closeReason of the close
	requestID atomic.Pointer[string] // id of the last request that was read
}

// trackResponse records that a request was accepted. The handler must defer the returned function, which records that the
// response was written or that the client no longer waits for one. If the handler panics while clientWaiting returns true, the
// response stays pending, and closeLocked counts it in closedWithoutResponse.
func (c *clientConn) trackResponse(clientWaiting func() bool) (handlerDone func()) {
	c.handled = true
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
	c.awaitOwnResponse()
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
			_ = c.SetReadDeadline(time.Time{}) // fails if the connection is closed, which the next read reports
			c.discardUntilClosed()
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
	c.removeFromList() // the server reports the end of the connection later, and nothing can be gained from it any more
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
	c.account.Close()
	c.work.Close()
	c.tracker.closingConns.Remove(c.closingElement)
	c.stopCloseTimer()
	c.reportClose()
	c.Conn.Close()
	if c.onClosed != nil {
		c.onClosed()
	}
}

// removeFromList removes the connection from its list, if it is in one. The caller holds
// tracker.mu.
func (c *clientConn) removeFromList() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// addToList moves the connection to the end of one of the tracker's lists. The caller holds tracker.mu.
func (c *clientConn) addToList(conns *list.List) {
	c.removeFromList()
	c.list, c.element, c.listedAtMs = conns, conns.PushBack(c), c.tracker.Clock.NowMs()
}
