package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
)

const (
	// idleTimeoutMs is how long, in milliseconds, a connection must have been idle before the platform allows the gateway to
	// close it. Some clients never close their connections, so connections that have been idle for this long are shed while
	// the number of open connections is above half of SheddingThreshold.
	idleTimeoutMs = 2000
	// firstByteTimeoutMs is how long, in milliseconds, a new connection may send nothing before it is shed in preference to
	// idle connections. This shedding happens only while the number of open connections is above SheddingThreshold.
	firstByteTimeoutMs = 500
	// closingLimitDivisor limits the number of connections that wait for their clients to close: it is at most
	// SheddingThreshold / closingLimitDivisor, or 1 if that is less than 1.
	closingLimitDivisor = 16
)

// connectionsShed counts new and idle connections that were shed because of SheddingThreshold, the idle timeout or a shutdown.
const connectionsShed = "client_connections_shed"

// ConnTracker tracks the client connections of an http.Server. While the number of open connections is above SheddingThreshold,
// it sheds new and idle ones, so that the connections of clients that send requests can be accepted and read. It sheds a
// connection only if nothing has been read from it since its last response: a request that has been read is served, and its
// connection stays open until the response is written. The number of open connections can therefore stay above SheddingThreshold.
//
// The exported fields are set before use. The methods may be called from any goroutine.
type ConnTracker struct {
	// SheddingThreshold is the number of open connections above which new and idle ones are shed at once. Above half of it,
	// connections that have been idle for idleTimeoutMs are shed.
	SheddingThreshold int
	// MaxPipelinedBytes limits the pipelined bytes that are buffered for all connections together. 0 means that only the limit
	// of each connection applies.
	MaxPipelinedBytes int
	Clock             clock.Clock
	Metrics           *metrics.Registry

	closeEvents logevent.Limiter

	mu             sync.Mutex
	open           int       // number of connections that are neither closed nor shed
	pipelinedBytes int       // number of pipelined bytes that are buffered for all connections together
	newConns       list.List // *clientConn from which nothing has been read, oldest first
	idleConns      list.List // *clientConn between two requests, longest idle first
	// closingConns holds each *clientConn whose sending side is closed, oldest first. Those that were not shed are still counted
	// in open until the server reports StateClosed.
	closingConns      list.List
	sheddingScheduled bool          // whether a timer is set to call shedScheduled
	drained           chan struct{} // nil unless draining; closed when no connection is left
}

type connContextKey struct{}

// ConnContext passes the connection to the Handler in the context of its requests. It is meant for http.Server.ConnContext.
func (t *ConnTracker) ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, netConn)
}

// clientConnOf returns the connection that ConnContext stored in a request's context, or nil if the connection is not tracked.
func clientConnOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connContextKey{}).(*clientConn)
	return c
}

// ConnState updates the state of a connection. It is meant for http.Server.ConnState.
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
		conn.addToList(&t.newConns)
	case http.StateIdle:
		conn.requestActive = false
		// A connection from which part of a further request has been read must not be shed.
		if !conn.isShed && len(conn.pipelined) == 0 {
			conn.addToList(&t.idleConns)
		}
	case http.StateActive:
		conn.requestActive, conn.requestBegun = true, false
		conn.removeFromList()
	case http.StateClosed, http.StateHijacked:
		conn.removeFromList()
		if !conn.isShed { // shed has already subtracted it from open
			t.open--
		}
	}
	t.shedExcess()
}

// Count returns the number of open connections, and how many of them are busy: a request, or a part of one, has been read from
// them and its response has not been written yet.
func (t *ConnTracker) Count() (open, busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.open - t.idleConns.Len() - t.newConns.Len()
}

// Drain sheds the connections that have no request now, and each other connection after its response. It returns a channel that
// is closed when no connection is left. http.Server.Shutdown can't replace Drain, because Shutdown may close a connection from
// which a request has just been read.
func (t *ConnTracker) Drain() (drained <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained = make(chan struct{})
	t.shedExcess()
	return t.drained
}

// shedExcess sheds the new and idle connections that SheddingThreshold and the idle timeout do not allow. While draining, it sheds
// all connections that have no request. The caller holds t.mu.
func (t *ConnTracker) shedExcess() {
	if t.drained != nil {
		t.shedForDrain()
		return
	}
	nowMs := t.Clock.NowMs()
	if t.shedAboveThreshold(nowMs) {
		t.shedIdle(nowMs)
	}
}

// shedForDrain sheds all connections without a request, and closes t.drained if no connection is left. The caller holds t.mu.
func (t *ConnTracker) shedForDrain() {
	for _, conns := range []*list.List{&t.newConns, &t.idleConns} {
		for conns.Len() > 0 {
			t.shed(oldest(conns), closeShutdown)
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

// shedAboveThreshold sheds connections until the number of open ones is no longer above SheddingThreshold. It first sheds new
// connections that have sent nothing for firstByteTimeoutMs, then idle connections, then other new connections. It returns false
// if the number is still above SheddingThreshold because all remaining connections have requests. New clients then have to wait
// once the limit of the listener (LimitListener) is reached. The caller holds t.mu.
func (t *ConnTracker) shedAboveThreshold(nowMs float64) bool {
	for t.open > t.SheddingThreshold {
		oldestNew, oldestIdle := oldest(&t.newConns), oldest(&t.idleConns)
		switch {
		case oldestNew != nil && (nowMs-oldestNew.listedAtMs >= firstByteTimeoutMs || oldestIdle == nil):
			t.shed(oldestNew, closeSilentShed)
		case oldestIdle != nil:
			t.shed(oldestIdle, closeIdleShed)
		default:
			return false
		}
	}
	return true
}

// shedIdle sheds connections whose idle timeout has passed while the number of open connections is above half of
// SheddingThreshold, and sets a timer for the next idle timeout. The caller holds t.mu.
func (t *ConnTracker) shedIdle(nowMs float64) {
	for c := oldest(&t.idleConns); c != nil && t.open > t.SheddingThreshold/2; c = oldest(&t.idleConns) {
		if leftMs := idleTimeoutMs - (nowMs - c.listedAtMs); leftMs > 0 {
			if !t.sheddingScheduled {
				t.sheddingScheduled = true
				t.Clock.AfterFunc(leftMs, t.shedScheduled)
			}
			return
		}
		t.shed(c, closeIdleShed)
	}
}

// shedScheduled sheds connections when the timer of shedIdle fires.
func (t *ConnTracker) shedScheduled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sheddingScheduled = false
	t.shedExcess()
}

// shed closes the sending side of a connection that has no request, for the given reason. The connection itself is closed when its client has closed its
// side, after gracefulclose.TimeoutMs, or when too many connections wait for their clients to close, whichever comes first. The
// caller holds t.mu.
func (t *ConnTracker) shed(c *clientConn, reason closeReason) {
	c.noteReason(reason)
	c.removeFromList()
	c.isShed = true
	t.open--
	t.Metrics.Add(connectionsShed, 1)
	c.closeWrite()
}

// oldest returns the first connection of a list, or nil if the list is empty.
func oldest(conns *list.List) *clientConn {
	if conns.Len() == 0 {
		return nil
	}
	return conns.Front().Value.(*clientConn)
}
