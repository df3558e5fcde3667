package sftpserver

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/sftpwire"
)

// Timeouts of a connection.
const (
	// firstPacketTimeout bounds the time from the connecting to the end of the first packet.
	firstPacketTimeout = 2700 * time.Millisecond
	// idleTimeout bounds the time between two packets.
	idleTimeout = 5 * time.Minute
	// packetTimeout bounds the time between two reads within a packet, and the time of a write.
	packetTimeout = 10 * time.Second
)

// packetHeaderSize is the size of the length and the type at the start of a packet.
const packetHeaderSize = 5

var errOversizedPacket = errors.New("packet over the limit")

// packetTracker follows the packets in a stream of bytes.
type packetTracker struct {
	header    []byte // of the current packet, as far as it has arrived
	remaining int    // bytes of the current packet that follow the header and have not arrived
	packets   int    // packets that have arrived to their last byte
}

// advance takes the next bytes of the stream. After an error, the tracker cannot be used any more.
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
			t.packets++
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
		return errOversizedPacket
	}
	t.remaining = int(length) - 1 // the type has arrived with the header
	return nil
}

// truncated reports whether the stream so far ends inside a packet, and the type of that packet, or 0 if it has not arrived.
func (t *packetTracker) truncated() (ok bool, packetType byte) {
	if len(t.header) == packetHeaderSize {
		return true, t.header[packetHeaderSize-1]
	}
	return len(t.header) > 0, 0
}

// conn is a client's connection. It enforces the timeouts and the limit of packets, counts the packets in both directions, and
// reports at once when the client disconnects.
type conn struct {
	net.Conn
	onDisconnect func() // called with mu held, possibly more than once
	acceptedAt   time.Time
	received     packetTracker // belongs to the reading goroutine until that has ended

	mu            sync.Mutex
	changed       sync.Cond
	sent          packetTracker
	receivedCount int // packets that were received to their last byte
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
	n, err := c.Conn.Read(data)
	if trackErr := c.received.advance(data[:n]); trackErr != nil {
		n, err = 0, trackErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedCount = c.received.packets
	// A client that closes its sending side counts as disconnected. During a drain, the error may be the server's own.
	if err != nil && !c.draining {
		c.disconnectLocked()
	}
	return n, err
}

// setReadDeadline sets the deadline of the next read, unless reading has been stopped.
func (c *conn) setReadDeadline() {
	timeout := idleTimeout
	if truncated, _ := c.received.truncated(); truncated {
		timeout = packetTimeout
	}
	deadline := time.Now().Add(timeout)
	if c.received.packets == 0 { // one deadline, so that single bytes do not extend it
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
	_ = c.sent.advance(data[:n]) // the library writes no packets over the limit
	if err != nil {
		c.disconnectLocked()
	}
	c.changed.Broadcast()
	return n, err
}

// Close is called by the library when it reads no more. It closes the sending side only, where that is possible: serveConn
// closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.disconnectLocked()
	c.mu.Unlock()
	if !gracefulclose.CloseWrite(c.Conn) {
		return c.Conn.Close()
	}
	return c.SetReadDeadline(time.Now())
}

// abort closes the connection at once. It also reports the disconnect itself, since nobody may be reading: the library stops
// reading while many commands wait.
func (c *conn) abort() {
	c.mu.Lock()
	c.disconnectLocked()
	c.mu.Unlock()
	c.Conn.Close()
}

// disconnectLocked records that no further response reaches the client. The caller holds c.mu.
func (c *conn) disconnectLocked() {
	c.disconnected = true
	c.onDisconnect()
	c.changed.Broadcast()
}

// stopReading ends the reading. The commands that were received to their last byte are still answered, since RequestServer
// waits for its workers.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.SetReadDeadline(time.Now())
}

// waitForResponses waits until each packet that was received to its last byte has its response written, or the client has
// disconnected. RequestServer returns when its workers have ended, while its writer may still hold their responses.
func (c *conn) waitForResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.disconnected && c.sent.packets < c.receivedCount {
		c.changed.Wait()
	}
}
