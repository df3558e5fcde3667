package coapserver

import (
	"net"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/lifecycle"
)

// conn is the connection of a device. One goroutine runs serve; while messages are queued another one runs writeLoop.
type conn struct {
	server  *Server
	netConn net.Conn

	// These belong to the goroutine of serve.
	buf         []byte
	buffered    int       // bytes in buf
	frameStart  time.Time // when the present frame began to arrive; before the CSM: when the device connected
	csmReceived bool
	device      string               // name of the device; "" until a request has given it
	linkSample  lifecycle.LinkSample // measured since the last request
	// sentAfter is a time before which no message that is still to be read can have been sent: when the device connected,
	// or when the last Ping that it has answered was sent.
	sentAfter time.Time

	mu                 sync.Mutex
	queueShrunk        sync.Cond // on mu: queue has become shorter, or the connection is closed
	lastReadAt         time.Time
	queue              []outgoing
	writing            bool // writeLoop is running
	closed             bool
	released           bool // a Release has been sent
	closingWhenIdle    bool
	pending            map[string]*pendingRequest // by token
	pingSentAt         time.Time                  // of the Ping without a Pong yet; zero: there is none
	peerMaxMessageSize int
	peerBlockwise      bool // the device supports block-wise transfer
	idleTimeout        time.Duration
	preferredBlockSize int // bytes that suit the measured link; 0: not known
}

// newConn returns a connection that serve has yet to be called for.
func newConn(s *Server, netConn net.Conn) *conn {
	now := time.Now()
	c := &conn{
		server:             s,
		netConn:            netConn,
		buf:                make([]byte, idleBufferSize),
		frameStart:         now,
		sentAfter:          now,
		lastReadAt:         now,
		pending:            map[string]*pendingRequest{},
		peerMaxMessageSize: coapwire.DefaultMaxMessageSize,
		idleTimeout:        s.MaxIdleTimeout,
	}
	c.queueShrunk.L = &c.mu
	return c
}

// sendCSM sends the first message of this side (RFC 8323, 5.3).
func (c *conn) sendCSM() {
	c.send(message.Message{Code: codes.CSM, Options: message.Options{
		coapwire.UintOption(message.TCPMaxMessageSize, uint32(c.server.MaxMessageSize)),
		{ID: message.TCPBlockWiseTransfer},
		{ID: coapwire.OptGatewayName, Value: []byte(c.server.GatewayName)},
	}})
}

// release asks the device to use another gateway after its pending requests have their responses (RFC 8323, 5.5).
func (c *conn) release() {
	c.mu.Lock()
	alreadyReleased := c.released
	c.released = true
	c.mu.Unlock()
	if alreadyReleased {
		return
	}
	c.send(message.Message{Code: codes.Release, Options: message.Options{
		coapwire.UintOption(message.TCPHoldOff, uint32(c.server.HoldOff/time.Second)),
	}})
}

// closeWhenIdle closes the connection after its pending requests have their responses.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingWhenIdle = true
	c.closeIfIdle()
}

// closeIfIdle closes the connection if closeWhenIdle has been called and nothing is left to do. The caller holds c.mu.
func (c *conn) closeIfIdle() {
	if c.closingWhenIdle && len(c.pending) == 0 && len(c.queue) == 0 && !c.writing {
		go c.close() // it locks c.mu
	}
}

// idleSince returns when the last byte arrived, and whether the connection is open with nothing pending or queued.
func (c *conn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadAt, len(c.pending) == 0 && len(c.queue) == 0 && !c.closed
}

// close ends the sending direction and leaves it to serve to end the connection. Pending requests and responses that
// nobody can read any more are canceled. Calls after the first do nothing.
func (c *conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	canceled := c.pending
	c.pending = map[string]*pendingRequest{}
	for _, item := range c.queue {
		if item.pending != nil {
			canceled[string(item.pending.token)] = item.pending
		}
	}
	c.queue = nil
	c.queueShrunk.Broadcast()
	if !gracefulclose.CloseWrite(c.netConn) {
		c.netConn.Close()
	}
	c.netConn.SetReadDeadline(time.Now().Add(gracefulclose.TimeoutMs * time.Millisecond))
	c.mu.Unlock()
	for _, p := range canceled {
		p.stopTimer()
		c.server.Loop.Cancel(p.request)
	}
}

// closeNow closes the connection without waiting for the device.
func (c *conn) closeNow() {
	c.close()
	c.netConn.Close()
}
