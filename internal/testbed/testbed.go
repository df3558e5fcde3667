// Package testbed helps tests with loopback servers and settings. Its subpackages are fakes of the systems around a gateway,
// fault injection and checks of what must always hold.
package testbed

import (
	"context"
	"net"
	"testing"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/testbed/testsettings"
)

// Settings returns settings like those of the platform for one gateway, as testsettings.Settings does.
func Settings(shards int) scheduler.Settings { return testsettings.Settings(shards) }

// Listen listens at a loopback port until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// Serve listens at a loopback port until the test ends, and returns its address. Each connection is given to handle on a
// goroutine of its own and closed afterwards; these goroutines end with their connections, and nobody waits for them.
func Serve(t testing.TB, handle func(net.Conn)) (addr string) {
	t.Helper()
	listener := Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
