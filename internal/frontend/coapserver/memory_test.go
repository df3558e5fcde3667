package coapserver

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/memorybudget"
)

// Guards against devices that begin large messages and stop: memory must bound them, the slowest must make room for others, and the
// memory must be released with the connections.
func TestIncompleteFramesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(&fakeLoop{})
		const conns, frameBytes = 4, 4000
		server.Memory = memorybudget.New(conns*connBytes+2*frameBytes, server.Metrics)
		server.Memory.AddEvictor(server)
		frame := coapwire.Encode(newRequest(codes.PUT, 1, make([]byte, frameBytes-100), nil))
		var devices []*testDevice
		for i := range conns {
			device := connect(t, server)
			device.handshake(4096)
			device.sendBytes(frame[:600+100*i]) // the first one makes the least progress
			devices = append(devices, device)
			synctest.Wait()
			time.Sleep(slowFrameTime)
		}
		<-devices[0].closed
		if evicted := server.Metrics.Get(connectionsEvicted); evicted == 0 {
			t.Error("no connection with an incomplete message was closed")
		}
		server.Close()
		for _, device := range devices {
			<-device.closed
		}
		synctest.Wait()
		if used := server.Memory.Used(); used != 0 {
			t.Errorf("%d bytes are in use after the connections have ended, want 0", used)
		}
	})
}
