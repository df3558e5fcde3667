package coapserver

import (
	"bytes"
	"sync"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

// FuzzConn sends arbitrary bytes in writes of chunkSize+1 bytes. Each submitted request must be reported as written or
// canceled at most once, and its body must not exceed MaxMessageSize. The server must send only well-formed messages.
func FuzzConn(f *testing.F) {
	addFuzzSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte, chunkSize uint8) {
		loop := &fakeLoop{}
		loop.onSubmit = varyResponses(int(chunkSize))
		server := newTestServer(loop)
		device := connect(t, server)
		go func() {
			device.sendInChunks(data, int(chunkSize)+1)
			server.Shutdown()
			device.netConn.Close()
		}()
		device.discardReceived()
		server.Close()
		server.Shutdown()
		checkRequestEnds(t, loop)
		if count := server.ConnCount(); count != 0 {
			t.Errorf("server has %d open connections after Shutdown, want 0", count)
		}
		for _, r := range loop.submitted {
			if len(r.Device.Body) > server.MaxMessageSize || r.Device.ID == "" || r.Class == "" {
				t.Errorf("submitted request exceeds MaxMessageSize, or has no device or class: %+v", r.Device)
			}
		}
	})
}

func addFuzzSeeds(f *testing.F) {
	seed := func(parts ...[]byte) {
		f.Add(bytes.Join(parts, nil), uint8(0))
		f.Add(bytes.Join(parts, nil), uint8(37))
	}
	csm := coapwire.Encode(deviceCSM(2000))
	get := coapwire.Encode(newRequest(codes.GET, 1, nil, nil))
	put := coapwire.Encode(newRequest(codes.PUT, 2, []byte("body"), nil))
	ping := coapwire.Encode(message.Message{Code: codes.Ping, Token: message.Token{9}})
	release := coapwire.Encode(message.Message{Code: codes.Release})
	seed(csm, get, put)
	seed(csm, get, get)
	seed(csm, put[:20])
	seed(csm, ping, release, get)
	for _, block := range []coapwire.Block{{Size: 16}, {Size: 1024, More: true}, {Offset: 4096, Size: 1024, BERT: true}} {
		seed(csm,
			coapwire.Encode(newRequest(codes.GET, 1, nil, withBlock(message.Block2, block))),
			coapwire.Encode(newRequest(codes.PUT, 2, make([]byte, 1024), withBlock(message.Block1, block))))
	}
	seed(csm, []byte{0xf0, 0xff, 0xff, 0xff, 0xff, 1}, get)
	seed(get, csm)
}

// varyResponses returns an onSubmit function that gives each of several kinds of response in turn. The parameter first selects the
// kind to start with.
func varyResponses(first int) func(*lifecycle.Request) {
	responses := []lifecycle.Response{
		{Body: make([]byte, 3000), ETag: 5},
		{Kind: lifecycle.Rejected},
		{Kind: lifecycle.Failed},
		{Kind: lifecycle.Incomplete, BufferedBytes: 7},
		{Kind: lifecycle.Continue, BlockSize: 64},
		{Kind: lifecycle.Superseded},
	}
	var mu sync.Mutex
	next := first
	return func(r *lifecycle.Request) {
		mu.Lock()
		response := responses[next%len(responses)]
		next++
		mu.Unlock()
		if response.Kind == lifecycle.Continue && r.Device.Block == nil {
			response.Kind = lifecycle.Failed
		}
		r.Respond(response)
	}
}

// sendInChunks writes data in chunks until all is written or the connection ends.
func (d *testDevice) sendInChunks(data []byte, size int) {
	for len(data) > 0 {
		chunk := data[:min(len(data), size)]
		if _, err := d.netConn.Write(chunk); err != nil {
			return
		}
		data = data[len(chunk):]
	}
}

// discardReceived receives and discards messages until the connection ends.
func (d *testDevice) discardReceived() {
	for {
		select {
		case <-d.received:
		case <-d.closed:
			return
		}
	}
}

// checkRequestEnds reports requests for which the server has made more than one call of Cancel or ResponseWritten.
func checkRequestEnds(t *testing.T, loop *fakeLoop) {
	t.Helper()
	loop.mu.Lock()
	defer loop.mu.Unlock()
	ends := map[*lifecycle.Request]int{}
	for _, reported := range [][]*lifecycle.Request{loop.canceled, loop.written} {
		for _, r := range reported {
			ends[r]++
			if ends[r] > 1 {
				t.Errorf("request was reported as written or canceled %d times, want at most 1", ends[r])
			}
		}
	}
}
