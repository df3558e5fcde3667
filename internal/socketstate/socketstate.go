// Package socketstate asks the kernel about the state of a connection without reading from it.
//
// It knows nothing of connections that are not sockets, such as net.Pipe's: these have no unread data and are open. It
// keeps no state, runs no goroutine, and its functions are safe for concurrent use.
package socketstate

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnreadData reports whether bytes have arrived that nobody has read. If none have and none will, it returns io.EOF or
// the error of the socket. It does not block.
func HasUnreadData(conn net.Conn) (bool, error) {
	var unread bool
	var readErr error
	err := withDescriptor(conn, func(descriptor int) { unread, readErr = peek(descriptor) })
	if err != nil {
		return unread, err
	}
	return unread, readErr
}

// peek is HasUnreadData for the descriptor of a socket.
func peek(descriptor int) (unread bool, err error) {
	n, _, err := unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false, nil
	case err != nil:
		return false, err
	case n == 0:
		return false, io.EOF
	default:
		return true, nil
	}
}

// PeerClosed reports whether the peer has shut down its sending side or reset the connection, also if bytes are unread
// before that: a reader that waits for something else first would notice too late. A connection that is closed on this
// side counts as closed. PeerClosed does not block.
func PeerClosed(conn net.Conn) bool {
	closed := false
	err := withDescriptor(conn, func(descriptor int) { closed = pollHangup(descriptor) })
	return closed || err != nil
}

// pollHangup is PeerClosed for the descriptor of a socket.
func pollHangup(descriptor int) bool {
	fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// withDescriptor calls use with the connection's descriptor, if it has one. It returns an error if the connection is
// closed.
func withDescriptor(conn net.Conn, use func(descriptor int)) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) })
}
