package fakedevice

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/testbed/invariants"
)

const (
	// bertUnit is the block size in which BERT counts, and the largest one without it.
	bertUnit = 1024
	// maxUploadRestarts is how often a copy goes back to another block before it accepts the response.
	maxUploadRestarts = 3
)

// upload sends a body by blocks, from where the gateway has it, and returns the final response.
func (t *CoAP) upload(ctx context.Context, c *requestCopy, res *result) (*message.Message, error) {
	if t.uploaded == nil {
		t.uploaded = map[string]int{}
	}
	id := c.Key + digest(c.Body)
	size := t.BlockSize
	for restarts := 0; ; {
		offset := t.uploaded[id]
		end := min(offset+size, len(c.Body))
		block := coapwire.Block{Offset: offset, Size: min(size, bertUnit), BERT: size > bertUnit, More: end < len(c.Body)}
		if !block.More {
			res.sentCompletely, res.sentAt, t.responseStarted = true, time.Now(), false
		}
		options := message.Options{block.Option(message.Block1), coapwire.UintOption(message.Size1, uint32(len(c.Body))),
			{ID: message.RequestTag, Value: []byte(digest(c.Body))[:8]}}
		response, err := t.request(ctx, c, options, c.Body[offset:end])
		if err != nil {
			return nil, err
		}
		switch response.Code {
		case codes.Continue:
			t.uploaded[id] = end
			size = acceptedBlockSize(response, size, end)
		case codes.RequestEntityIncomplete:
			if restarts++; restarts > maxUploadRestarts {
				return response, nil
			}
			t.uploaded[id] = resumeOffset(response, size, len(c.Body))
		default:
			return response, nil
		}
	}
}

// acceptedBlockSize returns the size of the next blocks: a smaller one if the gateway asks for it and the bytes that it has
// are a multiple of it.
func acceptedBlockSize(response *message.Message, size, acknowledged int) int {
	encoded, err := response.Options.GetBytes(message.Block1)
	if err != nil {
		return size
	}
	if asked, ok := coapwire.DecodeBlock(encoded); ok && !asked.BERT && asked.Size < size && acknowledged%asked.Size == 0 {
		return asked.Size
	}
	return size
}

// resumeOffset returns the offset from which the gateway lacks an upload, 0 if it does not name one that blocks can start at.
func resumeOffset(response *message.Message, size, bodySize int) int {
	has, err := response.Options.GetUint32(coapwire.OptBufferedBytes)
	if err == nil && int(has)%size == 0 && int(has) < bodySize {
		return int(has)
	}
	return 0
}

// resumeOptions returns the option that asks for what is missing of a response of which an earlier copy has received a part.
// That part stays the result's until more is received.
func resumeOptions(c *requestCopy, res *result) message.Options {
	if len(c.partial) < bertUnit {
		return nil
	}
	res.partial, res.etag = c.partial, c.etag
	block := coapwire.Block{Offset: len(c.partial) / bertUnit * bertUnit, Size: bertUnit}
	return message.Options{block.Option(message.Block2)}
}

// download receives the blocks of a response, of which an earlier copy may have received a part already.
func (t *CoAP) download(ctx context.Context, c *requestCopy, response *message.Message, res result) (result, error) {
	var body []byte
	if len(c.partial) > 0 {
		body = c.partial
	}
	for {
		if response.Code != codes.Content {
			interpretResponse(response, &res)
			return res, nil
		}
		encoded, _ := response.Options.GetBytes(message.Block2) // Absent: not a block.
		block, ok := coapwire.DecodeBlock(encoded)
		if !ok {
			return res, ErrNoResponse
		}
		etag, _ := response.Options.GetBytes(message.ETag) // Absent: empty.
		if isOtherResponse(string(etag), c, res) {
			body, c.etag = nil, ""
		}
		res.etag = string(etag)
		if block.Offset <= len(body) {
			body = append(append([]byte(nil), body[:block.Offset]...), response.Payload...)
		}
		if !block.More && block.Offset+len(response.Payload) == len(body) {
			res.outcome, res.content = invariants.Served, digest(body)
			return res, nil
		}
		res.partial = body
		next := coapwire.Block{Offset: len(body) / block.Size * block.Size, Size: block.Size, BERT: block.BERT}
		var err error
		if response, err = t.request(ctx, c, message.Options{next.Option(message.Block2)}, nil); err != nil {
			return res, ErrNoResponse
		}
	}
}

// isOtherResponse reports whether a block belongs to another response than those before it.
func isOtherResponse(etag string, c *requestCopy, res result) bool {
	return res.etag != "" && res.etag != etag || c.etag != "" && c.etag != etag
}
