package chaos

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
)

// arrival is an attempt as a fake server received it.
type arrival struct {
	id            string // ID of the client's request
	key           string // idempotency key of the request; empty: none
	gateway       int    // index of the gateway that sent the attempt; -1: unknown
	server        *server
	firstByteAt   time.Time
	lastByteAt    time.Time     // arrival of the last byte; zero if the request did not arrive completely
	remainingTime time.Duration // remaining time that the gateway states in the request
	units         float64
	padding       int  // bytes that the client wants the response to be longer by
	executed      bool // whether the request arrived completely and was not rejected, so that the server may have executed it
}

// server fakes one incarnation of a storage server. It records all arrivals.
type server struct {
	name      string
	shard     int
	addr      string
	startedAt time.Time // start of the server; zero: so long ago that the server is not in slow start
	listener  net.Listener

	mu             sync.Mutex
	random         *rand.Rand
	behavior       behavior
	behaviorEnd    time.Time
	draining       bool
	rejectRequests bool // whether requests are rejected while the server drains
	conns          map[net.Conn]bool
	idle           map[net.Conn]bool
	arrivals       []*arrival
	closed         bool
}

// serverOptions describe a fake server.
type serverOptions struct {
	name      string
	shard     int
	addr      string    // address to listen on; empty: a loopback address with a free port
	startedAt time.Time // start of the server; zero: so long ago that the server is not in slow start
	seed      uint64
}

// newServer starts a server.
func newServer(options serverOptions) (*server, error) {
	ln, err := listen(options.addr)
	if err != nil {
		return nil, err
	}
	s := &server{name: options.name, shard: options.shard, addr: ln.Addr().String(), startedAt: options.startedAt, listener: ln,
		random: rand.New(rand.NewPCG(options.seed, uint64(options.shard))), conns: map[net.Conn]bool{}, idle: map[net.Conn]bool{}}
	go s.acceptConns()
	return s, nil
}

func listen(addr string) (net.Listener, error) {
	if addr == "" {
		return loopback.Listen()
	}
	return loopback.ListenOn(addr)
}

func (s *server) acceptConns() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.currentBehavior() == refuseConnections {
			loopback.Reset(conn)
			continue
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

func (s *server) currentBehavior() behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.behaviorEnd) {
		s.behavior = behaveNormally
	}
	return s.behavior
}

// setBehavior sets the behavior for the given duration.
func (s *server) setBehavior(b behavior, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior, s.behaviorEnd = b, time.Now().Add(duration)
	if b == refuseConnections {
		for conn := range s.idle {
			conn.Close()
		}
	}
}

// drain puts the server into the draining state, in which it either rejects requests or goes on serving them.
func (s *server) drain(rejectRequests bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.rejectRequests = true, rejectRequests
}

// inService reports whether the server is neither draining nor closed.
func (s *server) inService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining && !s.closed
}

// close ends the server and resets its connections.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for conn := range s.conns {
		loopback.Reset(conn)
	}
}

// serveConn serves the requests of one connection, one after the other.
func (s *server) serveConn(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		delete(s.idle, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		s.setIdle(conn, true)
		conn.SetReadDeadline(time.Now().Add(connIdleTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		s.setIdle(conn, false)
		conn.SetReadDeadline(time.Time{})
		a, err := s.readRequest(in, firstByteAt)
		if err != nil {
			return
		}
		if !s.respond(conn, a) {
			return
		}
	}
}

func (s *server) setIdle(conn net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle {
		s.idle[conn] = true
	} else {
		delete(s.idle, conn)
	}
}

// readRequest reads one request and records its arrival, even if the request is incomplete.
func (s *server) readRequest(in *bufio.Reader, firstByteAt time.Time) (*arrival, error) {
	a := &arrival{server: s, firstByteAt: firstByteAt, gateway: -1}
	req, err := http.ReadRequest(in)
	if err == nil {
		a.id, a.key = req.Header.Get("X-Correlation-Id"), req.Header.Get("Idempotency-Key")
		if id, ok := parseRequestID(a.id); ok {
			a.gateway, a.units = id.gateway, float64(id.units)
		}
		left, _ := strconv.ParseFloat(req.Header.Get("X-Time-Left-Ms"), 64) // 0 if the header is missing
		a.remainingTime = time.Duration(left * float64(time.Millisecond))
		a.padding = parsePadding(req)
		_, err = io.Copy(io.Discard, req.Body)
	}
	if err == nil {
		a.lastByteAt = time.Now()
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	return a, err
}

// parsePadding returns the padding of the response that a request asks for.
func parsePadding(req *http.Request) int {
	padding, err := strconv.Atoi(req.URL.Query().Get("padding"))
	if err != nil { // most requests ask for none
		return 0
	}
	return max(0, padding)
}

// execution is how a server treats one request.
type execution struct {
	behavior behavior
	duration time.Duration
	chance   float64 // draw from [0, 1) that is compared with the probabilities of the behavior
	rejected bool
}

// execute draws how the server treats a request, and marks the arrival as executed unless the request is rejected.
func (s *server) execute(a *arrival) execution {
	e := execution{behavior: s.currentBehavior()}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.duration = time.Duration(s.random.ExpFloat64() * meanServiceMs * a.units / meanUnits * float64(time.Millisecond))
	if e.behavior == serveSlowly {
		e.duration = slowServiceTime
	}
	e.chance = s.random.Float64()
	e.rejected = s.draining && s.rejectRequests
	if !e.rejected {
		a.executed = true
	}
	return e
}

// respond responds to a request according to the current behavior. It reports whether the connection stays open.
func (s *server) respond(conn net.Conn, a *arrival) (open bool) {
	e := s.execute(a)
	if e.rejected {
		return writeText(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	time.Sleep(e.duration)
	body := responsePrefix(a.id) + s.name + strings.Repeat(" ", a.padding)
	response := formatResponse(a.id, body)
	switch {
	case e.behavior == hang:
		time.Sleep(s.untilBehaviorEnd())
	case e.behavior == failRequests && e.chance < failProbability:
		response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case e.behavior == breakConnections && e.chance < breakProbability:
		writeText(conn, response[:int(e.chance/breakProbability*float64(len(response)))])
		loopback.Reset(conn)
		return false
	case e.behavior == corruptResponses && e.chance < truncateProbability:
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\nnever whole")
		time.Sleep(truncatedResponseTime)
		return false
	case e.behavior == corruptResponses && e.chance < garbageProbability:
		writeText(conn, "noise")
		return false
	}
	if !writeText(conn, response) {
		return false
	}
	if e.behavior == repeatResponses && e.chance < repeatProbability {
		time.Sleep(time.Duration(e.chance*repeatDelayFactor) * time.Millisecond)
		writeText(conn, response)
	}
	return true
}

// formatResponse returns a response with the body. Every second one, by a hash of the request's ID, is sent in chunks.
func formatResponse(id, body string) string {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id) // a hash never returns an error
	if sum.Sum32()%2 == 0 {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// untilBehaviorEnd returns the time until the server behaves normally again.
func (s *server) untilBehaviorEnd() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.behaviorEnd)
}

// writeText writes to a connection and reports whether that succeeded.
func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// recordedArrivals returns all arrivals so far.
func (s *server) recordedArrivals() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.arrivals...)
}
