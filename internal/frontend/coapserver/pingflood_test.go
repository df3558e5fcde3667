package coapserver

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against memory that grows while a device sends Pings at full speed and does not read the Pongs: no more of them may wait than
// other messages.
func TestPongsOfPingFloodAreBounded(t *testing.T) {
	const pings = 2000
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(&fakeLoop{})
		deviceSide, gatewaySide := net.Pipe() // a pipe has no buffer, so that the first Pong is never written
		server.StartConn(gatewaySide)
		go func() {
			_, _ = deviceSide.Write([]byte("\x00\xe1")) // fails when the gateway closes the connection
			for range pings {
				if _, err := deviceSide.Write([]byte("\x00\xe2")); err != nil {
					return
				}
			}
		}()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		server.mu.Lock()
		for c := range server.conns {
			c.mu.Lock()
			if queued := len(c.queue); queued > maxQueuedMessages+1 {
				t.Errorf("%d messages are queued, want at most %d", queued, maxQueuedMessages+1)
			}
			c.mu.Unlock()
		}
		server.mu.Unlock()
		deviceSide.Close()
		server.Close()
		synctest.Wait()
	})
}
