package httpserver

import (
	"net"
	"sync"
)

// LimitListener returns a listener that accepts at most maxOpen connections at once, including those whose last bytes are
// still being read. The server must be given its connections for ConnState to know them. Unlike with
// netutil.LimitListener, the sending side of a connection can be closed on its own.
func (t *ConnTracker) LimitListener(ln net.Listener, maxOpen int) net.Listener {
	return &limitListener{Listener: ln, tracker: t, slots: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// limitListener accepts a connection when one of its slots is free.
type limitListener struct {
	net.Listener
	tracker *ConnTracker
	slots   chan struct{} // holds one element for each open connection
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for a free slot and for a connection. It returns net.ErrClosed once the listener is closed.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	netConn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &clientConn{Conn: netConn, tracker: l.tracker, onClosed: func() { <-l.slots }}, nil
}

// Close closes the listener. Connections that it has accepted stay open.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
