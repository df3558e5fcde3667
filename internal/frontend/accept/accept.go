// Package accept provides a listener that retries failed accepts. On Linux accept fails temporarily for many reasons: the
// connection broke before it was accepted (ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ...), or a resource is exhausted
// (EMFILE, ENFILE, ENOBUFS, ENOMEM). The listener stays usable after all of them, until Close is called.
//
// The package starts no goroutine. A Listener's Accept blocks its caller during the delay before a retry.
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
	// minBackoffMs is the delay before the first retry, in milliseconds.
	minBackoffMs = 1.0
	// maxBackoffMs limits the delay before a retry, in milliseconds.
	maxBackoffMs = 10.0
	// maxBackoffFraction limits the delay before a retry to this fraction of the shortest request deadline.
	maxBackoffFraction = 0.02
)

// acceptsFailedPrefix is the first part of the names of failure counters. The name of the system error follows it.
const acceptsFailedPrefix = "accepts_failed_"

// Listener is a listener whose Accept returns an error only after Close.
type Listener struct {
	net.Listener
	clock        clock.Clock
	metrics      *metrics.Registry
	maxBackoffMs float64
	onDelay      func(fromMs, toMs float64)

	closeOnce sync.Once
	closed    chan struct{}
}

// Wrap returns a Listener that accepts from ln. The delay before a retry starts at minBackoffMs and doubles with each failure, up to
// the smaller of maxBackoffMs and maxBackoffFraction of shortestDeadlineMs. When an accept succeeds after at least one delay, Accept
// calls onDelay with the time of the first failure that caused a delay and the current time: a connection that arrived in between
// may have waited in the kernel's queue until now.
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
		if isConnectionError(err) {
			continue // the error does not affect the next accept, so no delay is needed
		}
		if failedSinceMs == 0 {
			failedSinceMs = l.clock.NowMs()
		}
		backoffMs = min(max(2*backoffMs, minBackoffMs), l.maxBackoffMs)
		l.wait(backoffMs)
	}
}

// Close closes the listener and makes a blocked Accept return. It may be called from any goroutine.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SyscallConn implements syscall.Conn if the wrapped listener does.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// wait blocks for the given time, or until the listener is closed.
func (l *Listener) wait(ms float64) {
	elapsed, stop := clock.After(l.clock, ms)
	defer stop()
	select {
	case <-elapsed:
	case <-l.closed:
	}
}

// isConnectionError reports whether accept failed only for the connection that it would have returned, or was interrupted by a
// signal. The accept can then be retried without a delay.
func isConnectionError(err error) bool {
	return errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}

// errnoName returns the name of a system error, such as EMFILE, or "other" for any other error.
func errnoName(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if name := unix.ErrnoName(errno); name != "" {
			return name
		}
	}
	return "other"
}
