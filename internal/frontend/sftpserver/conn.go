package sftpserver

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/workbudget"
)

// Timeouts of a connection.
const (
	// firstPacketTimeout bounds the time from accepting the connection to the end of the first packet.
	firstPacketTimeout = 2700 * time.Millisecond
	// idleTimeout bounds the time between two packets.
	idleTimeout = 5 * time.Minute
	// packetTimeout bounds the time between two reads within a packet, and the duration of a write.
	packetTimeout = 10 * time.Second
)

// packetHeaderSize is the size in bytes of the length and the type at the start of a packet.
const packetHeaderSize = 5

var (
	errPacketLength = errors.New("SFTP packet length is out of range")
	errTooMuchWork  = errors.New("the client sends more SFTP packets than the gateway handles")
)

// packetTracker tracks the boundaries of packets in a byte stream.
type packetTracker struct {
	header          []byte // the part of the current packet's header that has arrived
	remaining       int    // bytes after the header of the current packet that have not arrived yet
	completePackets int    // number of packets that have arrived completely
	begunPackets    int    // number of packets whose header has arrived
	packetType      byte   // type of the last of these
	packetSize      int    // size of the last of these in bytes, with its length
}

// advance processes the next bytes of the stream. The tracker must not be used after an error.
func (t *packetTracker) advance(data []byte) error {
	for len(data) > 0 {
		if len(t.header) < packetHeaderSize {
			t.header = append(t.header, data[0])
			data = data[1:]
			if err := t.checkHeader(); err != nil {
				return err
			}
		} else {
			n := min(t.remaining, len(data))
			t.remaining -= n
			data = data[n:]
		}
		if len(t.header) == packetHeaderSize && t.remaining == 0 {
			t.header = t.header[:0]
			t.completePackets++
		}
	}
	return nil
}

// checkHeader checks the length of the current packet once the header has arrived.
func (t *packetTracker) checkHeader() error {
	if len(t.header) < packetHeaderSize {
		return nil
	}
	length := binary.BigEndian.Uint32(t.header)
	if length < 1 || length > sftpwire.MaxPacket {
		return errPacketLength
	}
	t.remaining = int(length) - 1 // the length includes the type, which has arrived with the header
	t.begunPackets++
	t.packetType, t.packetSize = t.header[packetHeaderSize-1], packetHeaderSize+t.remaining
	return nil
}

// truncated reports whether the stream so far ends inside a packet. packetType is the type of that packet, or 0 if the type has
// not arrived.
func (t *packetTracker) truncated() (ok bool, packetType byte) {
	if len(t.header) == packetHeaderSize {
		return true, t.header[packetHeaderSize-1]
	}
	return len(t.header) > 0, 0
}

// conn is a client's connection. It enforces the timeouts and the size limit of packets, counts the packets in both directions,
// and reports a disconnect of the client at once.
type conn struct {
	net.Conn
	memory       packetMemory
	work         *workbudget.Account // work that the connection causes
	onDisconnect func()              // called with mu held when the client has disconnected, possibly more than once
	acceptedAt   time.Time
	received     packetTracker // used only by the reading goroutine until that goroutine has ended

	mu            sync.Mutex
	changed       sync.Cond // uses mu; signaled after a write and when the client has disconnected
	sent          packetTracker
	receivedCount int // number of packets that were received completely
	disconnected  bool
	draining      bool
}

func newConn(accepted net.Conn, onDisconnect func()) *conn {
	c := &conn{Conn: accepted, onDisconnect: onDisconnect, acceptedAt: time.Now()}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	c.setReadDeadline()
	packetsBefore := c.received.completePackets
	n, err := c.readPaced(data)
	if trackErr := c.received.advance(data[:n]); trackErr != nil {
		n, err = 0, trackErr
	}
	if memoryErr := c.memory.received(&c.received, n); memoryErr != nil {
		n, err = 0, memoryErr
	}
	packets := c.received.completePackets - packetsBefore
	c.work.Charge(workbudget.Read + workbudget.Bytes(n) + workbudget.Work(packets)*workbudget.Request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedCount = c.received.completePackets
	switch {
	case err == nil:
	case c.draining: // stopReading makes reads fail by an expired deadline, so the error does not show a disconnect
		c.waitForResponsesLocked()
	default: // a client that closes its sending side is considered disconnected
		c.disconnectLocked()
	}
	return n, err
}

// readPaced reads from the connection once the client may cause more work. The deadline of the read has been set before the wait, which is
// short compared with it.
func (c *conn) readPaced(data []byte) (int, error) {
	if !c.work.AwaitRead() {
		c.memory.metrics.Add(connectionsTooMuchWork, 1)
		return 0, errTooMuchWork
	}
	return c.Conn.Read(data)
}

// setReadDeadline sets the deadline of the next read, unless reading has been stopped.
func (c *conn) setReadDeadline() {
	timeout := idleTimeout
	if truncated, _ := c.received.truncated(); truncated {
		timeout = packetTimeout
	}
	deadline := time.Now().Add(timeout)
	if c.received.completePackets == 0 { // a fixed deadline, which bytes that arrive one by one do not extend
		deadline = c.acceptedAt.Add(firstPacketTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.SetReadDeadline(deadline)
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(packetTimeout))
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.sent.advance(data[:n]) // cannot fail: the library writes only packets of a valid length
	c.memory.responded(c.sent.completePackets)
	if err != nil {
		c.disconnectLocked()
	}
	c.changed.Broadcast()
	return n, err
}

// Close implements net.Conn. The library calls it when it stops reading. Close records a disconnect and closes only the sending
// side, because serveConn closes the connection afterwards. If the sending side cannot be closed alone, Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.disconnectLocked()
	c.mu.Unlock()
	if !gracefulclose.CloseWrite(c.Conn) {
		return c.Conn.Close()
	}
	return c.SetReadDeadline(time.Now())
}

// abort closes the connection at once. It also reports the disconnect itself and does not rely on Read to do so: the library calls
// no Read while many commands are waiting.
func (c *conn) abort() {
	c.mu.Lock()
	c.disconnectLocked()
	c.mu.Unlock()
	c.Conn.Close()
}

// disconnectLocked records that the client can receive no further response. The caller holds c.mu.
func (c *conn) disconnectLocked() {
	c.disconnected = true
	c.onDisconnect()
	c.changed.Broadcast()
}

// stopReading ends reading from the client. Commands that were received completely are still answered, since Read returns its error
// only after that.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.SetReadDeadline(time.Now())
}

// waitForResponsesLocked waits until the response to each completely received packet has been written, or the client has
// disconnected. This is needed before the library learns that reading has ended: its writer then drops the responses that it still
// holds. The caller holds c.mu.
func (c *conn) waitForResponsesLocked() {
	for !c.disconnected && c.sent.completePackets < c.receivedCount {
		c.changed.Wait()
	}
}
