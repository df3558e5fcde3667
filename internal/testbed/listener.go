// Package testbed holds helpers that tests of several packages share: loopback listeners and connections, HTTP servers,
// settings of a scheduler and the gateway program. The doubles of outside systems and the fault injection are in its subdirectories.
//
// Everything that a helper starts ends with the test that called it.
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

// Listen opens a TCP listener on a loopback port that is closed at the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve opens a TCP listener as Listen does and calls handle in a goroutine of its own for each connection, which is
// closed when handle returns. It returns the listener's address.
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
