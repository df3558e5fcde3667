package socketstate

import (
	"errors"
	"io"
	"net"
	"testing"

	"gaugerelay/internal/testbed"
)

// HasUnreadData and PeerClosed must report what the peer has done, even if nothing has been read from the connection.
func TestStateFollowsPeer(t *testing.T) {
	for name, test := range map[string]struct {
		act           func(peer *net.TCPConn) error
		unread, ended bool
		peerClosed    bool
	}{
		"idle":            {func(*net.TCPConn) error { return nil }, false, false, false},
		"data":            {writeByte, true, false, false},
		"half-close":      {(*net.TCPConn).CloseWrite, false, true, true},
		"data then close": {func(peer *net.TCPConn) error { return errors.Join(writeByte(peer), peer.Close()) }, true, false, true},
		"reset":           {reset, false, true, true},
		"data then reset": {func(peer *net.TCPConn) error { return errors.Join(writeByte(peer), reset(peer)) }, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			if err := test.act(peer); err != nil {
				t.Fatal(err)
			}
			unread, err := HasUnreadData(conn)
			if closed := PeerClosed(conn); unread != test.unread || (err != nil) != test.ended || closed != test.peerClosed {
				t.Errorf("HasUnreadData returned %v, %v and PeerClosed %v, want the values of the test case", unread, err, closed)
			}
			conn.Close()
			if _, err := HasUnreadData(conn); err == nil || !PeerClosed(conn) {
				t.Error("a connection that was closed on this side is reported as open")
			}
		})
	}
}

func writeByte(conn *net.TCPConn) error {
	_, err := io.WriteString(conn, "x")
	return err
}

// reset closes a connection so that the peer receives a TCP reset.
func reset(conn *net.TCPConn) error {
	return errors.Join(conn.SetLinger(0), conn.Close())
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	ln := testbed.Listen(t)
	var dialer net.Dialer
	dialed, err := dialer.DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	if conn, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	return conn, dialed.(*net.TCPConn)
}

// A connection that is not a socket has no state in the kernel. It must be reported as open and without unread data.
func TestPipeHasNoState(t *testing.T) {
	pipe, _ := net.Pipe()
	if unread, err := HasUnreadData(pipe); unread || err != nil || PeerClosed(pipe) {
		t.Error("a connection of net.Pipe is not reported as open and without unread data")
	}
}

func TestAcceptQueueLength(t *testing.T) {
	listener := testbed.Listen(t)
	for want := range 4 {
		if want > 0 {
			testbed.Dial(t, listener.Addr().String())
		}
		if length, ok := AcceptQueueLength(listener); !ok || length != want {
			t.Errorf("the length is %d, known: %v; want %d", length, ok, want)
		}
	}
	if _, ok := AcceptQueueLength(nil); ok {
		t.Error("the length of no listener is known")
	}
}
