// Package testbed holds helpers that tests of several packages share: loopback listeners and connections, HTTP servers,
// settings of a scheduler and the gateway program. Fakes of external systems and fault injection are in its subdirectories.
//
// Everything that a helper starts is stopped at the end of the test that called the helper.
package testbed

import (
	"net"
	"testing"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed/loopback"
	"gaugerelay/internal/testbed/testsettings"
)

// Settings returns scheduler settings like those of a deployment, for one gateway.
func Settings(shards int) scheduler.Settings { return testsettings.Settings(shards) }

// Listen opens a TCP listener on a loopback port. The listener is closed at the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve opens a TCP listener as Listen does and calls handle for each connection in a separate goroutine. The connection is
// closed when handle returns. Serve returns the listener's address.
func Serve(t testing.TB, handle func(net.Conn)) (addr string) {
	t.Helper()
	ln := Listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return ln.Addr().String()
}
