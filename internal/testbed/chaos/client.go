package chaos

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ending is how a request ended at its client.
type ending uint8

const (
	pending ending = iota
	served
	refused
	failed
	malformed    // the gateway found fault with it
	disconnected // the client left
	cutOff       // the connection ended without a whole answer
	unanswered   // nothing came in time
	unconnected  // no connection came up: it was never sent
)

// request is what a client asked for and what became of it.
type request struct {
	id       string
	gateway  int
	class    *class
	shard    int
	units    int
	deadline time.Duration // what the client told
	leaves   time.Duration // it closes its connection so long after sending; 0: it does not
	halted   bool          // it stops in the middle of its request and stays

	reused bool      // its connection had carried another before
	dialed time.Time // when its connection was asked for
	sent   time.Time // its last byte
	closed time.Time // when the client closed the connection, of its own will
	ended  time.Time
	ending ending
	status int
	err    error
	text   string
}

// clients are all clients of one gateway.
type clients struct {
	gateway int
	addr    string
	rnd     *rand.Rand

	mu   sync.Mutex
	idle []net.Conn
	all  []*request
	next int
}

// mostIdle is how many idle connections the clients of a gateway keep.
const mostIdle = 8

// draw makes the next request.
func (c *clients) draw(shards int) *request {
	r := &request{gateway: c.gateway, class: &classes[c.rnd.IntN(len(classes))], shard: c.rnd.IntN(shards), units: 1 + c.rnd.IntN(3)}
	if c.rnd.IntN(25) == 0 {
		r.units = mostUnits
	}
	r.deadline = r.class.deadline
	switch chance := c.rnd.Float64(); {
	case chance < 0.05: // it leaves soon
		r.leaves = time.Duration(c.rnd.ExpFloat64() * float64(30*time.Millisecond))
	case chance < 0.08: // there is hardly any time left
		r.deadline = time.Duration(1+c.rnd.IntN(40)) * time.Millisecond
	case chance < 0.09:
		r.halted = true
	}
	if r.class.write && r.class.effect == byKey && c.rnd.IntN(4) == 0 {
		r.shard = -1
	}
	c.mu.Lock()
	c.next++
	r.id = requestID(c.gateway, r.units, c.next)
	c.all = append(c.all, r)
	c.mu.Unlock()
	return r
}

// text is the request as it is sent.
func (r *request) message() string {
	method, body := http.MethodGet, ""
	if r.class.write {
		method, body = http.MethodPut, "content of "+r.id
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%016x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: basic\r\n", method,
		r.class.name, uint64(r.shard+2), r.id, r.class.name)
	fmt.Fprintf(&b, "X-Time-Left-Ms: %d\r\nX-IO: volume=%016x,units=%d,shard=%d,hosts=1\r\nContent-Length: %d\r\n", r.deadline.Milliseconds(),
		0xb000+r.gateway, r.units, r.shard, len(body))
	if r.class.effect == byKey {
		fmt.Fprintf(&b, "Idempotency-Key: k-%s\r\n", r.id)
	}
	return b.String() + "\r\n" + body
}

// connection takes an idle connection or dials.
func (c *clients) connection(r *request) (net.Conn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		nc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		r.reused = true
		return nc, nil
	}
	c.mu.Unlock()
	r.dialed = time.Now()
	return net.DialTimeout("tcp", c.addr, time.Second)
}

// keep gives a connection back.
func (c *clients) keep(nc net.Conn) {
	nc.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) < mostIdle {
		c.idle = append(c.idle, nc)
		return
	}
	nc.Close()
}

// ask sends a request and notes what becomes of it.
func (c *clients) ask(r *request) {
	defer func() { r.ended = time.Now() }()
	nc, err := c.connection(r)
	if err != nil {
		r.ending, r.err = unconnected, err
		return
	}
	message := r.message()
	if r.halted {
		message = message[:len(message)/2]
	}
	nc.SetDeadline(time.Now().Add(r.deadline + answerSlack + 500*time.Millisecond))
	if r.halted {
		nc.SetDeadline(time.Now().Add(10 * time.Second))
	}
	if _, err := io.WriteString(nc, message); err != nil {
		r.ending, r.err = cutOff, err
		nc.Close()
		return
	}
	r.sent = time.Now()
	if r.leaves > 0 {
		timer := time.AfterFunc(r.leaves, func() { nc.SetReadDeadline(time.Unix(1, 0)) })
		defer timer.Stop()
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		r.err = err
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout() && r.leaves > 0:
			r.ending = disconnected
		case errors.As(err, &timeout) && timeout.Timeout():
			r.ending = unanswered
		default:
			r.ending = cutOff
		}
		nc.Close()
		r.closed = time.Now()
		return
	}
	r.status, r.text = resp.StatusCode, string(body)
	switch {
	case resp.StatusCode == http.StatusOK:
		r.ending = served
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		r.ending = refused
	case resp.StatusCode >= 500:
		r.ending = failed
	default:
		r.ending = malformed
	}
	if resp.Close || r.halted {
		nc.Close()
		return
	}
	c.keep(nc)
}

// closeIdle closes the idle connections.
func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.idle {
		nc.Close()
	}
	c.idle = nil
}

// traffic asks at a rate until told to stop.
func (c *clients) traffic(rate float64, shards int, stop <-chan struct{}, all *sync.WaitGroup) {
	for {
		gap := time.Duration(c.rnd.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		r := c.draw(shards)
		all.Go(func() { c.ask(r) })
	}
}
