package coapserver

import (
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/workbudget"
)

// Names of counters.
const (
	abortsReceived           = "device_aborts_received"
	abortsSent               = "device_aborts"
	connectionsAccepted      = "device_connections"
	connectionsCSMTimeout    = "device_connections_csm_timeout"
	connectionsIdleTimeout   = "device_connections_idle_timeout"
	connectionsRefused       = "device_connections_refused"
	connectionsShed          = "device_connections_shed"
	connectionsEvicted       = "device_connections_evicted"
	connectionsTooMuchWork   = "device_connections_too_much_work"
	connectionsWithoutMemory = "device_connections_without_memory"
	messagesTruncated        = "device_messages_truncated"
	requestsOverLimit        = "device_requests_over_limit"
	requestsWithoutMemory    = "device_requests_without_memory"
)

// Options are the limits and timeouts of a Server. All must be set, and none may change while it serves.
type Options struct {
	// GatewayName identifies this process of the gateway to devices. It is different after each restart.
	GatewayName string

	MaxConns           int // maximum number of open connections
	MaxPendingRequests int // maximum number of requests without a response on one connection
	MaxMessageSize     int // bytes; maximum size of a message from a device

	// FirstMessageTimeout bounds the time from connecting until the CSM of the device has arrived.
	FirstMessageTimeout time.Duration
	// KeepaliveTime is how long an idle connection may be silent before the server sends a Ping.
	KeepaliveTime time.Duration
	// MinIdleTimeout and MaxIdleTimeout bound the idle timeout of a connection: the silence after which a connection with an
	// unanswered Ping, an incomplete message or a blocked write is considered lost. The idle timeout starts at the maximum and
	// is then adapted to the measured link.
	MinIdleTimeout time.Duration
	MaxIdleTimeout time.Duration
	// HoldOff is the time that a Release tells the device to wait before it connects again (RFC 8323, 5.5).
	HoldOff time.Duration
}

// Loop is the event loop that a Server submits requests to. Its methods do not block and may be called from any goroutine.
type Loop interface {
	frontend.Loop
	// LinkMeasured reports a measurement of a device's link that was made without a request.
	LinkMeasured(device string, sample lifecycle.LinkSample)
}

// serverPhase determines what a Server does with new connections. It only advances to later phases.
type serverPhase uint8

const (
	phaseServing      serverPhase = iota // new connections are served
	phaseDraining                        // new connections are served, and the server sends Release at once
	phaseShuttingDown                    // new connections are refused
)

// String returns the name of the phase.
func (p serverPhase) String() string {
	switch p {
	case phaseServing:
		return "serving"
	case phaseDraining:
		return "draining"
	case phaseShuttingDown:
		return "shutting down"
	}
	return fmt.Sprintf("serverPhase(%d)", uint8(p))
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
	// Memory bounds the memory of connections together with that of other users. nil means that there is no bound.
	Memory *memorybudget.Budget
	// Responses holds the bodies of responses until devices have read them.
	Responses *responsebuffer.Set
	// Work bounds the work of connections together with that of other frontends. nil means that there is no bound.
	Work *workbudget.Budget

	// respondByMs holds the argument of BeginShutdown as float64 bits; 0 before a shutdown.
	respondByMs atomic.Uint64
	readers     sync.WaitGroup // goroutines that run conn.serve

	mu    sync.Mutex
	conns map[*conn]bool
	phase serverPhase
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

// StartConn serves a connection in its own goroutines. It closes the connection instead if the server is shutting down, or is at
// MaxConns without an idle connection to evict.
func (s *Server) StartConn(netConn net.Conn) {
	c := newConn(s, netConn)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	if s.phase == phaseShuttingDown || len(s.conns) >= s.MaxConns && !s.evictIdle() {
		s.mu.Unlock()
		s.Metrics.Add(connectionsRefused, 1)
		netConn.Close()
		return
	}
	s.conns[c] = true
	draining := s.phase == phaseDraining
	s.readers.Add(1)
	s.mu.Unlock()
	s.Metrics.Add(connectionsAccepted, 1)
	c.account.Force(connBytes)
	c.work = s.Work.Open(netConn.RemoteAddr())
	c.sendCSM()
	if draining {
		c.release()
	}
	go func() {
		defer s.readers.Done()
		c.serve()
		c.account.Close()
		c.work.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// evictIdle closes the connection that has been idle the longest. It returns false if no connection is idle. The caller holds
// s.mu.
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
	s.Metrics.Add(connectionsShed, 1)
	delete(s.conns, oldest)
	go oldest.closeNow() // in a goroutine, since closing may block and the caller holds s.mu
	return true
}

// BeginShutdown sets respondByMs, a time of Clock in milliseconds, as the response deadline of all requests that arrive from now
// on.
func (s *Server) BeginShutdown(respondByMs float64) {
	s.respondByMs.Store(math.Float64bits(respondByMs))
}

// responseDeadline returns the time that BeginShutdown has set. ok is false before BeginShutdown.
func (s *Server) responseDeadline() (respondByMs float64, ok bool) {
	respondByMs = math.Float64frombits(s.respondByMs.Load())
	return respondByMs, respondByMs != 0
}

// Drain asks devices to use another gateway. The server still accepts connections, so that devices can return for a response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = max(s.phase, phaseDraining)
	for c := range s.conns {
		c.release()
	}
}

// Shutdown refuses new connections, closes each existing one once its pending requests have been answered, and waits until all
// are closed. The caller must close the listener first.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.phase = phaseShuttingDown
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

// Close refuses new connections and closes all existing ones at once. It does not wait for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.phase = phaseShuttingDown
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.closeNow()
	}
}
