package coapserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

// Drain sends Release to all devices, including those that connect later. Shutdown closes idle connections at once and the others
// when their pending requests have been answered.
func TestDrain(t *testing.T) {
	withDevice(t, 4096, nil, func(server *Server, loop *fakeLoop, device *testDevice) {
		device.send(newRequest(codes.GET, 1, nil, nil))
		synctest.Wait()
		idle := connect(t, server)
		idle.handshake(4096)
		server.Drain()
		if holdOff, _ := device.expect(codes.Release).Options.GetUint32(message.TCPHoldOff); holdOff != 3 {
			t.Errorf("Release has a Hold-Off of %d s, want 3 s", holdOff)
		}
		idle.expect(codes.Release)
		connectedLater := connect(t, server)
		connectedLater.expect(codes.CSM)
		connectedLater.expect(codes.Release)
		shutDown := make(chan bool)
		go func() { server.Shutdown(); close(shutDown) }()
		<-idle.closed
		synctest.Wait()
		select {
		case <-shutDown:
			t.Error("Shutdown returned while a request was pending")
		default:
		}
		loop.submitted[0].Respond(lifecycle.Response{Body: []byte("late")})
		device.expect(codes.Content)
		<-shutDown
	})
}

// A connection beyond MaxConns, which newTestServer sets to 4, replaces the connection that has been idle the longest.
func TestConnectionLimitEvictsIdle(t *testing.T) {
	withDevice(t, 4096, nil, func(server *Server, _ *fakeLoop, device *testDevice) {
		device.send(newRequest(codes.GET, 1, nil, nil)) // a pending request: the connection is not idle and must stay open
		var idle []*testDevice
		for range 3 {
			time.Sleep(time.Millisecond)
			connected := connect(t, server)
			connected.handshake(4096)
			idle = append(idle, connected)
		}
		synctest.Wait()
		time.Sleep(time.Millisecond)
		last := connect(t, server)
		<-idle[0].closed
		last.handshake(4096)
		if count := server.ConnCount(); count != 4 {
			t.Errorf("server has %d open connections, want 4", count)
		}
	})
}

// serve runs the server until the listener is closed. It reports any other error.
func serve(t testing.TB, server *Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve: %v", err)
	}
}

// A device receives the server's last message instead of a reset, even if the server has not read all bytes that the device sent.
// The kernel resets a connection that is closed with unread bytes, and the device could then lose the last message.
func TestLastMessageSurvivesUnreadBytes(t *testing.T) {
	listener := testbed.Listen(t)
	server := newTestServer(&fakeLoop{})
	go serve(t, server, listener)
	var dialer net.Dialer
	netConn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer netConn.Close()
	// The server aborts the connection, because its first message is not a CSM. The message is longer than what the server reads
	// at once, so unread bytes are left.
	mustWrite(t, netConn, append([]byte{0x00, byte(codes.GET)}, make([]byte, 64<<10)...))
	got, err := io.ReadAll(netConn)
	if err != nil || !bytes.Contains(got, []byte("the first message must be a CSM")) {
		t.Errorf("received %q, then error %v; want an Abort that asks for a CSM, then no error", got, err)
	}
}
