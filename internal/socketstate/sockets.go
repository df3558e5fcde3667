// Package sockets asks the system about connections without reading from them. Of connections that are none of the
// system's it knows nothing.
package socketstate

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// control calls f with the connection's descriptor, if it has one. An error: it is closed.
func control(nc net.Conn, f func(fd int)) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// HasUnreadData tells whether bytes have come that nobody has read, or that none will come any more: io.EOF, or the system's
// error.
func HasUnreadData(nc net.Conn) (bytes bool, err error) {
	var found error
	err = control(nc, func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
		case err != nil:
			found = err
		case n == 0:
			found = io.EOF
		default:
			bytes = true
		}
	})
	if err == nil {
		err = found
	}
	return bytes, err
}

// PeerClosed tells whether the other side has ended its sending or reset the connection, also behind bytes that nobody has
// read: a reader that waits for room, or for an answer, sees such an end too late.
func PeerClosed(nc net.Conn) bool {
	yes := false
	err := control(nc, func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		yes = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return yes || err != nil
}
