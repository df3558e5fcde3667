package coapserver

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

// download requests the blocks after the first one and returns the body and the number of blocks. Each block must carry the
// given size of the whole body and the given ETag.
func (d *testDevice) download(first *message.Message, wantSize uint32, wantETag uint64) (body []byte, blocks int) {
	d.t.Helper()
	m := first
	body, blocks = m.Payload, 1
	for token := byte(2); m.Options.HasOption(message.Block2); token++ {
		value, _ := m.Options.GetBytes(message.Block2)
		block, _ := coapwire.DecodeBlock(value)
		etag, _ := m.Options.GetBytes(message.ETag)
		if size, _ := m.Options.GetUint32(message.Size2); size != wantSize || binary.BigEndian.Uint64(etag) != wantETag {
			d.t.Fatalf("block has Size2 %d and ETag %x, want those of the whole body", size, etag)
		}
		if !block.More {
			break
		}
		next := coapwire.Block{Offset: len(body), Size: block.Size, BERT: block.BERT}
		d.send(newRequest(codes.GET, token, nil, withBlock(message.Block2, next)))
		m = d.expect(codes.Content)
		body = append(body, m.Payload...)
		blocks++
	}
	return body, blocks
}

// A response that is too large for the device or its link is sent in blocks, and the device can request each of them. The length of
// the first block is limited by the preferred block size and by Max-Message-Size less maxResponseOverhead. Several blocks of 1 KiB
// fit into one message (BERT) if Max-Message-Size is above 1152. Each block is the response to a separate request: only the request
// for the last block is reported to the Loop as written, and the others are canceled.
func TestBlockwiseResponse(t *testing.T) {
	body := make([]byte, 5000)
	for i := range body {
		body[i] = byte(i / 7)
	}
	for _, c := range []struct {
		maxMessageSize     uint32
		preferredBlockSize int
		firstLength        int
	}{
		{1152, 0, 1024},
		{1152, 256, 256},
		{4000, 0, 3072},
		{4000, 2048, 2048},
		{8000, 0, 5000},
		{8000, 1024, 1024},
	} {
		response := lifecycle.Response{Body: body, ETag: 77, BlockSize: c.preferredBlockSize}
		t.Run(fmt.Sprintf("max message %d, preferred block %d", c.maxMessageSize, c.preferredBlockSize), func(t *testing.T) {
			withDevice(t, c.maxMessageSize, respondWith(response), func(_ *Server, loop *fakeLoop, device *testDevice) {
				device.send(newRequest(codes.GET, 1, nil, nil))
				first := device.expect(codes.Content)
				if len(first.Payload) != c.firstLength {
					t.Errorf("first block has %d bytes, want the firstLength of the test case", len(first.Payload))
				}
				got, blocks := device.download(first, 5000, 77)
				synctest.Wait()
				if _, canceled, written := loop.counts(); !bytes.Equal(got, body) || written != 1 || canceled != blocks-1 {
					t.Errorf("got %d bytes in %d blocks, %d written, %d canceled; want all bytes, 1 written, the other blocks canceled",
						len(got), blocks, written, canceled)
				}
				pastEnd := coapwire.Block{Offset: 8192, Size: 1024}
				device.send(newRequest(codes.GET, 100, nil, withBlock(message.Block2, pastEnd)))
				device.expect(codes.BadOption)
				etag := message.Option{ID: message.ETag, Value: []byte{0, 0, 0, 0, 0, 0, 0, 77}}
				device.send(newRequest(codes.GET, 101, nil, addOption(etag)))
				if m := device.expect(codes.Valid); len(m.Payload) != 0 {
					t.Errorf("response to a request with the matching ETag has a payload of %d bytes, want none", len(m.Payload))
				}
			})
		})
	}
}
