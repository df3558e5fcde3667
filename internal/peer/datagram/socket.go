package datagram

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"gaugerelay/internal/metrics"
)

// maxQueued bounds the datagrams that wait to be written.
const maxQueued = 256

// Names of the counters of a Socket.
const (
	counterReadErrors      = "fleet_read_errors"
	counterWriteErrors     = "fleet_write_errors"
	counterDatagramsSent   = "fleet_datagrams_sent"
	counterDatagramsUnsent = "fleet_datagrams_unsent" // datagrams that were dropped because the queue was full
	counterBytesSent       = "fleet_bytes_sent"
)

// Socket sends and receives datagrams without blocking its callers.
type Socket struct {
	conn       net.PacketConn
	metrics    *metrics.Registry
	queue      chan outgoing
	closed     chan struct{}
	goroutines sync.WaitGroup
}

// outgoing is a datagram that waits to be written.
type outgoing struct {
	to       net.Addr
	datagram []byte
}

// Open starts to send and receive on a connection, which the returned Socket owns. One goroutine calls receive with each
// datagram in turn. The slice is only valid until receive returns.
func Open(conn net.PacketConn, counters *metrics.Registry, receive func(datagram []byte)) *Socket {
	s := &Socket{
		conn:    conn,
		metrics: counters,
		queue:   make(chan outgoing, maxQueued),
		closed:  make(chan struct{}),
	}
	s.goroutines.Go(func() { s.readLoop(receive) })
	s.goroutines.Go(s.writeLoop)
	return s
}

// readLoop receives datagrams until the connection is closed.
func (s *Socket) readLoop(receive func(datagram []byte)) {
	buffer := make([]byte, 2*MaxSize) // larger than MaxSize, so that a longer datagram is rejected instead of truncated to MaxSize
	for {
		n, _, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example an ICMP error in response to an earlier write
			s.metrics.Add(counterReadErrors, 1)
			continue
		}
		receive(buffer[:n])
	}
}

// writeLoop writes queued datagrams until the socket is closed.
func (s *Socket) writeLoop() {
	for {
		select {
		case <-s.closed:
			return
		case o := <-s.queue:
			s.write(o)
		}
	}
}

func (s *Socket) write(o outgoing) {
	if _, err := s.conn.WriteTo(o.datagram, o.to); err != nil {
		s.metrics.Add(counterWriteErrors, 1)
		return
	}
	s.metrics.Add(counterDatagramsSent, 1)
	s.metrics.Add(counterBytesSent, int64(len(o.datagram)))
}

// Send queues a datagram. It drops the datagram if the queue is full.
func (s *Socket) Send(to netip.AddrPort, datagram []byte) {
	select {
	case s.queue <- outgoing{to: net.UDPAddrFromAddrPort(to), datagram: datagram}:
	default:
		s.metrics.Add(counterDatagramsUnsent, 1)
	}
}

// Close closes the connection, drops queued datagrams and waits for the goroutines of the socket. It must be called only
// once.
func (s *Socket) Close() {
	close(s.closed)
	s.conn.Close()
	s.goroutines.Wait()
}
