package coapserver

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

// A request beyond MaxPendingRequests (2 in newTestServer) or for which the inbox is full is rejected. If the request is a repeated
// write, it fails instead, because an earlier transmission may have been executed. A request that the Loop does not respond to gets
// 5.04 when its remaining time (2 s in newRequest) and frontend.ResponseGraceMs have passed.
func TestRejectedRequests(t *testing.T) {
	retry := addOption(message.Option{ID: coapwire.OptRetry})
	t.Run("too many pending", func(t *testing.T) {
		withDevice(t, 4096, nil, func(_ *Server, loop *fakeLoop, device *testDevice) {
			device.send(newRequest(codes.GET, 1, nil, nil))
			device.send(newRequest(codes.GET, 2, nil, nil))
			device.send(newRequest(codes.GET, 3, nil, nil))
			if m := device.expect(codes.TooManyRequests); m.Token[0] != 3 {
				t.Errorf("rejected the request with token %d, want token 3", m.Token[0])
			}
			device.send(newRequest(codes.PUT, 4, []byte("x"), retry))
			device.expect(codes.BadGateway)
			start := time.Now()
			device.expect(codes.Ping) // sent after a silence of half of MaxIdleTimeout, because requests are pending
			device.send(message.Message{Code: codes.Pong})
			device.expect(codes.GatewayTimeout)
			device.expect(codes.GatewayTimeout)
			synctest.Wait()
			if _, canceled, _ := loop.counts(); canceled != 2 || time.Since(start) > 3*time.Second {
				t.Errorf("%d requests canceled after %v, want 2 within 3 s", canceled, time.Since(start))
			}
		})
	})
	t.Run("inbox full", func(t *testing.T) {
		withDevice(t, 4096, nil, func(_ *Server, loop *fakeLoop, device *testDevice) {
			loop.full = true
			device.send(newRequest(codes.PUT, 1, []byte("x"), nil))
			device.expect(codes.ServiceUnavailable)
			device.send(newRequest(codes.PUT, 2, []byte("x"), retry))
			device.expect(codes.BadGateway)
		})
	})
}

// A request whose last byte arrives after its remaining time is over still gets the Loop's response, not the 5.04 of the response
// guard: an earlier transmission may have been served, and the Loop then has the response. The guard therefore waits for
// frontend.ResponseGraceMs after the arrival.
func TestResponseTimerWaitsForLoop(t *testing.T) {
	slow := func(r *lifecycle.Request) {
		time.Sleep(5 * time.Millisecond)
		r.Respond(lifecycle.Response{Kind: lifecycle.Served, Body: []byte("kept"), Cached: true})
	}
	withDevice(t, 4096, slow, func(_ *Server, loop *fakeLoop, device *testDevice) {
		timeLeft := setOption(coapwire.UintOption(coapwire.OptTimeLeft, 200))
		frame := coapwire.Encode(newRequest(codes.PUT, 1, []byte("x"), timeLeft))
		device.sendBytes(frame[:len(frame)-1])
		time.Sleep(500 * time.Millisecond)
		device.sendBytes(frame[len(frame)-1:])
		device.expect(codes.Changed)
		synctest.Wait()
		if _, canceled, _ := loop.counts(); canceled != 0 {
			t.Errorf("%d requests expired before the Loop responded, want 0", canceled)
		}
	})
}
