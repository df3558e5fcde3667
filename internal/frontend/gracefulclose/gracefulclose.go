// Package gracefulclose closes client connections without losing the last response.
//
// The package has no state and starts no goroutine.
package gracefulclose

import (
	"io"
	"net"
	"time"
)

// TimeoutMs is how long, in milliseconds, a connection is read after its sending side was closed, so that the client can
// receive the last response and close its own side. It equals the delay that the platform allows for a response.
const TimeoutMs = 500

// CloseWrite closes the sending side of a connection. It returns false if the connection does not support that, or if closing
// fails, as it does on a closed connection.
func CloseWrite(conn net.Conn) bool {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	return ok && halfCloser.CloseWrite() == nil
}

// Close closes the sending side of a connection, reads until the client has closed its own side, but for at most TimeoutMs, and
// then closes the connection. The kernel resets a connection that is closed with unread bytes, and a client that has not yet
// received the last response would lose it. Close blocks, and no other goroutine may read from the connection during the call.
func Close(conn net.Conn) {
	if CloseWrite(conn) {
		conn.SetReadDeadline(time.Now().Add(TimeoutMs * time.Millisecond))
		_, _ = io.Copy(io.Discard, conn) // an error ends the wait just as EOF does
	}
	conn.Close()
}
