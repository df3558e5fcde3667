// Package memnet is a network in memory, without sockets, for tests that run in a bubble of testing/synctest.
//
// A [Net] owns its listeners and finds them by their addresses. Connections are pipes (net.Pipe) with addresses. The package
// starts no goroutine.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// ErrConnectionRefused is the error of a dial to an address without a listener.
var ErrConnectionRefused = errors.New("memnet: connection refused")

// basePort is the number that precedes the first assigned port.
const basePort = 40000

// Net is a network. Its zero value is empty and ready for use. It is safe for concurrent use.
type Net struct {
	mu            sync.Mutex // guards the fields below
	listeners     map[string]*listener
	assignedPorts int
}

// Listen listens on an address of the form "host:port". Port 0 selects a free port.
func (n *Net) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if port == "0" {
		address = net.JoinHostPort(host, n.assignPort())
	}
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("memnet: address %s is already in use", address)
	}
	l := &listener{network: n, address: addr(address), incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// assignPort returns a port that it has not returned before. n.mu must be held.
func (n *Net) assignPort() string {
	n.assignedPorts++
	return fmt.Sprint(basePort + n.assignedPorts)
}

// Dial connects to an address and waits until the connection is accepted or ctx is done. It returns ErrConnectionRefused if
// there is no listener on that address or the listener is closed. The network parameter is ignored.
func (n *Net) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	local := addr(net.JoinHostPort("127.0.0.1", n.assignPort()))
	n.mu.Unlock()
	if l == nil {
		return nil, ErrConnectionRefused
	}
	dialed, accepted := net.Pipe()
	select {
	case l.incoming <- &conn{Conn: accepted, local: l.address, remote: local}:
		return &conn{Conn: dialed, local: local, remote: l.address}, nil
	case <-l.closed:
		return nil, ErrConnectionRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener implements net.Listener.
type listener struct {
	network   *Net
	address   addr
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The address can be used again afterwards.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// conn is one end of a connection.
type conn struct {
	net.Conn
	local, remote addr
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// addr is an address of the form "host:port".
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "mem" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
