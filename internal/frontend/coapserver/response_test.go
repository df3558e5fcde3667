package coapserver

import (
	"testing"
	"testing/synctest"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

// hasUintOption returns a function that reports whether a message has an option of format uint with the wanted value.
func hasUintOption(id message.OptionID, want uint32) func(*message.Message) bool {
	return func(m *message.Message) bool {
		got, err := m.Options.GetUint32(id)
		return err == nil && got == want
	}
}

// block1 returns the Block1 option of a message.
func block1(m *message.Message) (coapwire.Block, bool) {
	value, _ := m.Options.GetBytes(message.Block1) // without the option the value is nil, which decodes to the zero block
	return coapwire.DecodeBlock(value)
}

// Each kind of response is sent with its code and options, and only a served response is reported as written.
func TestResponses(t *testing.T) {
	block := coapwire.Block{Offset: 2048, Size: 1024, More: true}
	for name, c := range map[string]struct {
		response lifecycle.Response
		code     codes.Code
		check    func(*message.Message) bool
	}{
		"served": {lifecycle.Response{Body: []byte("done"), ETag: 0x0102}, codes.Changed,
			func(m *message.Message) bool { return string(m.Payload) == "done" }},
		"rejected": {lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 1200}, codes.ServiceUnavailable,
			hasUintOption(message.MaxAge, 2)},
		"rejected, retry at once": {lifecycle.Response{Kind: lifecycle.Rejected}, codes.ServiceUnavailable,
			hasUintOption(message.MaxAge, 1)},
		"failed":    {lifecycle.Response{Kind: lifecycle.Failed}, codes.BadGateway, nil},
		"conflict":  {lifecycle.Response{Kind: lifecycle.Conflict}, codes.Conflict, nil},
		"too large": {lifecycle.Response{Kind: lifecycle.TooLarge}, codes.RequestEntityTooLarge, nil},
		"incomplete": {lifecycle.Response{Kind: lifecycle.Incomplete, BufferedBytes: 1024}, codes.RequestEntityIncomplete,
			hasUintOption(coapwire.OptBufferedBytes, 1024)},
		"continue": {lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 3072}, codes.Continue,
			func(m *message.Message) bool {
				got, ok := block1(m)
				return ok && got == block
			}},
		"continue, smaller blocks": {lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 3072, BlockSize: 256}, codes.Continue,
			func(m *message.Message) bool {
				got, ok := block1(m)
				return ok && got.Offset == 2048 && got.Size == 256
			}},
	} {
		t.Run(name, func(t *testing.T) {
			withDevice(t, 4096, respondWith(c.response), func(_ *Server, loop *fakeLoop, device *testDevice) {
				device.send(newRequest(codes.PUT, 1, make([]byte, 1024), withBlock(message.Block1, block)))
				m := device.expect(c.code)
				if c.check != nil && !c.check(m) || m.Token[0] != 1 {
					t.Errorf("response has another token or other options than wanted: %v", m)
				}
				synctest.Wait()
				_, canceled, written := loop.counts()
				if served := c.code == codes.Changed; (written == 1) != served || canceled != 0 {
					t.Errorf("%d responses written, %d canceled; want none canceled, and 1 written if served", written, canceled)
				}
				got := loop.submitted[0].Device
				if got.Block == nil || got.Block.Offset != 2048 || !got.Block.More || len(got.Body) != 1024 || got.ID != "dev" {
					t.Errorf("request was submitted with other device fields than sent: %+v", got)
				}
			})
		})
	}
}
