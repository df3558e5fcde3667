package coapserver

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

// A silent device with a pending request, or with an idle connection, is sent a Ping. Its connection ends only if the Ping is not
// answered. A connection with an incomplete frame ends after the idle timeout, and one without a CSM after FirstMessageTimeout.
func TestIdleTimeouts(t *testing.T) {
	t.Run("incomplete frame", func(t *testing.T) {
		withDevice(t, 4096, nil, func(server *Server, loop *fakeLoop, device *testDevice) {
			frame := coapwire.Encode(newRequest(codes.PUT, 1, []byte("data"), nil))
			device.sendBytes(frame[:len(frame)-2])
			<-device.closed
			synctest.Wait()
			if submitted, _, _ := loop.counts(); submitted != 0 || server.Metrics.Get("device_connections_idle_timeout") != 1 {
				t.Errorf("submitted %d requests from an incomplete frame, want 0 and one counted idle timeout", submitted)
			}
		})
	})
	t.Run("request pending", func(t *testing.T) {
		withDevice(t, 4096, nil, func(_ *Server, loop *fakeLoop, device *testDevice) {
			timeLeft := setOption(coapwire.UintOption(coapwire.OptTimeLeft, 6000))
			device.send(newRequest(codes.PUT, 1, []byte("data"), timeLeft))
			for range 2 {
				device.expect(codes.Ping)
				device.send(message.Message{Code: codes.Pong})
			}
			device.expect(codes.Ping) // the third Ping gets no Pong, so the connection must end
			<-device.closed
			synctest.Wait()
			if submitted, canceled, _ := loop.counts(); submitted != 1 || canceled != 1 {
				t.Errorf("%d requests submitted, %d canceled; want 1 of each", submitted, canceled)
			}
		})
	})
	t.Run("idle connection", func(t *testing.T) {
		withDevice(t, 4096, nil, func(server *Server, _ *fakeLoop, device *testDevice) {
			start := time.Now()
			device.expect(codes.Ping)
			if elapsed := time.Since(start); elapsed < time.Minute/2 {
				t.Errorf("idle device was sent a Ping after %v, want at least half a minute", elapsed)
			}
			device.send(message.Message{Code: codes.Pong})
			synctest.Wait()
			time.Sleep(30 * time.Second)
			if server.ConnCount() != 1 {
				t.Error("connection of an idle device that answers Pings was closed")
			}
		})
	})
	t.Run("no CSM", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			server := newTestServer(&fakeLoop{})
			device := connect(t, server)
			<-device.closed
			if server.Metrics.Get("device_connections_csm_timeout") != 1 {
				t.Error("connection without a CSM was not counted once in device_connections_csm_timeout")
			}
			server.Shutdown()
		})
	})
}

// The connection of a device that reads nothing is closed when a write has been blocked for the idle timeout (4 s here). Its request
// is canceled, and the response is not reported as written. A write to a net.Pipe is blocked until the other end reads.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := &fakeLoop{onSubmit: respondWith(lifecycle.Response{Body: make([]byte, 3000)})}
		server := newTestServer(loop)
		deviceEnd, serverEnd := net.Pipe()
		server.StartConn(serverEnd)
		csm := message.Message{Code: codes.CSM, Options: message.Options{coapwire.UintOption(message.TCPMaxMessageSize, 4096)}}
		mustWrite(t, deviceEnd, coapwire.Encode(csm))
		mustWrite(t, deviceEnd, coapwire.Encode(newRequest(codes.GET, 1, nil, nil)))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		submitted, canceled, written := loop.counts()
		if submitted != 1 || canceled != 1 || written != 0 || server.ConnCount() != 0 {
			t.Errorf("%d submitted, %d canceled, %d written, %d connections; want 1, 1, 0, 0",
				submitted, canceled, written, server.ConnCount())
		}
		deviceEnd.Close()
		server.Shutdown()
	})
}
