// Package accept keeps listeners accepting. On Linux accept fails temporarily for many reasons: the connection broke before it
// was accepted (ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ...), or a resource is exhausted (EMFILE, ENFILE, ENOBUFS,
// ENOMEM). None of them ends a listener; only Close does.
//
// The package starts no goroutine. A Listener's Accept may wait on the goroutine of its caller.
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
	// minBackoffMs is the wait after the first failure.
	minBackoffMs = 1.0
	// maxBackoffMs bounds the waits after further ones.
	maxBackoffMs = 10.0
	// maxBackoffFraction bounds them, too, as a part of the shortest deadline.
	maxBackoffFraction = 0.02
)

// acceptsFailedPrefix begins the names of counters of failures; the name of the error follows.
const acceptsFailedPrefix = "accepts_failed_"

// Listener is a listener whose Accept fails only once it is closed.
type Listener struct {
	net.Listener
	clock        clock.Clock
	metrics      *metrics.Registry
	maxBackoffMs float64
	onDelay      func(fromMs, toMs float64)

	once   sync.Once
	closed chan struct{}
}

// Wrap returns a Listener that accepts from ln. Its waits after failures double up to a small part of the shortest deadline.
// onDelay is called by Accept with each span of the clock in which accepts failed, once one has succeeded: what arrived
// meanwhile has waited since.
func Wrap(ln net.Listener, clk clock.Clock, registry *metrics.Registry, shortestDeadlineMs float64,
	onDelay func(fromMs, toMs float64)) *Listener {
	return &Listener{
		Listener:     ln,
		clock:        clk,
		metrics:      registry,
		maxBackoffMs: max(minBackoffMs, min(maxBackoffMs, maxBackoffFraction*shortestDeadlineMs)),
		onDelay:      onDelay,
		closed:       make(chan struct{}),
	}
}

// Accept returns the next connection, or net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	backoffMs, failedSinceMs := 0.0, 0.0
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if failedSinceMs != 0 {
				l.onDelay(failedSinceMs, l.clock.NowMs())
			}
			return conn, nil
		}
		if l.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		l.metrics.Add(acceptsFailedPrefix+errnoName(err), 1)
		if isConnError(err) {
			continue // the next connection is not affected
		}
		if failedSinceMs == 0 {
			failedSinceMs = l.clock.NowMs()
		}
		backoffMs = min(max(2*backoffMs, minBackoffMs), l.maxBackoffMs)
		l.wait(backoffMs)
	}
}

// Close closes the listener and ends a wait of Accept. It may be called from any goroutine.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isClosed reports whether Close was called.
func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// wait returns after the given time, or when the listener is closed.
func (l *Listener) wait(ms float64) {
	elapsed, stop := clock.After(l.clock, ms)
	defer stop()
	select {
	case <-elapsed:
	case <-l.closed:
	}
}

// isConnError reports whether an accept failed because of the connection that it would have returned, or was interrupted.
func isConnError(err error) bool {
	return errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}

// errnoName returns the name of a system error, or "other" if it is none.
func errnoName(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if name := unix.ErrnoName(errno); name != "" {
			return name
		}
	}
	return "other"
}
