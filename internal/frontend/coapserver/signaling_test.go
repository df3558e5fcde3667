package coapserver

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
)

// After a protocol error the server sends an Abort, closes the connection and cancels the request that is pending on it.
func TestProtocolErrorAbortsConnection(t *testing.T) {
	csmWith := func(option message.Option) message.Message {
		return message.Message{Code: codes.CSM, Options: message.Options{option}}
	}
	fiftyOptions := slices.Repeat(message.Options{{ID: message.URIPath, Value: []byte("a")}}, 50)
	for name, raw := range map[string][]byte{
		"token too long":               {0x09, 0x01, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		"length of 2 GiB":              {0xf0, 0x7f, 0xff, 0xff, 0xff, 0x01},
		"over the maximum size":        {0xe0, 0x10, 0x00, 0x01},
		"option longer than the frame": {0x30, 0x01, 0x1d, 0xff, 0xff},
		"payload marker at the end":    {0x10, 0x01, 0xff},
		"token in use":                 coapwire.Encode(newRequest(codes.GET, 7, nil, nil)),
		"response":                     coapwire.Encode(message.Message{Code: codes.Content, Token: message.Token{1}}),
		"critical option in CSM":       coapwire.Encode(csmWith(message.Option{ID: 9})),
		"Max-Message-Size too small":   coapwire.Encode(csmWith(coapwire.UintOption(message.TCPMaxMessageSize, 8))),
		"unknown signal":               coapwire.Encode(message.Message{Code: 0xe7, Token: message.Token{1}}),
		"fifty options":                coapwire.Encode(message.Message{Code: codes.GET, Options: fiftyOptions}),
	} {
		t.Run(name, func(t *testing.T) {
			withDevice(t, 4096, nil, func(server *Server, loop *fakeLoop, device *testDevice) {
				device.send(newRequest(codes.GET, 7, nil, nil))
				synctest.Wait()
				device.sendBytes(raw)
				device.expect(codes.Abort)
				<-device.closed
				synctest.Wait()
				if submitted, canceled, _ := loop.counts(); submitted != 1 || canceled != 1 || server.ConnCount() != 0 {
					t.Errorf("%d requests submitted, %d canceled, %d connections open; want 1, 1, 0",
						submitted, canceled, server.ConnCount())
				}
			})
		})
	}
}

// A connection whose first message is not a CSM is aborted.
func TestFirstMessageMustBeCSM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(&fakeLoop{})
		device := connect(t, server)
		device.expect(codes.CSM)
		device.send(newRequest(codes.GET, 1, nil, nil))
		device.expect(codes.Abort)
		<-device.closed
		server.Shutdown()
	})
}
