package testbed

import (
	"io"
	"net"
	"testing"
)

// Dial connects to a loopback port. The connection closes with the test.
func Dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// Write writes a text and fails the test if that fails. It must be called from the goroutine of the test.
func Write(t testing.TB, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// TryWrite writes a text to a peer that may close the connection before it has read all of it. That is no failure of the
// test, which checks what the peer makes of it.
func TryWrite(w io.Writer, text string) {
	_, _ = io.WriteString(w, text) // the test does not depend on how much of it was written
}

// Close closes a connection or listener and fails the test if that fails. It must be called from the goroutine of the test.
func Close(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}
