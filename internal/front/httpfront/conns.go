package httpfront

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

const (
	// lingerMs after its last answer a client's connection may be closed, by the platform's word. Clients hold
	// only so many, and some keep theirs for good: they go once half of what may be open is.
	lingerMs = 2000
	// speakMs is what a new connection has before it counts as a silent one, which goes before any that is idle.
	speakMs = 500
)

// Conns bounds the client connections. Over Most open ones it sheds silent and idle ones, so that a client
// that has a request finds its connection taken and read. Only one from which nothing has been read since its
// last answer is ever shed: a request that has been read is taken, and its connection stays until the answer.
type Conns struct {
	Most    int
	Clock   clock.Clock
	Metrics *metrics.Set

	mu    sync.Mutex
	open  int
	fresh list.List     // of *client that have not said anything yet, the oldest first
	idle  list.List     // of *client between requests, the longest idle first
	armed bool          // a sweep is to come
	quiet chan struct{} // while draining: closed once none is open
}

// Listen returns a listener whose connections the server must be given for State to know them.
func (c *Conns) Listen(ln net.Listener) net.Listener { return &listener{ln, c} }

type listener struct {
	net.Listener
	conns *Conns
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &client{Conn: nc, conns: l.conns}, nil
}

// client is a client's connection. Its fields belong to conns.mu.
type client struct {
	net.Conn
	conns *Conns
	in    *list.List // fresh, idle or nil
	at    *list.Element
	since float64 // when it got there
	shed  bool
}

// Read guards against a request that is read while its connection is shed: net/http calls a connection active
// only once a whole head has come, so one being read still looks idle to it. What was read too late is dropped:
// the client sees its connection closed and sends the request once more, and so it must not be taken here.
func (k *client) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	if k.shed {
		return 0, net.ErrClosed
	}
	k.leave()
	return n, err
}

func (k *client) leave() {
	if k.in != nil {
		k.in.Remove(k.at)
		k.in, k.at = nil, nil
	}
}

func (k *client) enter(l *list.List) {
	k.leave()
	k.in, k.at, k.since = l, l.PushBack(k), k.conns.Clock.NowMs()
}

// State is an http.Server's ConnState.
func (c *Conns) State(nc net.Conn, s http.ConnState) {
	k, ok := nc.(*client)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.open++
		k.enter(&c.fresh)
	case http.StateIdle:
		if !k.shed {
			k.enter(&c.idle)
		}
	case http.StateActive:
		k.leave()
	case http.StateClosed, http.StateHijacked:
		k.leave()
		if !k.shed { // else it is counted already
			c.open--
		}
	}
	c.sweep()
}

// Count is how many connections are open, and how many of them have a request.
func (c *Conns) Count() (open, busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.open - c.idle.Len() - c.fresh.Len()
}

// Drain closes the connections without a request, and from now on the others behind their answers. The channel
// closes when none is left. http.Server's own ways to do so have the fault that client.Read guards against.
func (c *Conns) Drain() (quiet <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiet = make(chan struct{})
	c.sweep()
	return c.quiet
}

// sweep sheds what there is no room for. c.mu is held.
func (c *Conns) sweep() {
	if c.quiet != nil {
		for _, l := range []*list.List{&c.fresh, &c.idle} {
			for l.Len() > 0 {
				c.drop(first(l))
			}
		}
		select {
		case <-c.quiet:
		default:
			if c.open == 0 {
				close(c.quiet)
			}
		}
		return
	}
	now := c.Clock.NowMs()
	for c.open > c.Most {
		silent, idle := first(&c.fresh), first(&c.idle)
		switch {
		case silent != nil && (now-silent.since >= speakMs || idle == nil):
			c.drop(silent)
		case idle != nil:
			c.drop(idle)
		default: // all have requests: the listener's limit keeps further ones waiting
			return
		}
	}
	for k := first(&c.idle); k != nil && c.open > c.Most/2; k = first(&c.idle) {
		if left := lingerMs - (now - k.since); left > 0 {
			if !c.armed {
				c.armed = true
				c.Clock.AfterFunc(left, c.later)
			}
			return
		}
		c.drop(k)
	}
}

func (c *Conns) later() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
	c.sweep()
}

func first(l *list.List) *client {
	if l.Len() == 0 {
		return nil
	}
	return l.Front().Value.(*client)
}

func (c *Conns) drop(k *client) {
	k.leave()
	k.shed = true
	c.open--
	c.Metrics.Add("client_connections_shed", 1)
	k.Conn.Close()
}
