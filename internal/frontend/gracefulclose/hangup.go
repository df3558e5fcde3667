// Package hangup closes clients' connections without taking their last answers away.
package gracefulclose

import (
	"io"
	"net"
	"time"
)

// TimeoutMs is how long a connection whose sending has ended is read on, so that its client can take the last answer and
// end it. It is as long as an answer may be late and still be one, by the platform's word.
const TimeoutMs = 500

// CloseWrite ends the sending alone. False: it cannot be ended alone, or has been.
func CloseWrite(nc net.Conn) bool {
	half, ok := nc.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Close ends the sending, reads on until the client has ended its own, for CloseMs at most, and closes the connection.
// Closed over bytes that have not been read it would be reset, and the last answer lost where the client has not got it
// yet. Nobody else may read it meanwhile.
func Close(nc net.Conn) {
	if CloseWrite(nc) {
		nc.SetReadDeadline(time.Now().Add(TimeoutMs * time.Millisecond))
		io.Copy(io.Discard, nc)
	}
	nc.Close()
}
