package httpserver

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/metrics"
)

const (
	// lingerMs after its last answer a client's connection may be closed, by the platform's word. Clients hold
	// only so many, and some keep theirs for good: they go once half of what may be open is.
	lingerMs = 2000
	// speakMs is what a new connection has before it counts as a silent one, which goes before any that is idle.
	speakMs = 500
	// aheadMost is what is kept of what a client sends while its request is open: one more request, as large as it may
	// be. What comes beyond is dropped, and the connection ends behind the answer; floodMost of that is read.
	aheadMost = 16<<10 + httpmessage.MaxBodyBytes
	floodMost = 1 << 20
)

// closedOwing counts connections that this program closed under a request that it had taken up and not answered, with the
// client still there. It must stay 0.
const closedOwing = "rule_violations_closed_owing"

var errFlood = errors.New("more requests sent at once than may be")

// ConnTracker bounds the client connections. Over Most open ones it sheds silent and idle ones, so that a client
// that has a request finds its connection taken and read. Only one from which nothing has been read since its
// last answer is ever shed: a request that has been read is taken, and its connection stays until the answer.
type ConnTracker struct {
	MaxOpen int
	// MaxPipelinedBytes bounds the bytes kept of what clients send while their requests are open, over all connections; 0: each
	// one's own bound alone holds.
	MaxPipelinedBytes int
	Clock             clock.Clock
	Metrics           *metrics.Registry

	mu    sync.Mutex
	open  int
	ahead int           // bytes kept now
	fresh list.List     // of *client that have not said anything yet, the oldest first
	idle  list.List     // of *client between requests, the longest idle first
	armed bool          // a sweep is to come
	quiet chan struct{} // while draining: closed once none is open
	// of *client whose sending has ended, the first first; they are not counted as open once the server knows
	closing list.List
}

// LimitListener returns a listener whose connections the server must be given for State to know them; most are open at once,
// those included whose last bytes are still read. It stands in for netutil.LimitListener, behind which a connection's
// sending cannot be ended on its own.
func (c *ConnTracker) LimitListener(ln net.Listener, most int) net.Listener {
	return &listener{Listener: ln, conns: c, room: make(chan struct{}, most), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	conns  *ConnTracker
	room   chan struct{} // one for each open connection
	once   sync.Once
	closed chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.room <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &client{Conn: nc, conns: l.conns, closed: func() { <-l.room }}, nil
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// client is a client's connection.
type client struct {
	net.Conn
	conns  *ConnTracker
	closed func() // called once it is closed

	// These belong to conns.mu.

	in      *list.List // fresh, idle or nil
	at      *list.Element
	since   float64 // when it got there
	shed    bool
	ending  *list.Element // in conns.closing, once its sending has ended
	unguard func()        // stops what closes it at the latest
	over    bool          // it is closed
	held    int           // bytes of conns.ahead that are its own

	// These belong to the server's goroutines of this connection, of which one reads at a time.

	active  bool   // a whole head has been read, and its request is not answered yet
	ahead   []byte // read while a request was open, and not handed to the server yet
	flooded int    // bytes dropped beyond those

	ended     atomic.Bool // the client's end has been read
	owing     atomic.Bool // a request has been taken up and is not answered
	discarded atomic.Bool // what still comes is being read
}

// owe notes that a request was taken up. The function that is returned is to be deferred: with the handler's end the request
// is answered, unless that ends by a panic while the client waits.
func (k *client) owe(waits func() bool) (settle func()) {
	k.owing.Store(true)
	return func() {
		p := recover()
		if p == nil || !waits() {
			k.owing.Store(false)
		}
		if p != nil {
			panic(p)
		}
	}
}

type connKey struct{}

// ConnContext makes the connection known to the front. It is an http.Server's ConnContext.
func (c *ConnTracker) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func clientOf(ctx context.Context) *client {
	k, _ := ctx.Value(connKey{}).(*client)
	return k
}

// wasShed tells whether the connection was closed before its request was taken up. The server may have read it together
// with the one before, unseen by Read.
func (k *client) wasShed() bool {
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	return k.shed
}

// Read guards against a request that is read while its connection is shed: net/http calls a connection active
// only once a whole head has come, so one being read still looks idle to it. What was read too late is dropped:
// the client sees its connection closed and sends the request once more, and so it must not be taken here.
func (k *client) Read(p []byte) (int, error) {
	if k.flooded > 0 && !k.active {
		return 0, errFlood
	}
	if k.active && len(p) == 1 {
		return k.watch(p)
	}
	n, err := 0, error(nil)
	if len(k.ahead) > 0 {
		if n = copy(p, k.ahead); n == len(k.ahead) {
			k.ahead = nil
		} else {
			k.ahead = k.ahead[n:]
		}
		k.hold(-n)
	} else {
		n, err = k.Conn.Read(p)
	}
	if n == 0 {
		k.heard(err)
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

// watch waits for the client's end while its request is open: net/http reads one byte for that, and takes a byte of a
// further request for a sign that the client is there, for good. A client that sends on and leaves would not be seen,
// and its request be sent to a node for nobody. What comes is kept for the reads to follow. It ends with the client, or
// when the request has been answered, by the deadline that net/http sets then.
func (k *client) watch(p []byte) (int, error) {
	for k.flooded < floodMost {
		n, err := k.Conn.Read(p)
		keep := k.hold(min(n, aheadMost-len(k.ahead)))
		k.ahead = append(k.ahead, p[:keep]...)
		k.flooded += n - keep
		if err != nil {
			k.heard(err)
			return 0, err
		}
		if len(p) == 1 {
			p = make([]byte, 4<<10)
		}
	}
	return 1, nil // it is not watched any more, nor read
}

// hold books bytes to be kept, or given back, and tells how many of them may be.
func (k *client) hold(n int) int {
	c := k.conns
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.over { // all has been given back
		return 0
	}
	if c.MaxPipelinedBytes > 0 {
		n = min(n, max(0, c.MaxPipelinedBytes-c.ahead))
	}
	k.held += n
	c.ahead += n
	return n
}

// heard notes the end of what the client sends.
func (k *client) heard(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		k.ended.Store(true)
	}
}

// Close ends the sending, reads on until the client has ended its own, for hangup.CloseMs at most, and closes the connection.
// Closed over bytes that have not been read it would be reset, and with it the last answer where the client has not got
// it yet: bytes may come in that very moment, and behind what is malformed there often are some.
func (k *client) Close() error {
	k.conns.mu.Lock()
	k.endSending()
	k.conns.mu.Unlock()
	if k.ended.Load() {
		k.finish()
	} else if !k.discarded.Swap(true) {
		go func() {
			k.Conn.SetReadDeadline(time.Time{})
			io.Copy(io.Discard, k.Conn)
			k.finish()
		}()
	}
	return nil
}

// endSending ends the sending and sees to it that the connection is closed. Of those that wait for their clients' ends
// few may take the places of others, but while all are ended. conns.mu is held.
func (k *client) endSending() {
	c := k.conns
	if k.ending != nil {
		return
	}
	k.ending = c.closing.PushBack(k)
	k.unguard = c.Clock.AfterFunc(gracefulclose.TimeoutMs, k.finish)
	if !gracefulclose.CloseWrite(k.Conn) {
		k.close()
	}
	if c.quiet == nil && c.closing.Len() > max(1, c.MaxOpen/16) {
		first(&c.closing).close()
	}
}

func (k *client) finish() {
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	k.close()
	k.conns.sweep()
}

// close closes the connection. conns.mu is held, and its sending has ended.
func (k *client) close() {
	if k.over {
		return
	}
	k.over = true
	if k.owing.Load() && !k.ended.Load() {
		k.conns.Metrics.Add(closedOwing, 1)
	}
	k.conns.ahead -= k.held
	k.conns.closing.Remove(k.ending)
	k.unguard()
	k.Conn.Close()
	if k.closed != nil {
		k.closed()
	}
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

// ConnState is an http.Server's ConnState.
func (c *ConnTracker) ConnState(nc net.Conn, s http.ConnState) {
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
		// With part of a further request read it is none of those that may be closed.
		if k.active = false; !k.shed && len(k.ahead) == 0 {
			k.enter(&c.idle)
		}
	case http.StateActive:
		k.active = true
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
func (c *ConnTracker) Count() (open, busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.open - c.idle.Len() - c.fresh.Len()
}

// Drain closes the connections without a request, and from now on the others behind their answers. The channel
// closes when none is left. http.Server's own ways to do so have the fault that client.Read guards against.
func (c *ConnTracker) Drain() (quiet <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiet = make(chan struct{})
	c.sweep()
	return c.quiet
}

// sweep sheds what there is no room for. c.mu is held.
func (c *ConnTracker) sweep() {
	if c.quiet != nil {
		for _, l := range []*list.List{&c.fresh, &c.idle} {
			for l.Len() > 0 {
				c.drop(first(l))
			}
		}
		select {
		case <-c.quiet:
		default:
			if c.open == 0 && c.closing.Len() == 0 {
				close(c.quiet)
			}
		}
		return
	}
	now := c.Clock.NowMs()
	for c.open > c.MaxOpen {
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
	for k := first(&c.idle); k != nil && c.open > c.MaxOpen/2; k = first(&c.idle) {
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

func (c *ConnTracker) later() {
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

func (c *ConnTracker) drop(k *client) {
	k.leave()
	k.shed = true
	c.open--
	c.Metrics.Add("client_connections_shed", 1)
	k.endSending() // the server reads on, and closes it
}
