package testbed

import (
	"errors"
	"net"
	"net/http"
	"testing"
)

// Listen opens a loopback port that closes with the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve opens a loopback port that closes with the test, and calls handle with each connection to it, on a goroutine of the
// connection's own. The connection is closed when handle returns.
func Serve(t testing.TB, handle func(net.Conn)) (addr string) {
	t.Helper()
	ln := Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// ServeHTTP runs an HTTP server on a listener until the test ends or closes the server.
func ServeHTTP(t testing.TB, server *http.Server, ln net.Listener) {
	t.Helper()
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the HTTP server ended: %v", err)
		}
	})
}
