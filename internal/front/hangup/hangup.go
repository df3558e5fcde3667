// Package hangup sees clients hang up, and hangs up on them without taking their last answers away.
package hangup

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseMs is how long a connection whose sending has ended is read on, so that its client can take the last answer and
// end it. It is as long as an answer may be late and still be one, by the platform's word.
const CloseMs = 500

// Seen tells whether the client has ended its sending or reset the connection, also behind bytes that nobody has read: a
// reader that waits for room, or for an answer, sees such an end too late. Where the connection is none of the system's
// it tells nothing.
func Seen(nc net.Conn) (yes bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		yes = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return yes || err != nil
}

// EndSending ends the sending alone. False: it cannot be ended alone, or has been.
func EndSending(nc net.Conn) bool {
	half, ok := nc.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Close ends the sending, reads on until the client has ended its own, for CloseMs at most, and closes the connection.
// Closed over bytes that have not been read it would be reset, and the last answer lost where the client has not got it
// yet. Nobody else may read it meanwhile.
func Close(nc net.Conn) {
	if EndSending(nc) {
		nc.SetReadDeadline(time.Now().Add(CloseMs * time.Millisecond))
		io.Copy(io.Discard, nc)
	}
	nc.Close()
}
