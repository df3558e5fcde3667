package socketstate

import (
	"io"
	"net"
	"testing"

	"gaugerelay/internal/testbed"
)

// The state of a connection is known whether or not anything has been read from it.
func TestStateFollowsPeer(t *testing.T) {
	for name, c := range map[string]struct {
		act           func(peer *net.TCPConn)
		unread, ended bool
		peerClosed    bool
	}{
		"idle":            {func(*net.TCPConn) {}, false, false, false},
		"data":            {func(peer *net.TCPConn) { io.WriteString(peer, "x") }, true, false, false},
		"half-close":      {func(peer *net.TCPConn) { peer.CloseWrite() }, false, true, true},
		"data then close": {func(peer *net.TCPConn) { io.WriteString(peer, "x"); peer.Close() }, true, false, true},
		"reset":           {func(peer *net.TCPConn) { peer.SetLinger(0); peer.Close() }, false, true, true},
		"data then reset": {func(peer *net.TCPConn) { io.WriteString(peer, "x"); peer.SetLinger(0); peer.Close() }, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			c.act(peer)
			unread, err := HasUnreadData(conn)
			if closed := PeerClosed(conn); unread != c.unread || (err != nil) != c.ended || closed != c.peerClosed {
				t.Errorf("unread data %v, ended by %v, peer closed %v", unread, err, closed)
			}
			conn.Close()
			if _, err := HasUnreadData(conn); err == nil || !PeerClosed(conn) {
				t.Error("a closed connection counts as open")
			}
		})
	}
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	ln := testbed.Listen(t)
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	if conn, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	return conn, dialed.(*net.TCPConn)
}

func TestPipeHasNoState(t *testing.T) {
	pipe, _ := net.Pipe()
	if unread, err := HasUnreadData(pipe); unread || err != nil || PeerClosed(pipe) {
		t.Error("a pipe's state is known")
	}
}
