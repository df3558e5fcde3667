package httpserver

import (
	"net"
	"sync"

	"gaugerelay/internal/socketstate"
)

// ConnBytes is the memory of a client's connection without a request: buffers and stacks.
const ConnBytes = 24 << 10

// LimitListener returns a listener that accepts a connection only while fewer than maxOpen of its connections are open, including
// those that wait for their clients to close. The http.Server must serve this listener: ConnState ignores other connections.
// netutil.LimitListener is not suitable, because the sending side of its connections cannot be closed alone.
func (t *ConnTracker) LimitListener(ln net.Listener, maxOpen int) net.Listener {
	return &limitListener{Listener: ln, tracker: t, slots: make(chan struct{}, maxOpen), closed: make(chan struct{}), hadToWait: true}
}

// limitListener is the listener that LimitListener returns.
type limitListener struct {
	net.Listener
	tracker *ConnTracker
	slots   chan struct{} // contains one element for each open connection; its capacity is the limit
	once    sync.Once
	closed  chan struct{}

	// The following fields are used only by the goroutine that accepts.

	queue     acceptQueue
	hadToWait bool // whether the last accept had to wait for a connection
}

// immediateAcceptMs is the time, in milliseconds, within which an accept returns if a connection waits for it.
const immediateAcceptMs = 0.1

// Accept waits for a free slot and then for a connection. It returns net.ErrClosed once the listener is closed.
func (l *limitListener) Accept() (net.Conn, error) {
	if !l.awaitSlot() {
		return nil, net.ErrClosed
	}
	startMs := l.tracker.Clock.NowMs()
	netConn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	nowMs := l.tracker.Clock.NowMs()
	l.hadToWait = nowMs-startMs > immediateAcceptMs
	conn := &clientConn{Conn: netConn, tracker: l.tracker, account: l.tracker.Budget.NewAccount(),
		work: l.tracker.Work.Open(netConn.RemoteAddr()), bodyLeft: unknownLength,
		acceptedAtMs: nowMs, connectedAtMs: l.queue.accepted(nowMs), onClosed: func() { <-l.slots }}
	conn.account.Force(ConnBytes)
	return conn, nil
}

// awaitSlot waits for a free slot and takes it. It returns false if the listener is closed. Unless the last accept had to wait for a
// connection, it looks at the number of connections that wait to be accepted: they may come faster than they are accepted.
func (l *limitListener) awaitSlot() bool {
	select {
	case l.slots <- struct{}{}:
		if l.queue.isWaiting() || !l.hadToWait {
			l.observeQueue()
		} else {
			l.queue.forget()
		}
		return true
	default:
	}
	l.observeQueue()
	select {
	case l.slots <- struct{}{}:
		l.observeQueue()
		return true
	case <-l.closed:
		return false
	}
}

// observeQueue tells the estimate how many connections wait to be accepted, if the system tells. If the process has just been paused, they
// may have come at any time since the beginning of the pause.
func (l *limitListener) observeQueue() {
	length, ok := socketstate.AcceptQueueLength(l.Listener)
	if !ok {
		return
	}
	nowMs := l.tracker.Clock.NowMs()
	if pauseMs := l.tracker.PauseDetector.EarliestArrival(nowMs); pauseMs < nowMs && !l.queue.isWaiting() {
		l.queue.forget()
		l.queue.observe(pauseMs, 0)
	}
	l.queue.observe(nowMs, length)
}

// Close closes the listener. Connections that it has accepted stay open.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
