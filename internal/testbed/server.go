package testbed

import (
	"errors"
	"net"
	"net/http"
	"testing"
)

// ServeHTTP runs an HTTP server on a listener until the test ends or closes the server.
func ServeHTTP(t testing.TB, server *http.Server, ln net.Listener) {
	t.Helper()
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("HTTP server: Serve returned %v, want http.ErrServerClosed", err)
		}
	})
}
