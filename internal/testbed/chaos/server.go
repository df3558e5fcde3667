package chaos

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is an attempt as a server saw it.
type arrival struct {
	id      string
	gateway int
	server  *server
	first   time.Time     // its first byte
	whole   time.Time     // its last byte; zero: it was never whole
	told    time.Duration // the time that the client has left, as the gateway tells it
	units   float64
	ran     bool // the server has worked on it, or may have
}

// manner is how a server treats its connections for a while.
type manner uint8

const (
	well      manner = iota
	hanging          // requests are read and not answered
	failing          // answers 500
	breaking         // resets connections under requests
	spoiling         // answers that cannot be read, or never end
	repeating        // sends each answer a second time, some milliseconds late
	away             // resets new connections and closes the idle ones
	mannersNumber
)

// server fakes one run of a storage server.
type server struct {
	name    string
	shard   int
	addr    string
	started time.Time // zero: long ago
	ln      net.Listener

	mu       sync.Mutex
	rnd      *rand.Rand
	manner   manner
	until    time.Time // the manner's end
	draining bool
	refuses  bool // while draining, requests are turned away
	conns    map[net.Conn]bool
	idle     map[net.Conn]bool
	arrivals []*arrival
	closed   bool
}

// newServer starts a server. addr "" is a free port.
func newServer(name string, shard int, addr string, started time.Time, seed uint64) (*server, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &server{name: name, shard: shard, addr: ln.Addr().String(), started: started, ln: ln,
		rnd: rand.New(rand.NewPCG(seed, uint64(shard))), conns: map[net.Conn]bool{}, idle: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		if s.now() == away {
			reset(nc)
			continue
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			nc.Close()
			return
		}
		s.conns[nc] = true
		s.mu.Unlock()
		go s.handle(nc)
	}
}

// now is the manner of this moment.
func (s *server) now() manner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.until) {
		s.manner = well
	}
	return s.manner
}

// behave sets a manner for a while. One that goes away closes its idle connections.
func (s *server) behave(m manner, long time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manner, s.until = m, time.Now().Add(long)
	if m == away {
		for nc := range s.idle {
			nc.Close()
		}
	}
}

// drain makes the server one that drains.
func (s *server) drain(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.refuses = true, refuses
}

// stop ends the server: its connections are reset.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.ln.Close()
	for nc := range s.conns {
		reset(nc)
	}
}

// reset closes a connection by a reset.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	nc.Close()
}

// handle serves one connection, request by request.
func (s *server) handle(nc net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, nc)
		delete(s.idle, nc)
		s.mu.Unlock()
		nc.Close()
	}()
	in := bufio.NewReader(nc)
	for {
		s.rest(nc, true)
		nc.SetReadDeadline(time.Now().Add(connIdle))
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		s.rest(nc, false)
		nc.SetReadDeadline(time.Time{})
		a, err := s.read(in, first)
		if err != nil {
			return
		}
		if !s.answer(nc, a) {
			return
		}
	}
}

func (s *server) rest(nc net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle {
		s.idle[nc] = true
	} else {
		delete(s.idle, nc)
	}
}

// read reads a request whole and books its arrival.
func (s *server) read(in *bufio.Reader, first time.Time) (*arrival, error) {
	a := &arrival{server: s, first: first, gateway: -1}
	r, err := http.ReadRequest(in)
	if err == nil {
		a.id = r.Header.Get("X-Correlation-Id")
		fmt.Sscanf(a.id, "g%d-", &a.gateway)
		left, _ := strconv.ParseFloat(r.Header.Get("X-Time-Left-Ms"), 64)
		a.told = time.Duration(left * float64(time.Millisecond))
		a.units = unitsOf(a.id)
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err == nil {
		a.whole = time.Now()
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	return a, err
}

// answer treats a request in the manner of this moment. False: the connection is over.
func (s *server) answer(nc net.Conn, a *arrival) bool {
	m := s.now()
	s.mu.Lock()
	work := time.Duration(s.rnd.ExpFloat64() * 4 * a.units / meanUnits * float64(time.Millisecond))
	chance := s.rnd.Float64()
	turnsAway := s.draining && s.refuses
	if !turnsAway {
		a.ran = true
	}
	s.mu.Unlock()
	if turnsAway {
		_, err := io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	time.Sleep(work)
	body := a.id + " from " + s.name
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch {
	case m == hanging:
		s.mu.Lock()
		left := time.Until(s.until)
		s.mu.Unlock()
		time.Sleep(left)
	case m == failing && chance < 0.7:
		text = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case m == breaking && chance < 0.5:
		io.WriteString(nc, text[:int(chance*2*float64(len(text)))])
		reset(nc)
		return false
	case m == spoiling && chance < 0.3:
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\nnever whole")
		time.Sleep(time.Second)
		return false
	case m == spoiling && chance < 0.6:
		io.WriteString(nc, "noise")
		return false
	}
	if _, err := io.WriteString(nc, text); err != nil {
		return false
	}
	if m == repeating && chance < 0.3 {
		time.Sleep(time.Duration(chance*10) * time.Millisecond)
		io.WriteString(nc, text)
	}
	return true
}

// all is what has arrived so far.
func (s *server) all() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.arrivals...)
}

// requestID names a request: the gateway that it is sent to, its units, its number.
func requestID(gateway, units, number int) string {
	return fmt.Sprintf("g%d-%d-%d", gateway, units, number)
}

func unitsOf(id string) float64 {
	parts := strings.Split(id, "-")
	if len(parts) != 3 {
		return 0
	}
	units, _ := strconv.Atoi(parts[1])
	return float64(units)
}
