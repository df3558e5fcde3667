package testbed

import (
	"io"
	"net"
	"testing"
)

// Dial opens a TCP connection to addr. The connection is closed at the end of the test.
func Dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// Write writes text to w and fails the test on an error. It must be called from the test's goroutine.
func Write(t testing.TB, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// TryWrite writes text to a peer that may close the connection before it has read the whole text. A write error does not fail the
// test: tests that use TryWrite check how the peer reacts to what it has read, not whether it reads everything.
func TryWrite(w io.Writer, text string) {
	_, _ = io.WriteString(w, text) // A write error is ignored, because the peer may close the connection early.
}

// Close closes a connection or listener and fails the test on an error. It must be called from the test's goroutine.
func Close(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}
