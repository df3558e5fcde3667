// Package gracefulclose closes clients' connections without losing the last response.
//
// The package has no state and starts no goroutine.
package gracefulclose

import (
	"io"
	"net"
	"time"
)

// TimeoutMs is the time, in milliseconds, for which a connection is read after its sending side was closed, so that its client
// can receive the last response and close its own side. The platform allows a response to be late by as much.
const TimeoutMs = 500

// CloseWrite closes the sending side of a connection. It returns false if that can't be closed on its own, or has been.
func CloseWrite(conn net.Conn) bool {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	return ok && halfCloser.CloseWrite() == nil
}

// Close closes the sending side of a connection, reads until the client has closed its own, for TimeoutMs at most, and then
// closes the connection. If it were closed over unread bytes it would be reset, and a client that has not received the last
// response would lose it. Close blocks; nobody else may read from the connection meanwhile.
func Close(conn net.Conn) {
	if CloseWrite(conn) {
		conn.SetReadDeadline(time.Now().Add(TimeoutMs * time.Millisecond))
		_, _ = io.Copy(io.Discard, conn) // any error ends the wait, as the client's end does
	}
	conn.Close()
}
