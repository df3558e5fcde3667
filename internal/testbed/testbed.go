// Package standin holds what tests put in the place of the platform: loopback servers, and settings like its own.
package testbed

import (
	"net"
	"testing"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/testbed/testsettings"
)

// Settings are like the platform's, for one gateway.
func Settings(shards int) scheduler.Settings { return testsettings.Settings(shards) }

// Listen opens a loopback port that closes with the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve opens a loopback port that closes with the test, and has each connection to it handled, then closed.
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
