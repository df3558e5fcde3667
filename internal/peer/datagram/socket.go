package datagram

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"gaugerelay/internal/metrics"
)

// waiting bounds the datagrams that wait to be written. What finds no room is lost, as any datagram may be.
const waiting = 256

// Socket reads and writes datagrams; who calls it never waits.
type Socket struct {
	conn    net.PacketConn
	metrics *metrics.Set
	out     chan sending
	done    chan struct{}
	ended   sync.WaitGroup
}

type sending struct {
	to net.Addr
	b  []byte
}

// Open begins to write and read; heard is called with each datagram, in one goroutine.
func Open(conn net.PacketConn, m *metrics.Set, heard func(b []byte)) *Socket {
	s := &Socket{conn: conn, metrics: m, out: make(chan sending, waiting), done: make(chan struct{})}
	s.ended.Go(func() {
		buf := make([]byte, 2*MaxSize) // a longer one is seen to be too long
		for {
			n, _, err := conn.ReadFrom(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // of an earlier write, such as one that was refused
				m.Add("fleet_read_errors", 1)
				continue
			}
			heard(buf[:n])
		}
	})
	s.ended.Go(func() {
		for {
			select {
			case <-s.done:
				return
			case x := <-s.out:
				if _, err := conn.WriteTo(x.b, x.to); err != nil {
					m.Add("fleet_write_errors", 1)
					continue
				}
				m.Add("fleet_datagrams_sent", 1)
				m.Add("fleet_bytes_sent", int64(len(x.b)))
			}
		}
	})
	return s
}

// Send writes a datagram, soon or never.
func (s *Socket) Send(to netip.AddrPort, b []byte) {
	select {
	case s.out <- sending{net.UDPAddrFromAddrPort(to), b}:
	default:
		s.metrics.Add("fleet_datagrams_unsent", 1)
	}
}

// Close ends both; it waits for them.
func (s *Socket) Close() {
	close(s.done)
	s.conn.Close()
	s.ended.Wait()
}
