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

// frames follows the packets in a stream of bytes.
type frames struct {
	head []byte // of the present packet: its length and type, as far as they have come
	left int    // bytes of it still to come after those
	n    int    // whole packets so far
}

var errOversized = errors.New("packet over the limit")

// feed takes the next bytes of the stream.
func (f *frames) feed(p []byte) error {
	for len(p) > 0 {
		if len(f.head) < 5 {
			f.head = append(f.head, p[0])
			p = p[1:]
			if len(f.head) == 5 {
				n := binary.BigEndian.Uint32(f.head)
				if n < 1 || n > sftpwire.MaxPacket {
					return errOversized
				}
				f.left = int(n) - 1
			}
		} else {
			n := min(f.left, len(p))
			f.left -= n
			p = p[n:]
		}
		if len(f.head) == 5 && f.left == 0 {
			f.head = f.head[:0]
			f.n++
		}
	}
	return nil
}

// cut tells whether the stream has ended inside a packet, and of what type (0: not known yet).
func (f *frames) cut() (bool, byte) {
	if len(f.head) == 5 {
		return true, f.head[4]
	}
	return len(f.head) > 0, 0
}

// conn is a client's connection. It follows the packets in it, so that one cut off is seen and one too large is
// never read; it sets the times that a client has; and it tells at once when the client has gone.
type conn struct {
	net.Conn
	gone   func()
	opened time.Time
	in     frames // of the reading goroutine, and of others once that has ended

	mu     sync.Mutex
	change sync.Cond
	out    frames
	read   int // whole packets
	shut   bool
	ending bool
}

func newConn(nc net.Conn, gone func()) *conn {
	c := &conn{Conn: nc, gone: gone, opened: time.Now()}
	c.change.L = &c.mu
	return c
}

func (c *conn) Read(p []byte) (int, error) {
	wait := idleTime
	if cut, _ := c.in.cut(); cut {
		wait = packetTime
	}
	until := time.Now().Add(wait)
	if c.in.n == 0 { // counted from its connecting, however it dribbles
		until = c.opened.Add(firstTime)
	}
	c.mu.Lock()
	if !c.ending {
		c.SetReadDeadline(until)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if e := c.in.feed(p[:n]); e != nil {
		n, err = 0, e
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = c.in.n
	// A client that has closed its connection, or only its sending side, has gone away. On a stop it has not.
	if err != nil && !c.ending {
		c.lost()
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(packetTime))
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.feed(p[:n])
	if err != nil {
		c.lost()
	}
	c.change.Broadcast()
	return n, err
}

// Close is called where the library will read no more: the sending ends, and serve closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.lost()
	c.mu.Unlock()
	if !gracefulclose.CloseWrite(c.Conn) {
		return c.Conn.Close()
	}
	return c.SetReadDeadline(time.Now())
}

// cut closes the connection as it is. Its end may not be read: nobody reads while many commands wait.
func (c *conn) cut() {
	c.mu.Lock()
	c.lost()
	c.mu.Unlock()
	c.Conn.Close()
}

// lost notes that no answer reaches the client any more. c.mu is held.
func (c *conn) lost() {
	c.shut = true
	c.gone()
	c.change.Broadcast()
}

// endReading stops reading. What was read whole is still answered: RequestServer waits for its workers.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.SetReadDeadline(time.Now())
}

// drain waits until every packet read whole has its answer written, or the client is lost. It guards a stop:
// RequestServer returns when its workers have ended, while its writer may still hold their answers.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.shut && c.out.n < c.read {
		c.change.Wait()
	}
}
