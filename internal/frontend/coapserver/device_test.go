package coapserver

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed/testsettings"
)

func TestMain(m *testing.M) {
	logevent.Setup(io.Discard, slog.LevelError)
	os.Exit(m.Run())
}

// fakeLoop records requests and lets the test respond to them.
type fakeLoop struct {
	onSubmit func(*lifecycle.Request) // called in a new goroutine for each request; nil: requests stay pending

	mu                           sync.Mutex
	full                         bool // whether the inbox is full, so that Submit returns false
	submitted, canceled, written []*lifecycle.Request
}

func (l *fakeLoop) Submit(r *lifecycle.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full {
		return false
	}
	l.submitted = append(l.submitted, r)
	if l.onSubmit != nil {
		go l.onSubmit(r)
	}
	return true
}

func (l *fakeLoop) Cancel(r *lifecycle.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.canceled = append(l.canceled, r)
}

func (l *fakeLoop) ResponseWritten(r *lifecycle.Request, _ lifecycle.LinkSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = append(l.written, r)
}

func (l *fakeLoop) LinkMeasured(string, lifecycle.LinkSample) {}

func (l *fakeLoop) counts() (submitted, canceled, written int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.submitted), len(l.canceled), len(l.written)
}

// respondWith returns an onSubmit function that gives the same response to all requests.
func respondWith(response lifecycle.Response) func(*lifecycle.Request) {
	return func(r *lifecycle.Request) { r.Respond(response) }
}

func newTestServer(loop Loop) *Server {
	settings, counters := testsettings.Settings(4), metrics.New()
	return &Server{
		Loop:      loop,
		Clock:     clock.NewSystem(),
		Metrics:   counters,
		Settings:  &settings,
		Responses: responsebuffer.NewSet(nil, "gw", counters),
		Options: Options{
			MaxConns:            4,
			MaxPendingRequests:  2,
			MaxMessageSize:      4096,
			FirstMessageTimeout: 5 * time.Second,
			KeepaliveTime:       time.Minute,
			MinIdleTimeout:      time.Second,
			MaxIdleTimeout:      4 * time.Second,
			HoldOff:             3 * time.Second,
		},
	}
}

// testDevice is the device's end of a connection. A goroutine reads until the connection ends.
type testDevice struct {
	t        *testing.T
	netConn  net.Conn
	received chan *message.Message
	closed   chan bool // closed when the connection has ended
}

// connect connects a device to the server.
func connect(t *testing.T, server *Server) *testDevice {
	deviceEnd, serverEnd := net.Pipe()
	device := &testDevice{t: t, netConn: deviceEnd, received: make(chan *message.Message, 256), closed: make(chan bool)}
	server.StartConn(serverEnd)
	go device.readLoop()
	return device
}

func (d *testDevice) readLoop() {
	defer close(d.closed)
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		count, err := d.netConn.Read(chunk)
		buf = d.decode(append(buf, chunk[:count]...))
		if err != nil {
			return
		}
	}
}

// decode sends the complete messages in buf to d.received and returns the remaining bytes.
func (d *testDevice) decode(buf []byte) []byte {
	for {
		length, err := coapwire.FrameLength(buf)
		if err != nil || length == 0 || length > len(buf) {
			return buf
		}
		m, err := coapwire.Decode(bytes.Clone(buf[:length]))
		if err != nil {
			d.t.Errorf("server sent a malformed message %x: %v", buf[:length], err)
		}
		d.received <- m
		buf = buf[length:]
	}
}

func (d *testDevice) send(m message.Message) {
	d.t.Helper()
	d.sendBytes(coapwire.Encode(m))
}

func (d *testDevice) sendBytes(b []byte) {
	d.t.Helper()
	mustWrite(d.t, d.netConn, b)
}

// mustWrite ends the test if the bytes cannot be written.
func mustWrite(t testing.TB, w io.Writer, b []byte) {
	t.Helper()
	if _, err := w.Write(b); err != nil {
		t.Fatal(err)
	}
}

// deviceCSM returns the CSM of a device that supports block-wise transfer.
func deviceCSM(maxMessageSize uint32) message.Message {
	return message.Message{Code: codes.CSM, Options: message.Options{
		coapwire.UintOption(message.TCPMaxMessageSize, maxMessageSize),
		{ID: message.TCPBlockWiseTransfer},
	}}
}

// handshake exchanges CSMs and answers the first Ping.
func (d *testDevice) handshake(maxMessageSize uint32) {
	d.t.Helper()
	d.send(deviceCSM(maxMessageSize))
	d.expect(codes.CSM)
	d.expect(codes.Ping)
	d.send(message.Message{Code: codes.Pong})
}

// expect returns the next message. It ends the test if the message has another code or the connection ends.
func (d *testDevice) expect(code codes.Code) *message.Message {
	d.t.Helper()
	select {
	case m := <-d.received:
		if m.Code != code {
			d.t.Fatalf("got code %v with payload %q, want code %v", m.Code, m.Payload, code)
		}
		return m
	case <-d.closed:
		select {
		case m := <-d.received:
			if m.Code == code {
				return m
			}
		default:
		}
		d.t.Fatalf("connection ended, want a message with code %v", code)
	}
	return nil
}

// optionsModifier modifies the options of a request.
type optionsModifier func(message.Options) message.Options

func addOption(option message.Option) optionsModifier {
	return func(o message.Options) message.Options { return o.Add(option) }
}

func setOption(option message.Option) optionsModifier {
	return func(o message.Options) message.Options { return o.Set(option) }
}

func removeOption(id message.OptionID) optionsModifier {
	return func(o message.Options) message.Options { return o.Remove(id) }
}

// withBlock adds a Block option.
func withBlock(id message.OptionID, block coapwire.Block) optionsModifier {
	return addOption(block.Option(id))
}

// newRequest returns a request that is valid except for what modify changes in its options. modify may be nil.
func newRequest(code codes.Code, token byte, payload []byte, modify optionsModifier) message.Message {
	class := "push"
	if code == codes.GET {
		class = "pull"
	}
	options := message.Options{
		{ID: message.URIPath, Value: []byte(class)},
		{ID: message.URIPath, Value: []byte("7f3a9c21e0b4d655")},
		{ID: coapwire.OptDevice, Value: []byte("dev")},
		coapwire.UintOption(coapwire.OptTimeLeft, 2000),
		{ID: coapwire.OptIdempotencyKey, Value: []byte("k1")},
		{ID: coapwire.OptPlan, Value: []byte("basic")},
		{ID: coapwire.OptIO, Value: []byte("volume=1,units=2,shard=3,hosts=1")},
	}
	if modify != nil {
		options = modify(options)
	}
	return message.Message{Code: code, Token: message.Token{token}, Options: options, Payload: payload}
}

// withDevice runs a test in a synctest bubble with one connected device.
func withDevice(t *testing.T, maxMessageSize uint32, onSubmit func(*lifecycle.Request), test func(*Server, *fakeLoop, *testDevice)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		loop := &fakeLoop{onSubmit: onSubmit}
		server := newTestServer(loop)
		device := connect(t, server)
		device.handshake(maxMessageSize)
		synctest.Wait()
		test(server, loop, device)
		device.netConn.Close()
		server.Close()
		server.Shutdown()
	})
}
