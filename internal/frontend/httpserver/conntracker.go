package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

const (
	// idleTimeoutMs is the time after the last response on a connection after which the platform allows the gateway to close
	// it. Some clients never close theirs, so idle connections are shed while more than half of MaxOpen are open.
	idleTimeoutMs = 2000
	// firstByteTimeoutMs is the time a new connection has to send something before it is closed in preference to idle ones.
	firstByteTimeoutMs = 500
	// maxClosingDivisor bounds the closed connections whose clients have not closed their side yet to MaxOpen divided by it.
	maxClosingDivisor = 16
)

// connectionsShed counts silent and idle connections that were closed because of the limits or of a shutdown.
const connectionsShed = "client_connections_shed"

// ConnTracker tracks the client connections of an http.Server and bounds their number. Over MaxOpen it sheds silent and idle
// connections, so that a client that sends a request finds its connection accepted and read. It sheds a connection only if
// nothing has been read from it since its last response: a request that has been read is served, and its connection stays
// until the response is written.
//
// The exported fields are set before use. The methods may be called from any goroutine.
type ConnTracker struct {
	// MaxOpen is the number of connections over which others are shed.
	MaxOpen int
	// MaxPipelinedBytes bounds the bytes that are buffered of what clients send while their requests are open, over all
	// connections. With 0 only the bound of each connection applies.
	MaxPipelinedBytes int
	Clock             clock.Clock
	Metrics           *metrics.Registry

	mu                sync.Mutex
	open              int // connections that are neither closed nor shed
	pipelinedBytes    int
	newConns          list.List     // of *clientConn from which nothing has been read, oldest first
	idleConns         list.List     // of *clientConn between requests, longest idle first
	closingConns      list.List     // of *clientConn whose sending side is closed, oldest first; not in open once the server knows
	sheddingScheduled bool          // a timer will call shedScheduled
	drained           chan struct{} // not nil while draining; closed once no connection is left
}

type connContextKey struct{}

// ConnContext makes the connection known to the Handler. It is for http.Server.ConnContext.
func (t *ConnTracker) ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, netConn)
}

// clientConnOf returns the connection of a request's context, or nil if it is not tracked.
func clientConnOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connContextKey{}).(*clientConn)
	return c
}

// ConnState follows the states of connections. It is for http.Server.ConnState.
func (t *ConnTracker) ConnState(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*clientConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.open++
		conn.enlist(&t.newConns)
	case http.StateIdle:
		conn.requestActive = false
		// A connection from which part of a further request has been read must not be shed.
		if !conn.isShed && len(conn.pipelined) == 0 {
			conn.enlist(&t.idleConns)
		}
	case http.StateActive:
		conn.requestActive = true
		conn.unlist()
	case http.StateClosed, http.StateHijacked:
		conn.unlist()
		if !conn.isShed { // else it has been counted already
			t.open--
		}
	}
	t.shedExcess()
}

// Count returns how many connections are open, and how many of them have a request.
func (t *ConnTracker) Count() (open, busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.open - t.idleConns.Len() - t.newConns.Len()
}

// Drain closes the connections that have no request, and from now on each other one after its response. The channel that it
// returns is closed when none is left. http.Server's own Shutdown may close a connection from which a request has just been
// read.
func (t *ConnTracker) Drain() (drained <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained = make(chan struct{})
	t.shedExcess()
	return t.drained
}

// shedExcess sheds connections until the limits are met, or all of them while draining. The caller holds t.mu.
func (t *ConnTracker) shedExcess() {
	if t.drained != nil {
		t.shedForDrain()
		return
	}
	nowMs := t.Clock.NowMs()
	if t.shedOverLimit(nowMs) {
		t.shedIdle(nowMs)
	}
}

// shedForDrain sheds all connections without a request and reports when none is left. The caller holds t.mu.
func (t *ConnTracker) shedForDrain() {
	for _, conns := range []*list.List{&t.newConns, &t.idleConns} {
		for conns.Len() > 0 {
			t.shed(oldest(conns))
		}
	}
	select {
	case <-t.drained:
	default:
		if t.open == 0 && t.closingConns.Len() == 0 {
			close(t.drained)
		}
	}
}

// shedOverLimit sheds connections down to MaxOpen: silent ones that had time to send something, then idle ones, then the
// other silent ones. It returns false if the rest all have requests; then the listener's limit keeps further ones waiting.
// The caller holds t.mu.
func (t *ConnTracker) shedOverLimit(nowMs float64) bool {
	for t.open > t.MaxOpen {
		oldestNew, idle := oldest(&t.newConns), oldest(&t.idleConns)
		switch {
		case oldestNew != nil && (nowMs-oldestNew.listedMs >= firstByteTimeoutMs || idle == nil):
			t.shed(oldestNew)
		case idle != nil:
			t.shed(idle)
		default:
			return false
		}
	}
	return true
}

// shedIdle sheds connections whose idle timeout has passed while more than half of MaxOpen are open. It schedules itself for
// the next one. The caller holds t.mu.
func (t *ConnTracker) shedIdle(nowMs float64) {
	for c := oldest(&t.idleConns); c != nil && t.open > t.MaxOpen/2; c = oldest(&t.idleConns) {
		if leftMs := idleTimeoutMs - (nowMs - c.listedMs); leftMs > 0 {
			if !t.sheddingScheduled {
				t.sheddingScheduled = true
				t.Clock.AfterFunc(leftMs, t.shedScheduled)
			}
			return
		}
		t.shed(c)
	}
}

// shedScheduled is called by the timer that shedIdle has set.
func (t *ConnTracker) shedScheduled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sheddingScheduled = false
	t.shedExcess()
}

// shed closes the sending side of a connection that has no request. The server closes it when its client sends or closes, and
// after gracefulclose.TimeoutMs at the latest. The caller holds t.mu.
func (t *ConnTracker) shed(c *clientConn) {
	c.unlist()
	c.isShed = true
	t.open--
	t.Metrics.Add(connectionsShed, 1)
	c.closeWrite()
}

// oldest returns the first connection of a list, or nil if it is empty.
func oldest(conns *list.List) *clientConn {
	if conns.Len() == 0 {
		return nil
	}
	return conns.Front().Value.(*clientConn)
}
