// Package bgp announces the service's addresses to one router by BGP (RFC 4271) while the gateway is ready, and
// withdraws them when it drains.
//
// It is a small speaker: it opens the connection and takes none, so that no two can collide; it announces IPv4
// addresses and keeps no routes of the peer. Messages are coded by gobgp's packet package, which adds 0.6 MB to
// the program; gobgp's server would bring gRPC with it.
package bgp

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
)

const (
	dialTime   = 5 * time.Second
	writeTime  = 5 * time.Second
	retryMs    = 5_000 // before the next connection, doubled up to retryMaxMs while none gets established
	retryMaxMs = 60_000
)

// Speaker holds the session with the peer, and sets it up anew when it ends.
type Speaker struct {
	opt     Options
	clock   clock.Clock
	metrics *metrics.Registry
	ready   chan bool
	done    chan struct{}
	dial    func(ctx context.Context) (net.Conn, error)
}

// New returns a speaker; Run starts it.
func New(opt Options, c clock.Clock, m *metrics.Registry) *Speaker {
	d := net.Dialer{Timeout: dialTime}
	return &Speaker{opt: opt, clock: c, metrics: m, ready: make(chan bool, 16), done: make(chan struct{}),
		dial: func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", opt.PeerAddress) }}
}

// SetReady announces the addresses, or withdraws them.
func (s *Speaker) SetReady(ready bool) {
	select {
	case s.ready <- ready:
	case <-s.done:
	}
}

// Run speaks until ctx ends; then it ends the session with a Cease.
func (s *Speaker) Run(ctx context.Context) {
	defer close(s.done)
	wait, want := float64(retryMs), false
	for ctx.Err() == nil {
		c, err := s.dial(ctx)
		if err == nil {
			var up bool
			if up, err = s.session(ctx, c, &want); up {
				wait = retryMs
			}
		}
		if ctx.Err() != nil {
			return
		}
		s.metrics.Add("bgp_sessions_ended", 1)
		slog.Warn(logevent.BGPSession, "peer", s.opt.PeerAddress, "state", "ended", logevent.Error, err, "retry_within_ms", wait)
		due := make(chan struct{})
		stop := s.clock.AfterFunc(wait*(0.75+0.25*rand.Float64()), func() { close(due) })
		wait = min(2*wait, retryMaxMs)
		for waiting := true; waiting; {
			select {
			case <-due:
				waiting = false
			case want = <-s.ready:
			case <-ctx.Done():
				waiting = false
			}
		}
		stop()
	}
}

// message is one message of the peer, or the end of its connection.
type message struct {
	typ  uint8
	body []byte
	err  error
}

// session runs one session to its end. up tells whether it got established.
func (s *Speaker) session(ctx context.Context, c net.Conn, want *bool) (up bool, err error) {
	opt := s.opt
	if local, e := netip.ParseAddrPort(c.LocalAddr().String()); e == nil && !opt.NextHop.IsValid() {
		opt.NextHop = local.Addr()
	}
	in, over := make(chan message), make(chan struct{})
	defer close(over)
	defer c.Close()
	go func() {
		for {
			var m message
			m.typ, m.body, m.err = readMessage(c)
			select {
			case in <- m:
			case <-over:
				return
			}
			if m.err != nil {
				return
			}
		}
	}()
	ses := &session{opt: &opt, want: *want}
	ses.begin(s.clock.NowMs())
	for {
		for _, m := range ses.out {
			b, e := m.Serialize()
			if e == nil {
				c.SetWriteDeadline(time.Now().Add(writeTime))
				_, e = c.Write(b)
			}
			if e != nil {
				ses.end(e, 0, 0, nil)
				break
			}
			s.metrics.Add("bgp_messages_sent", 1)
			if m.Header.Type == bgp.BGP_MSG_UPDATE {
				slog.Info(logevent.BGPAnnounced, "peer", opt.PeerAddress, "announced", ses.announced)
			}
		}
		ses.out = nil
		if ses.state == Idle {
			return up, ses.why
		}
		tick, stop := make(chan struct{}), func() {}
		if at := ses.next(); at > 0 {
			stop = s.clock.AfterFunc(at-s.clock.NowMs(), func() { close(tick) })
		}
		select {
		case m := <-in:
			s.metrics.Add("bgp_messages_received", 1)
			if m.err != nil {
				ses.fail(m.err)
			} else {
				ses.message(s.clock.NowMs(), m.typ, m.body)
			}
			if !up && ses.state == Established {
				up = true
				s.metrics.Add("bgp_sessions_established", 1)
				slog.Info(logevent.BGPSession, "peer", opt.PeerAddress, "state", "established")
			}
		case *want = <-s.ready:
			ses.setReady(*want)
		case <-tick:
			ses.tick(s.clock.NowMs())
		case <-ctx.Done():
			ses.end(ctx.Err(), bgp.BGP_ERROR_CEASE, bgp.BGP_ERROR_SUB_ADMINISTRATIVE_SHUTDOWN, nil)
		}
		stop()
	}
}

// Wait returns once Run has ended.
func (s *Speaker) Wait() { <-s.done }
