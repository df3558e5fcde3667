package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// blockServer is a storage node that runs each request. Some answers are lost: it resets the connection instead.
type blockServer struct {
	p    *play
	lose func(id string, attempt int) bool

	mu   sync.Mutex
	runs map[string]int // by correlation id
}

// serve accepts connections on a free loopback port and returns its address.
func (s *blockServer) serve() string { return acceptAll(s.conn) }

func (s *blockServer) conn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		s.mu.Lock()
		s.runs[id]++
		attempt := s.runs[id]
		s.mu.Unlock()
		s.p.f("s-0 runs %s %s %s key %s, %d bytes, attempt %d", r.Method, r.URL.Path, id, r.Header.Get("Idempotency-Key"), len(body), attempt)
		time.Sleep(5 * time.Millisecond)
		if s.lose(id, attempt) {
			s.p.f("s-0 resets the connection of %s", id)
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		answer := "done " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}
