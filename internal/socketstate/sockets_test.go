package socketstate

import (
	"io"
	"net"
	"testing"

	"gaugerelay/internal/testbed"
)

// What a connection's other side has done is told, whether or not anything has been read of it.
func TestWhatTheSystemKnows(t *testing.T) {
	for name, c := range map[string]struct {
		do           func(c *net.TCPConn)
		bytes, ended bool
		hungUp       bool
	}{
		"nothing":         {func(*net.TCPConn) {}, false, false, false},
		"bytes":           {func(c *net.TCPConn) { io.WriteString(c, "x") }, true, false, false},
		"its end":         {func(c *net.TCPConn) { c.CloseWrite() }, false, true, true},
		"bytes, its end":  {func(c *net.TCPConn) { io.WriteString(c, "x"); c.Close() }, true, false, true},
		"a reset":         {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false, true, true},
		"bytes and reset": {func(c *net.TCPConn) { io.WriteString(c, "x"); c.SetLinger(0); c.Close() }, true, false, true},
	} {
		ln := testbed.Listen(t)
		there, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer there.Close()
		here, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.do(there.(*net.TCPConn))
		bytes, err := HasUnreadData(here)
		if hungUp := PeerClosed(here); bytes != c.bytes || (err != nil) != c.ended || hungUp != c.hungUp {
			t.Errorf("%s: bytes %v, ended by %v, hung up %v", name, bytes, err, hungUp)
		}
		here.Close()
		if _, err := HasUnreadData(here); err == nil || !PeerClosed(here) {
			t.Errorf("%s: a closed connection counts as open", name)
		}
	}
	pipe, _ := net.Pipe()
	if bytes, err := HasUnreadData(pipe); bytes || err != nil || PeerClosed(pipe) {
		t.Error("something is known of a pipe")
	}
}
