package coapserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/workbudget"
)

// conn is the connection of a device. One goroutine runs serve. A second one runs writeLoop while messages are queued.
type conn struct {
	server  *Server
	netConn net.Conn
	account *memorybudget.Account
	work    *workbudget.Account
	// heardAt is the time of the last bytes from the device, in nanoseconds since 1970.
	heardAt atomic.Int64
	// ctx ends when the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// The fields of this block are used only by the goroutine that runs serve.
	buf         []byte
	buffered    int       // number of bytes in buf that have been read
	frameStart  time.Time // time at which the current frame began to arrive; before the CSM: time at which the device connected
	csmReceived bool
	device      string               // name of the device; "" until a request has stated it
	linkSample  lifecycle.LinkSample // link measurements since the last request
	// earliestSendTime is the earliest time at which the device can have sent a message that is not read yet: when the device
	// connected, or when the server sent the last Ping that the device has answered. (Messages arrive in order, so an unread message
	// was sent after the Pong.)
	earliestSendTime time.Time

	mu                 sync.Mutex
	incompleteBytes    int       // buffered bytes of an incomplete frame
	incompleteSince    time.Time // time at which that frame began to arrive
	queueShrunk        sync.Cond // uses mu; signaled when queue becomes shorter or the connection is closed
	lastReadAt         time.Time
	queue              []outgoingMessage
	writeLoopRunning   bool
	closed             bool
	released           bool // whether a Release has been queued
	closingWhenIdle    bool
	pending            map[string]*pendingRequest // requests without a response, by token
	pingSentAt         time.Time                  // when the unanswered Ping was queued; zero: no Ping is unanswered
	peerMaxMessageSize int                        // bytes; Max-Message-Size of the device
	peerBlockwise      bool                       // whether the device supports block-wise transfer
	idleTimeout        time.Duration
	preferredBlockSize int // block size in bytes that suits the measured link; 0: not known
}

// newConn returns a connection. The caller must run serve on it.
func newConn(s *Server, netConn net.Conn) *conn {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server:             s,
		ctx:                ctx,
		cancel:             cancel,
		netConn:            netConn,
		account:            s.Memory.NewAccount(),
		buf:                make([]byte, idleBufferSize),
		frameStart:         now,
		earliestSendTime:   now,
		lastReadAt:         now,
		pending:            map[string]*pendingRequest{},
		peerMaxMessageSize: coapwire.DefaultMaxMessageSize,
		idleTimeout:        s.MaxIdleTimeout,
	}
	c.queueShrunk.L = &c.mu
	c.heardAt.Store(now.UnixNano())
	return c
}

// lastHeard returns the time of the last bytes from the device. It acquires no lock.
func (c *conn) lastHeard() time.Time { return time.Unix(0, c.heardAt.Load()) }

// sendCSM sends the server's CSM, which must be the first message that the server sends (RFC 8323, 5.3).
func (c *conn) sendCSM() {
	c.send(message.Message{Code: codes.CSM, Options: message.Options{
		coapwire.UintOption(message.TCPMaxMessageSize, uint32(c.server.MaxMessageSize)),
		{ID: message.TCPBlockWiseTransfer},
		{ID: coapwire.OptGatewayName, Value: []byte(c.server.GatewayName)},
	}})
}

// release asks the device to use another gateway once its pending requests have been answered (RFC 8323, 5.5).
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

// closeWhenIdle closes the connection once its pending requests have been answered.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingWhenIdle = true
	c.closeIfIdle()
}

// closeIfIdle closes the connection if closeWhenIdle has been called and no request or message is left. The caller holds c.mu.
func (c *conn) closeIfIdle() {
	if c.closingWhenIdle && len(c.pending) == 0 && len(c.queue) == 0 && !c.writeLoopRunning {
		go c.close() // close locks c.mu, which the caller holds
	}
}

// idleSince returns when the last byte arrived and whether the connection is idle: open, without pending requests and without messages that
// are queued or being written.
func (c *conn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadAt, len(c.pending) == 0 && len(c.queue) == 0 && !c.writeLoopRunning && !c.closed
}

// close shuts down the sending direction; serve then ends the connection. Pending requests and requests with a queued response
// are canceled, since the device can no longer receive a response. Only the first call has an effect.
func (c *conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.cancel()
	var canceled []*pendingRequest
	for _, p := range c.pending {
		canceled = append(canceled, p)
	}
	c.pending = map[string]*pendingRequest{}
	for _, item := range c.queue {
		if item.response != nil {
			canceled = append(canceled, item.response.pending)
			item.response.release()
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
