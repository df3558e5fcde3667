// Package memnet is a network in memory for tests whose time is a bubble's: listeners and connections by address,
// without sockets.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// Net is a network. Its zero value is empty and ready.
type Net struct {
	mu    sync.Mutex
	at    map[string]*listener
	ports int
}

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }

type listener struct {
	n    *Net
	addr addr
	in   chan net.Conn
	once sync.Once
	done chan struct{}
}

// Listen opens an address; port 0 is a free one.
func (n *Net) Listen(at string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(at)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at == nil {
		n.at = map[string]*listener{}
	}
	if port == "0" {
		n.ports++
		at = net.JoinHostPort(host, fmt.Sprint(40000+n.ports))
	}
	if n.at[at] != nil {
		return nil, fmt.Errorf("memnet: %s is in use", at)
	}
	l := &listener{n: n, addr: addr(at), in: make(chan net.Conn), done: make(chan struct{})}
	n.at[at] = l
	return l, nil
}

var errRefused = errors.New("memnet: connection refused")

// Dial connects to an address.
func (n *Net) Dial(ctx context.Context, _, at string) (net.Conn, error) {
	n.mu.Lock()
	l := n.at[at]
	n.ports++
	from := addr(fmt.Sprintf("127.0.0.1:%d", 40000+n.ports))
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	select {
	case l.in <- &conn{b, l.addr, from}:
		return &conn{a, from, l.addr}, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.n.mu.Lock()
		delete(l.n.at, string(l.addr))
		l.n.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

type conn struct {
	net.Conn
	local, remote addr
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }
