package coapserver

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

const bytesPerHexLine = 32 // bytes of a message on one line of a golden file

// recorder is a device's end of a connection that records the bytes that the server writes.
type recorder struct {
	t        *testing.T
	netConn  net.Conn
	response lifecycle.Response // response to the next request
	text     strings.Builder    // recorded steps

	mu       sync.Mutex
	received []byte
}

func newRecorder(t *testing.T, server *Server) *recorder {
	deviceEnd, serverEnd := net.Pipe()
	r := &recorder{t: t, netConn: deviceEnd}
	server.StartConn(serverEnd)
	go r.read()
	return r
}

func (r *recorder) read() {
	buf := make([]byte, 4096)
	for {
		n, err := r.netConn.Read(buf)
		r.mu.Lock()
		r.received = append(r.received, buf[:n]...)
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// step writes bytes to the server, waits until all goroutines are blocked, and records in hex what the server has sent.
func (r *recorder) step(name string, written []byte) {
	if len(written) > 0 {
		mustWrite(r.t, r.netConn, written)
	}
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%s:\n", name)
	for rest := r.received; len(rest) > 0; {
		n := min(len(rest), bytesPerHexLine)
		fmt.Fprintf(&r.text, "%x\n", rest[:n])
		rest = rest[n:]
	}
	r.received = nil
}

// sendRequest sends a request, makes the Loop respond to it with the given response, and records what the server sends.
func (r *recorder) sendRequest(name string, m message.Message, response lifecycle.Response) {
	r.response = response
	r.step(name, coapwire.Encode(m))
}

// handshake exchanges CSMs and answers the first Ping.
func (r *recorder) handshake(maxMessageSize uint32) {
	r.step("connected", nil)
	r.step("after the device's CSM", coapwire.Encode(deviceCSM(maxMessageSize)))
	r.step("after its pong", coapwire.Encode(message.Message{Code: codes.Pong}))
}

// recordSession runs a session with a server in a synctest bubble and compares everything that the server sent with the golden
// file.
func recordSession(t *testing.T, name string, maxMessageSize uint32, session func(*Server, *recorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var r *recorder
		server := newTestServer(&fakeLoop{onSubmit: func(request *lifecycle.Request) { request.Respond(r.response) }})
		server.GatewayName = "gateway-1"
		r = newRecorder(t, server)
		r.handshake(maxMessageSize)
		session(server, r)
		r.netConn.Close()
		server.Close()
		server.Shutdown()
		testbed.CompareGolden(t, name, r.text.String())
	})
}

// The messages of an upload in blocks must not change, because devices depend on their bytes. The same holds for the other golden
// tests.
func TestGoldenPush(t *testing.T) {
	recordSession(t, "push", 4096, func(_ *Server, r *recorder) {
		first := coapwire.Block{Size: 1024, More: true}
		last := coapwire.Block{Offset: 1024, Size: 1024}
		r.sendRequest("first block held", newRequest(codes.PUT, 1, make([]byte, 1024), withBlock(message.Block1, first)),
			lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 1024})
		r.sendRequest("last block, served", newRequest(codes.PUT, 2, []byte("rest"), withBlock(message.Block1, last)),
			lifecycle.Response{Body: []byte("done"), ETag: 0x0102})
		r.sendRequest("smaller blocks advised", newRequest(codes.PUT, 3, make([]byte, 1024), withBlock(message.Block1, first)),
			lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 1024, BlockSize: 256})
	})
}

func TestGoldenResponses(t *testing.T) {
	block := withBlock(message.Block1, coapwire.Block{Offset: 2048, Size: 1024, More: true})
	for name, response := range map[string]lifecycle.Response{
		"served":         {Body: []byte("done"), ETag: 0x0102},
		"refused":        {Kind: lifecycle.Rejected, RetryAfterMs: 1200},
		"refused-now":    {Kind: lifecycle.Rejected},
		"failed":         {Kind: lifecycle.Failed},
		"conflict":       {Kind: lifecycle.Conflict},
		"too-large":      {Kind: lifecycle.TooLarge},
		"incomplete":     {Kind: lifecycle.Incomplete, BufferedBytes: 1024},
		"superseded":     {Kind: lifecycle.Superseded},
		"duplicate-open": {Kind: lifecycle.DuplicateID},
	} {
		t.Run(name, func(t *testing.T) {
			recordSession(t, "response-"+name, 4096, func(_ *Server, r *recorder) {
				r.sendRequest("a block of a push", newRequest(codes.PUT, 1, make([]byte, 1024), block), response)
			})
		})
	}
}

func TestGoldenBlockwiseResponse(t *testing.T) {
	response := lifecycle.Response{Body: bytes.Repeat([]byte("0123456789"), 130), ETag: 77}
	for name, c := range map[string]struct {
		maxMessageSize uint32
		next           coapwire.Block
	}{
		"single": {1152, coapwire.Block{Offset: 1024, Size: 1024}},
		"small":  {512, coapwire.Block{Offset: 256, Size: 256}},
		"bert":   {1280, coapwire.Block{Offset: 1024, Size: 1024, BERT: true}},
	} {
		t.Run(name, func(t *testing.T) {
			recordSession(t, "blocks-"+name, c.maxMessageSize, func(_ *Server, r *recorder) {
				r.sendRequest("first block", newRequest(codes.GET, 1, nil, nil), response)
				r.sendRequest("next block", newRequest(codes.GET, 2, nil, withBlock(message.Block2, c.next)), response)
				etag := message.Option{ID: message.ETag, Value: []byte{0, 0, 0, 0, 0, 0, 0, 77}}
				pastEnd := coapwire.Block{Offset: 8192, Size: 1024}
				r.sendRequest("behind the end", newRequest(codes.GET, 3, nil, withBlock(message.Block2, pastEnd)), response)
				r.sendRequest("known already", newRequest(codes.GET, 4, nil, addOption(etag)), response)
			})
		})
	}
}

func TestGoldenSignals(t *testing.T) {
	recordSession(t, "signals", 4096, func(server *Server, r *recorder) {
		r.step("ping", coapwire.Encode(message.Message{Code: codes.Ping, Token: message.Token{9}}))
		r.step("ping with custody",
			coapwire.Encode(message.Message{Code: codes.Ping, Options: message.Options{{ID: message.TCPCustody}}}))
		r.sendRequest("malformed", newRequest(codes.DELETE, 1, nil, nil), lifecycle.Response{})
		r.sendRequest("critical option", newRequest(codes.GET, 2, nil, addOption(message.Option{ID: 65101})), lifecycle.Response{})
		server.Drain()
		r.step("drain", nil)
		r.step("response to no request", coapwire.Encode(message.Message{Code: codes.Content, Token: message.Token{1}}))
	})
}

func TestGoldenFullInbox(t *testing.T) {
	recordSession(t, "full-inbox", 4096, func(server *Server, r *recorder) {
		server.Loop.(*fakeLoop).full = true
		r.sendRequest("push", newRequest(codes.PUT, 1, []byte("data"), nil), lifecycle.Response{})
		r.sendRequest("repeated push",
			newRequest(codes.PUT, 2, []byte("data"), addOption(message.Option{ID: coapwire.OptRetry})), lifecycle.Response{})
	})
}
