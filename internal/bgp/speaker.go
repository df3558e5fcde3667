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

	// minRetryDelayMs is the delay before a new connection attempt, at first and after the end of an established session. After
	// each attempt that establishes no session, the delay doubles, up to maxRetryDelayMs.
	minRetryDelayMs = 5_000
	maxRetryDelayMs = 60_000

	// minJitter is the smallest factor by which the duration of a timer is multiplied. The factor is random and at most 1
	// (RFC 4271, 10).
	minJitter = 0.75

	// readinessQueueSize is the number of calls of SetReady that can wait for Run. Further calls block.
	readinessQueueSize = 16
)

// Names of counters.
const (
	messagesReceived    = "bgp_messages_received"
	messagesSent        = "bgp_messages_sent"
	sessionsEnded       = "bgp_sessions_ended"
	sessionsEstablished = "bgp_sessions_established"
)

// Speaker maintains a session with the peer: it opens a new one when a session ends.
type Speaker struct {
	options   Options
	clock     clock.Clock
	metrics   *metrics.Registry
	readiness chan bool
	done      chan struct{} // closed when Run returns
	dial      func(ctx context.Context) (net.Conn, error)

	ready bool // last value received from the channel readiness; used only in Run's goroutine
}

// New returns a speaker that announces nothing until SetReady(true) is called. Run must be called once.
func New(options Options, clk clock.Clock, registry *metrics.Registry) *Speaker {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Speaker{
		options:   options,
		clock:     clk,
		metrics:   registry,
		readiness: make(chan bool, readinessQueueSize),
		done:      make(chan struct{}),
		dial: func(ctx context.Context) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", options.PeerAddress)
		},
	}
}

// SetReady announces the prefixes if ready is true, and withdraws them otherwise. It may be called from any goroutine. It
// has no effect after Run has returned.
func (s *Speaker) SetReady(ready bool) {
	select {
	case s.readiness <- ready:
	case <-s.done:
	}
}

// Run maintains a session with the peer until ctx is done. It then ends the session with a Cease NOTIFICATION and returns.
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
		s.metrics.Add(sessionsEnded, 1)
		slog.Warn(logevent.BGPSession, logevent.Peer, s.options.PeerAddress, logevent.State, "ended",
			logevent.Error, err, logevent.RetryWithinMs, retryDelayMs)
		s.waitForRetry(ctx, retryDelayMs)
		retryDelayMs = min(2*retryDelayMs, maxRetryDelayMs)
	}
}

// Wait returns after Run has returned.
func (s *Speaker) Wait() { <-s.done }

// connect opens a connection and runs a session on it until the session ends. It returns whether the session was
// established, and the reason for its end.
func (s *Speaker) connect(ctx context.Context) (established bool, err error) {
	conn, err := s.dial(ctx)
	if err != nil {
		return false, err
	}
	return s.runSession(ctx, conn)
}

// waitForRetry waits for delayMs with jitter, or until ctx is done. Meanwhile it receives changes of readiness.
func (s *Speaker) waitForRetry(ctx context.Context, delayMs float64) {
	due, stop := clock.After(s.clock, withJitter(delayMs))
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

// withJitter returns a random duration between minJitter*ms and ms.
func withJitter(ms float64) float64 {
	return ms * (minJitter + (1-minJitter)*rand.Float64())
}
