package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/workbudget"
)

const (
	// idleTimeoutMs is how long, in milliseconds, a connection must have been idle before the platform allows the gateway to
	// close it. Some clients never close their connections, so connections that have been idle for this long are shed while
	// the number of open connections is above half of SheddingThreshold.
	idleTimeoutMs = 2000
	// firstByteTimeoutMs is how long, in milliseconds, a new connection may send nothing before it is shed. This shedding happens only
	// while the number of open connections is above SheddingThreshold.
	firstByteTimeoutMs = 250
	// slowRequestMs is how long, in milliseconds, a client may take to send a request before the request may be rejected to make room
	// for others. Clients on ordinary links send a request in less.
	slowRequestMs = 100
	// slowResponseMs is how long, in milliseconds, a client may take to read a response before the connection may be closed to make room
	// for others.
	slowResponseMs = 500
	// closingLimitDivisor limits the number of connections that wait for their clients to close: it is at most
	// SheddingThreshold / closingLimitDivisor, or 1 if that is less than 1.
	closingLimitDivisor = 16
)

// connectionsEvicted counts connections whose requests were rejected before they had been read completely.
const connectionsEvicted = "client_connections_evicted"

// connectionsShed counts new and idle connections that were shed because of SheddingThreshold, the idle timeout or a shutdown.
const connectionsShed = "client_connections_shed"

// ConnTracker tracks the client connections of an http.Server. While the number of open connections is above SheddingThreshold,
// it makes room, so that the connections of clients that send requests can be accepted and read: it closes idle connections and new ones
// that send nothing, and then rejects the requests that have been read for longer than slowRequestMs and make the least progress. A
// connection on which unread bytes wait is never closed without a response, and a request that has been read completely gets its
// response. The number of open connections can therefore stay above SheddingThreshold.
//
// The exported fields are set before use. The methods may be called from any goroutine.
type ConnTracker struct {
	// SheddingThreshold is the number of open connections above which new and idle ones are shed at once. Above half of it,
	// connections that have been idle for idleTimeoutMs are shed.
	SheddingThreshold int
	// MaxPipelinedBytes limits the pipelined bytes that are buffered for all connections together. 0 means that only the limit
	// of each connection applies.
	MaxPipelinedBytes int
	// Budget bounds the memory of all connections together with that of other users. nil means that there is no bound.
	Budget *memorybudget.Budget
	// Work bounds the work of all connections together with that of other frontends. nil means that there is no bound.
	Work *workbudget.Budget
	// PauseDetector tells since when connections may have waited to be accepted. If it is nil, no pause is assumed.
	PauseDetector *clock.PauseDetector
	Clock         clock.Clock
	Metrics       *metrics.Registry

	closeEvents logevent.Limiter

	mu             sync.Mutex
	open           int       // number of connections that are neither closed nor shed
	pipelinedBytes int       // number of pipelined bytes that are buffered for all connections together
	newConns       list.List // *clientConn from which nothing has been read, oldest first
	idleConns      list.List // *clientConn between two requests, longest idle first
	readingConns   list.List // *clientConn from which a part of a request has been read, in the order of the first bytes
	writingConns   list.List // *clientConn to which a response is being written, in the order of the first bytes
	// closingConns holds each *clientConn whose sending side is closed, oldest first. Those that were not shed are still counted
	// in open until the server reports StateClosed.
	closingConns list.List
	sheddingAtMs float64       // time at which shedScheduled will be called; valid if stopShedding is not nil
	stopShedding func()        // stops the timer that calls shedScheduled; nil if none is set
	drained      chan struct{} // nil unless draining; closed when no connection is left
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
	if state == http.StateIdle {
		conn.endRequest()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.open++
		conn.addToList(&t.newConns)
	case http.StateIdle:
		// A connection from which part of a further request has been read must not be shed.
		if !conn.isLeaving() && len(conn.pipelined) == 0 {
			conn.addToList(&t.idleConns)
		}
	case http.StateActive:
		conn.requestActive = true
		conn.requestBegun.Store(false)
		if conn.list != &t.readingConns { // the head came with the end of the last request
			conn.removeFromList()
		}
	case http.StateClosed, http.StateHijacked:
		conn.removeFromList()
		if !conn.isLeaving() { // otherwise it has been subtracted from open
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
