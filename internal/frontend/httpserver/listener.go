package httpserver

import (
	"net"
	"sync"
)

// ConnBytes is the memory of a client's connection without a request: buffers and stacks.
const ConnBytes = 24 << 10

// LimitListener returns a listener that accepts a connection only while fewer than maxOpen of its connections are open, including
// those that wait for their clients to close. The http.Server must serve this listener: ConnState ignores other connections.
// netutil.LimitListener is not suitable, because the sending side of its connections cannot be closed alone.
func (t *ConnTracker) LimitListener(ln net.Listener, maxOpen int) net.Listener {
	return &limitListener{Listener: ln, tracker: t, slots: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// limitListener is the listener that LimitListener returns.
type limitListener struct {
	net.Listener
	tracker *ConnTracker
	slots   chan struct{} // contains one element for each open connection; its capacity is the limit
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for a free slot and then for a connection. It returns net.ErrClosed once the listener is closed.
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
	conn := &clientConn{Conn: netConn, tracker: l.tracker, account: l.tracker.Budget.NewAccount(), bodyLeft: unknownLength,
		acceptedAtMs: l.tracker.Clock.NowMs(), onClosed: func() { <-l.slots }}
	conn.account.Force(ConnBytes)
	return conn, nil
}

// Close closes the listener. Connections that it has accepted stay open.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
