package socketstate

import (
	"errors"
	"net"
	"testing"

	"gaugerelay/internal/testbed"
)

// peerAction is what the peer of a connection does with its end.
type peerAction func(peer *net.TCPConn) error

func sendByte(peer *net.TCPConn) error {
	_, err := peer.Write([]byte("x"))
	return err
}

// reset closes the connection by a reset.
func reset(peer *net.TCPConn) error {
	return errors.Join(peer.SetLinger(0), peer.Close())
}

// The state of a connection is known whether or not anything has been read from it.
func TestStateFollowsPeer(t *testing.T) {
	for name, c := range map[string]struct {
		actions       []peerAction
		unread, ended bool
		peerClosed    bool
	}{
		"idle":            {nil, false, false, false},
		"data":            {[]peerAction{sendByte}, true, false, false},
		"half-close":      {[]peerAction{(*net.TCPConn).CloseWrite}, false, true, true},
		"data then close": {[]peerAction{sendByte, (*net.TCPConn).Close}, true, false, true},
		"reset":           {[]peerAction{reset}, false, true, true},
		"data then reset": {[]peerAction{sendByte, reset}, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			for _, act := range c.actions {
				if err := act(peer); err != nil {
					t.Fatal(err)
				}
			}
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
	peer = testbed.Dial(t, ln.Addr().String())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn, peer
}

func TestPipeHasNoState(t *testing.T) {
	pipe, _ := net.Pipe()
	if unread, err := HasUnreadData(pipe); unread || err != nil || PeerClosed(pipe) {
		t.Error("a pipe's state is known")
	}
}
