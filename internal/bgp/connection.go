package bgp

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/logevent"
)

// received is a message from the peer, or the error that ended reading from the connection.
type received struct {
	messageType uint8
	body        []byte
	err         error
}

// runSession runs a session on conn until the session ends, and closes conn. It returns whether the session was
// established, and the reason for its end.
func (s *Speaker) runSession(ctx context.Context, conn net.Conn) (established bool, err error) {
	options := s.options
	if local, err := netip.ParseAddrPort(conn.LocalAddr().String()); err == nil && !options.NextHop.IsValid() {
		options.NextHop = local.Addr()
	}
	messages, stopReading := startReading(conn)
	defer stopReading()
	session := &session{options: &options, ready: s.ready}
	session.start(s.clock.NowMs())
	for {
		s.writeOutgoing(conn, session)
		if session.state == stateIdle {
			return established, session.endReason
		}
		timer, stopTimer := s.startTimer(session.nextTimerMs())
		select {
		case message := <-messages:
			s.handleReceived(session, message)
			if !established && session.state == stateEstablished {
				established = true
				s.metrics.Add(sessionsEstablished, 1)
				slog.Info(logevent.BGPSession, logevent.Peer, options.PeerAddress, logevent.State, "established")
			}
		case s.ready = <-s.readiness:
			session.setReady(s.ready)
		case <-timer:
			session.handleTimers(s.clock.NowMs())
		case <-ctx.Done():
			session.endWithNotification(ctx.Err(), bgp.BGP_ERROR_CEASE, bgp.BGP_ERROR_SUB_ADMINISTRATIVE_SHUTDOWN, nil)
		}
		stopTimer()
	}
}

// startReading starts a goroutine that reads messages and sends them to the returned channel, up to and including the first
// read error. stop closes the connection and waits for the goroutine.
func startReading(conn net.Conn) (messages <-chan received, stop func()) {
	channel, stopped := make(chan received), make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		for {
			var next received
			next.messageType, next.body, next.err = readMessage(conn)
			select {
			case channel <- next:
			case <-stopped:
				return
			}
			if next.err != nil {
				return
			}
		}
	})
	return channel, func() {
		conn.Close()
		close(stopped)
		reader.Wait()
	}
}

// handleReceived passes a received message or a read error to the session.
func (s *Speaker) handleReceived(session *session, message received) {
	s.metrics.Add(messagesReceived, 1)
	if message.err != nil {
		session.fail(message.err)
		return
	}
	session.handleMessage(s.clock.NowMs(), message.messageType, message.body)
}

// writeOutgoing writes the session's outgoing messages to conn. A write error ends the session.
func (s *Speaker) writeOutgoing(conn net.Conn, session *session) {
	for _, message := range session.outgoing {
		if err := writeMessage(conn, message); err != nil {
			session.end(err)
			break
		}
		s.metrics.Add(messagesSent, 1)
		if message.Header.Type == bgp.BGP_MSG_UPDATE {
			slog.Info(logevent.BGPAnnounced, logevent.Peer, s.options.PeerAddress, logevent.Announced, session.announced)
		}
	}
	session.outgoing = nil
}

// writeMessage encodes a message and writes it within writeTimeout.
func writeMessage(conn net.Conn, message *bgp.BGPMessage) error {
	encoded, err := message.Serialize()
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = conn.Write(encoded)
	return err
}

// startTimer returns a channel that is closed when the clock reaches atMs. If atMs is 0 the channel is nil, so that no
// receive from it completes. The caller must call stop.
func (s *Speaker) startTimer(atMs float64) (fired <-chan struct{}, stop func()) {
	if atMs <= 0 {
		return nil, func() {}
	}
	return clock.After(s.clock, atMs-s.clock.NowMs())
}
