// Package accept keeps listeners accepting. Linux lets accept fail for a moment for many reasons: the connection broke
// before it was accepted (ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ...), or something has run out (EMFILE, ENFILE,
// ENOBUFS, ENOMEM). None of them ends a listener; only its closing does.
package accept

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

const (
	firstPauseMs  = 1
	longestPause  = 10.0 // milliseconds
	pauseDeadline = 0.02 // of the shortest deadline: a pause is no longer
)

// Listener is a listener whose Accept fails only once it is closed.
type Listener struct {
	net.Listener
	clock   clock.Clock
	metrics *metrics.Registry
	mostMs  float64
	held    func(fromMs, toMs float64)

	once   sync.Once
	closed chan struct{}
}

// Wrap returns a listener round ln. Its pauses behind failures double up to a small part of the shortest deadline. held is
// told of each span in which accepts failed, once one has succeeded: what has come meanwhile has waited since.
func Wrap(ln net.Listener, c clock.Clock, m *metrics.Registry, shortestDeadlineMs float64, held func(fromMs, toMs float64)) *Listener {
	most := max(firstPauseMs, min(longestPause, pauseDeadline*shortestDeadlineMs))
	return &Listener{Listener: ln, clock: c, metrics: m, mostMs: most, held: held, closed: make(chan struct{})}
}

// Accept returns the next connection, or net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause, since := 0.0, 0.0; ; {
		nc, err := l.Listener.Accept()
		if err == nil {
			if since != 0 {
				l.held(since, l.clock.NowMs())
			}
			return nc, nil
		}
		if l.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		l.metrics.Add("accepts_failed_"+errnoName(err), 1)
		if broken(err) {
			continue // the next connection is not concerned
		}
		if since == 0 {
			since = l.clock.NowMs()
		}
		pause = min(max(2*pause, firstPauseMs), l.mostMs)
		l.wait(pause)
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// wait lets a pause pass, unless the listener is closed meanwhile.
func (l *Listener) wait(ms float64) {
	over := make(chan struct{})
	stop := l.clock.AfterFunc(ms, func() { close(over) })
	defer stop()
	select {
	case <-over:
	case <-l.closed:
	}
}

// broken tells whether an accept failed since the connection that it would have returned is broken already.
func broken(err error) bool {
	return errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}

// errnoName is the name of the system's error, for counters: "other" if it is none of its.
func errnoName(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if name := unix.ErrnoName(errno); name != "" {
			return name
		}
	}
	return "other"
}
