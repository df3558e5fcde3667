package bgp

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
)

const (
	dialTimeout  = 5 * time.Second
	writeTimeout = 5 * time.Second

	// The delay before the next connection is doubled after each one on which no session was established.
	minRetryDelayMs = 5_000
	maxRetryDelayMs = 60_000

	// Timers run for this part of their time to all of it, at random (RFC 4271, 10).
	minJitter = 0.75

	readinessQueue = 16 // calls of SetReady that do not wait for Run
)

// Speaker keeps a session with the peer, and opens a new one when it ends.
type Speaker struct {
	options   Options
	clock     clock.Clock
	metrics   *metrics.Registry
	readiness chan bool
	done      chan struct{} // closed when Run has returned
	dial      func(ctx context.Context) (net.Conn, error)

	ready bool // the last value from readiness; only Run's goroutine uses it
}

// New returns a speaker that announces nothing until SetReady. Run must be called once.
func New(options Options, clk clock.Clock, registry *metrics.Registry) *Speaker {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Speaker{
		options:   options,
		clock:     clk,
		metrics:   registry,
		readiness: make(chan bool, readinessQueue),
		done:      make(chan struct{}),
		dial: func(ctx context.Context) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", options.PeerAddress)
		},
	}
}

// SetReady announces the prefixes if ready is set, and withdraws them otherwise. It may be called from any goroutine, and
// does nothing after Run has returned.
func (s *Speaker) SetReady(ready bool) {
	select {
	case s.readiness <- ready:
	case <-s.done:
	}
}

// Run keeps a session with the peer until ctx ends; then it ends the session with a Cease and returns.
func (s *Speaker) Run(ctx context.Context) {
	defer close(s.done)
	retryDelayMs := float64(minRetryDelayMs)
	for ctx.Err() == nil {
		established, err := s.connect(ctx)
		if established {
			retryDelayMs = minRetryDelayMs
		}
		if ctx.Err() != nil {
			return
		}
		s.metrics.Add("bgp_sessions_ended", 1)
		slog.Warn(logevent.BGPSession, "peer", s.options.PeerAddress, "state", "ended",
			logevent.Error, err, "retry_within_ms", retryDelayMs)
		s.waitForRetry(ctx, retryDelayMs)
		retryDelayMs = min(2*retryDelayMs, maxRetryDelayMs)
	}
}

// Wait returns after Run has returned.
func (s *Speaker) Wait() { <-s.done }

// connect opens a connection and runs a session on it to its end. It returns whether the session was established, and
// why it ended.
func (s *Speaker) connect(ctx context.Context) (established bool, err error) {
	conn, err := s.dial(ctx)
	if err != nil {
		return false, err
	}
	return s.runSession(ctx, conn)
}

// waitForRetry waits for the delay with jitter, or until ctx ends.
func (s *Speaker) waitForRetry(ctx context.Context, delayMs float64) {
	due := make(chan struct{})
	stop := s.clock.AfterFunc(withJitter(delayMs), func() { close(due) })
	defer stop()
	for {
		select {
		case <-due:
			return
		case s.ready = <-s.readiness:
		case <-ctx.Done():
			return
		}
	}
}

// withJitter returns a random time from minJitter of ms to all of it.
func withJitter(ms float64) float64 {
	return ms * (minJitter + (1-minJitter)*rand.Float64())
}
