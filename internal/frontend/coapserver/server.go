package coapserver

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

// Options are the limits and timeouts of a Server. All must be set, and none may change while it serves.
type Options struct {
	// GatewayName identifies this run of the gateway to devices; it differs at each start.
	GatewayName string

	MaxConns           int // connections at a time
	MaxPendingRequests int // requests without a response on one connection
	MaxMessageSize     int // bytes of a message from a device

	// FirstMessageTimeout is how long after connecting the device's CSM must have arrived.
	FirstMessageTimeout time.Duration
	// KeepaliveTime is how long an idle connection may be silent before the server sends a Ping.
	KeepaliveTime time.Duration
	// MinIdleTimeout and MaxIdleTimeout bound the silence after which a connection with an unanswered Ping, an incomplete
	// message or a blocked write counts as lost. Within them the measured link decides; it starts at the maximum.
	MinIdleTimeout time.Duration
	MaxIdleTimeout time.Duration
	// HoldOff is how long a device must wait before it connects again, as sent with Release (RFC 8323, 5.5).
	HoldOff time.Duration
}

// Loop is the event loop as a Server uses it. Its methods do not block and may be called from any goroutine.
type Loop interface {
	frontend.Loop
	// LinkMeasured reports a measurement of a device's link that did not come with a request.
	LinkMeasured(device string, sample lifecycle.LinkSample)
}

// Server serves devices. The exported fields must be set before the first connection. Its methods may be called from any
// goroutine.
type Server struct {
	Options
	Loop     Loop
	Upstream lifecycle.Upstream
	Clock    clock.Clock
	Metrics  *metrics.Registry
	Settings *scheduler.Settings

	// respondByMs holds the bits of the float64 that BeginShutdown has set; 0 before a shutdown.
	respondByMs atomic.Uint64
	readers     sync.WaitGroup

	mu           sync.Mutex
	conns        map[*conn]bool
	draining     bool // new connections get a Release at once
	shuttingDown bool // new connections are refused
}

// Serve accepts connections until the listener fails or is closed, and returns the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return err
		}
		s.StartConn(netConn)
	}
}

// StartConn serves a connection in goroutines of its own, or closes it if the server is at its limit or shutting down.
func (s *Server) StartConn(netConn net.Conn) {
	c := newConn(s, netConn)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	if s.shuttingDown || len(s.conns) >= s.MaxConns && !s.evictIdle() {
		s.mu.Unlock()
		s.Metrics.Add("device_connections_refused", 1)
		netConn.Close()
		return
	}
	s.conns[c] = true
	draining := s.draining
	s.readers.Add(1)
	s.mu.Unlock()
	s.Metrics.Add("device_connections", 1)
	c.sendCSM()
	if draining {
		c.release()
	}
	go func() {
		defer s.readers.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// evictIdle closes the connection that has been idle for the longest time. It returns false if none is idle. The caller
// holds s.mu.
func (s *Server) evictIdle() bool {
	var oldest *conn
	var oldestSince time.Time
	for c := range s.conns {
		if since, idle := c.idleSince(); idle && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	if oldest == nil {
		return false
	}
	s.Metrics.Add("device_connections_shed", 1)
	delete(s.conns, oldest)
	go oldest.closeNow() // closing may block, and s.mu is held
	return true
}

// BeginShutdown makes the server respond to every request that arrives from now on before respondByMs, in milliseconds of
// Clock.
func (s *Server) BeginShutdown(respondByMs float64) {
	s.respondByMs.Store(math.Float64bits(respondByMs))
}

// responseDeadline returns the time that BeginShutdown has set, if it has been called.
func (s *Server) responseDeadline() (respondByMs float64, ok bool) {
	respondByMs = math.Float64frombits(s.respondByMs.Load())
	return respondByMs, respondByMs != 0
}

// Drain asks devices to use another gateway. Connections are still accepted, for devices that come back for a response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.release()
	}
}

// Shutdown refuses new connections, closes each one after its pending requests have their responses, and waits for that.
// The listener must be closed before.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.shuttingDown = true
	for c := range s.conns {
		c.closeWhenIdle()
	}
	s.mu.Unlock()
	s.readers.Wait()
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close refuses new connections and closes all present ones at once; it does not wait for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.shuttingDown = true
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.closeNow()
	}
}
