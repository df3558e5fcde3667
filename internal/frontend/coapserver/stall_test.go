package coapserver

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
)

// minSignDistance is the time after which a device that is heard of is told from those whose links have stalled.
const minSignDistance = 100 * time.Millisecond

// stallingConn is the device's end of a link that can stall: while it does, nothing is read.
type stallingConn struct {
	net.Conn
	moving chan struct{} // closed while the link goes on
}

func (c *stallingConn) Read(p []byte) (int, error) {
	<-c.moving
	return c.Conn.Read(p)
}

// connectStalling connects a device whose link goes on until it is stalled by replacing moving.
func connectStalling(t *testing.T, server *Server) (device *testDevice, link *stallingConn) {
	t.Helper()
	deviceEnd, serverEnd := net.Pipe()
	link = &stallingConn{deviceEnd, make(chan struct{})}
	device = &testDevice{t: t, netConn: link, received: make(chan *message.Message, 256), closed: make(chan bool)}
	server.StartConn(serverEnd)
	go func() { mustWrite(t, deviceEnd, coapwire.Encode(deviceCSM(1<<16))) }()
	for _, code := range []codes.Code{codes.CSM, codes.Ping} {
		if m := readFrame(t, deviceEnd); m.Code != code {
			t.Fatalf("got code %v, want %v", m.Code, code)
		}
	}
	device.send(message.Message{Code: codes.Pong})
	go device.readLoop()
	return device, link
}

// readFrame reads one message.
func readFrame(t *testing.T, conn net.Conn) *message.Message {
	t.Helper()
	var frame []byte
	for {
		length, err := coapwire.FrameLength(frame)
		if err != nil {
			t.Fatal(err)
		}
		if length > 0 && length == len(frame) {
			m, err := coapwire.Decode(frame)
			if err != nil {
				t.Fatal(err)
			}
			return m
		}
		next := make([]byte, 1)
		if _, err := conn.Read(next); err != nil {
			t.Fatal(err)
		}
		frame = append(frame, next...)
	}
}

// largeBody returns the body of the object with a key.
func largeBody(key uint64) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%016x", key), 1<<10)
}

// respondLarge responds with the body of the object that the request names.
func respondLarge(r *lifecycle.Request) {
	body := largeBody(r.Key)
	r.Respond(lifecycle.Response{Body: body, ETag: xxhash.Sum64(body)})
}

// readOf returns a read of the object with a key.
func readOf(token byte, key uint64) message.Message {
	return newRequest(codes.GET, token, nil, func(options message.Options) message.Options {
		for i := range options {
			if options[i].ID == message.URIPath && len(options[i].Value) == 16 {
				options[i].Value = fmt.Appendf(nil, "%016x", key)
			}
		}
		return options
	})
}

// newStallServer returns a server whose memory has room for the given number of large bodies beside its connections.
func newStallServer(loop Loop, conns, bodies int) *Server {
	server := newTestServer(loop)
	server.MaxConns, server.MaxPendingRequests = conns, 8
	server.MaxIdleTimeout = 15 * time.Second
	server.Memory = memorybudget.New(int64(conns*connBytes+bodies*len(largeBody(0))), server.Metrics)
	server.Responses = responsebuffer.NewSet(server.Memory, "gw", server.Metrics)
	server.Memory.AddEvictor(server)
	return server
}

// Guards against responses to devices whose links stall that take more memory than there is, against connections that are closed for them,
// and against devices whose links go on that get no responses meanwhile (review/10).
func TestResponsesToStalledDevicesStayWithinMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stalledDevices, reads, movingReads, bodies = 12, 6, 10, 10
		loop := &fakeLoop{onSubmit: respondLarge}
		server := newStallServer(loop, stalledDevices+1, bodies)
		var devices []*testDevice
		var links []*stallingConn
		for i := range stalledDevices {
			device, link := connectStalling(t, server)
			for read := range reads {
				device.send(readOf(byte(read), uint64(i*reads+read)))
			}
			devices, links = append(devices, device), append(links, link)
		}
		time.Sleep(2 * minSignDistance)
		moving, link := connectStalling(t, server)
		close(link.moving)
		for read := range movingReads {
			time.Sleep(100 * time.Millisecond)
			moving.send(readOf(1, uint64(1000+read)))
			if m := moving.expect(codes.Content); !bytes.Equal(m.Payload, largeBody(uint64(1000+read))) {
				t.Fatalf("read %d of the moving device got another body", read)
			}
			if limit := int64(stalledDevices+1)*connBytes + int64(bodies*len(largeBody(0))); server.Memory.Used() > limit {
				t.Fatalf("%d bytes are used of %d", server.Memory.Used(), limit)
			}
		}
		for _, link := range links {
			close(link.moving)
		}
		for i, device := range devices {
			for read := range reads {
				m := device.expect(codes.Content)
				if !bytes.Equal(m.Payload, largeBody(uint64(i*reads+int(m.Token[0])))) {
					t.Errorf("device %d, read %d of %d: another body than that of the request", i, m.Token[0], read)
				}
			}
		}
		synctest.Wait()
		if submitted, _, written := loop.counts(); written != stalledDevices*reads+movingReads || submitted == written {
			t.Errorf("%d requests were submitted and %d responses written, want some submitted again and each response written once", submitted, written)
		}
		server.Close()
		server.Shutdown()
		synctest.Wait()
		if used := server.Memory.Used(); used != 0 {
			t.Errorf("%d bytes are in use after the connections have ended, want 0", used)
		}
	})
}

// Guards against a write that is executed again because memory is short: its response is held in any case.
func TestResponsesToWritesAreNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := &fakeLoop{}
		server := newStallServer(loop, 1, 1)
		device, link := connectStalling(t, server)
		for token := range byte(3) {
			device.send(newRequest(codes.PUT, token, []byte("data"), nil))
		}
		synctest.Wait()
		for _, request := range loop.submitted {
			respondLarge(request)
		}
		time.Sleep(time.Second)
		if used, want := server.Memory.Used(), int64(connBytes+3*len(largeBody(0))); used != want {
			t.Errorf("%d bytes are used, want %d: all bodies", used, want)
		}
		close(link.moving)
		for range 3 {
			device.expect(codes.Changed)
		}
		synctest.Wait()
		if submitted, _, written := loop.counts(); submitted != 3 || written != 3 {
			t.Errorf("%d requests were submitted and %d responses written, want 3 of each", submitted, written)
		}
		server.Close()
		server.Shutdown()
	})
}

// Guards against bodies of pending writes that belong to no account. A write without memory is rejected, and a repeated one fails, since an
// earlier transmission may have been executed.
func TestBodiesOfPendingWritesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := &fakeLoop{}
		server := newStallServer(loop, 1, 0)
		const bodyBytes = 3000
		server.Memory = memorybudget.New(4*bodyBytes+connBytes, server.Metrics)
		device := connect(t, server)
		device.handshake(1 << 16)
		payload := make([]byte, bodyBytes)
		device.send(newRequest(codes.PUT, 1, payload, nil))
		synctest.Wait()
		if used := server.Memory.Used(); used != connBytes+bodyBytes {
			t.Errorf("%d bytes are used, want %d: the body", used, connBytes+bodyBytes)
		}
		loop.submitted[0].Respond(lifecycle.Response{Body: []byte("done")})
		device.expect(codes.Changed)
		synctest.Wait()
		if used := server.Memory.Used(); used != connBytes {
			t.Errorf("%d bytes are used after the response, want %d", used, connBytes)
		}
		server.Memory.NewAccount().Force(4 * bodyBytes)
		small := make([]byte, 400) // needs no larger buffer
		device.send(newRequest(codes.PUT, 2, small, nil))
		device.expect(codes.ServiceUnavailable)
		device.send(newRequest(codes.PUT, 3, small, addOption(message.Option{ID: coapwire.OptRetry})))
		device.expect(codes.BadGateway)
		server.Close()
		server.Shutdown()
	})
}

// Guards against a connection that is taken for idle, and closed for a new one, while a response is being written to it.
func TestConnectionWithUnreadResponseIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newStallServer(&fakeLoop{onSubmit: respondLarge}, 1, 10)
		device, link := connectStalling(t, server)
		device.send(readOf(1, 1))
		synctest.Wait()
		another := connect(t, server)
		<-another.closed
		close(link.moving)
		device.expect(codes.Content)
		server.Close()
		server.Shutdown()
	})
}

// Guards against a device that waits for ever for a response that was dropped and for which there is never memory.
func TestDroppedResponseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := &fakeLoop{onSubmit: respondLarge}
		server := newStallServer(loop, 1, 1)
		server.Memory.NewAccount().Force(2 * len(largeBody(0)))
		device, link := connectStalling(t, server)
		close(link.moving)
		start := time.Now()
		device.send(readOf(1, 1)) // has 2 s left
		device.expect(codes.GatewayTimeout)
		if waited := time.Since(start); waited < 1900*time.Millisecond || waited > 2100*time.Millisecond {
			t.Errorf("the device got an error after %v, want 2 s", waited)
		}
		synctest.Wait()
		if submitted, canceled, written := loop.counts(); submitted != 1 || canceled != 1 || written != 0 {
			t.Errorf("%d requests were submitted, %d canceled and %d responses written, want 1, 1 and 0", submitted, canceled, written)
		}
		server.Close()
		server.Shutdown()
	})
}
