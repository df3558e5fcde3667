// Package socketstate asks the kernel about the state of a connection without reading from it, and reads from a connection so that its
// state cannot change unnoticed.
//
// A connection that is not a socket, such as one of net.Pipe, is reported as open and without unread data. The package has no
// state and starts no goroutine, and its functions are safe for concurrent use.
package socketstate

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnreadData reports whether the connection has received bytes that have not been read yet. If there are none and no more
// can arrive, it returns io.EOF or the error of the socket. It does not block.
func HasUnreadData(conn net.Conn) (bool, error) {
	var unread bool
	var readErr error
	err := withDescriptor(conn, func(descriptor int) { unread, readErr = peek(descriptor) })
	if err != nil {
		return unread, err
	}
	return unread, readErr
}

// peek implements HasUnreadData for a socket's file descriptor.
func peek(descriptor int) (unread bool, err error) {
	count, _, err := unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false, nil
	case err != nil:
		return false, err
	case count == 0:
		return false, io.EOF
	default:
		return true, nil
	}
}

// ReadLocked reads from a socket like net.Conn.Read. Each system call that may return bytes runs while lock is held, and onData is
// called with the number of bytes before lock is released, so that no other holder of the lock sees bytes that are neither unread nor
// reported.
func ReadLocked(conn syscall.Conn, p []byte, lock sync.Locker, onData func(n int)) (n int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	rawErr := raw.Read(func(descriptor uintptr) bool {
		lock.Lock()
		defer lock.Unlock()
		if n, err = readRetryingEINTR(int(descriptor), p); n > 0 {
			onData(n)
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readRetryingEINTR calls read(2), and repeats the call if a signal interrupts it.
func readRetryingEINTR(descriptor int, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(descriptor, p); err != syscall.EINTR {
			return max(0, n), err
		}
	}
}

// AcceptQueueLength returns the number of connections that wait to be accepted from a listener. ok is false if the system does not tell.
func AcceptQueueLength(listener net.Listener) (length int, ok bool) {
	socket, isSocket := listener.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr == nil && info.State == tcpListen {
			length, ok = int(info.Unacked), true // for a listener, the kernel reports the length of the accept queue here
		}
	})
	return length, ok && err == nil
}

// tcpListen is the kernel's number of the state of a listening socket.
const tcpListen = 10

// PeerClosed reports whether the peer has shut down its sending side or reset the connection. Unlike a read, it detects that
// even while unread bytes precede the end. It returns true for a connection that is closed on this side. It does not block.
func PeerClosed(conn net.Conn) bool {
	closed := false
	err := withDescriptor(conn, func(descriptor int) { closed = pollHangup(descriptor) })
	return closed || err != nil
}

// pollHangup implements PeerClosed for a socket's file descriptor.
func pollHangup(descriptor int) bool {
	fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(fds, 0)
	return err == nil && ready > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// withDescriptor calls use with the file descriptor of the connection, if it has one. It returns an error if the connection is
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
