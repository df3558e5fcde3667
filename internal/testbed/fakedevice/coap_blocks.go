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
	// bertUnit is the largest block size in bytes without BERT (RFC 8323). A BERT message contains several blocks of this size.
	bertUnit = 1024
	// maxUploadRestarts is the number of times that a transmission resumes an upload, at the offset that resumeOffset returns,
	// after a response 4.08 (Request Entity Incomplete). The next such response is the result of the transmission.
	maxUploadRestarts = 3
)

// upload sends a body in blocks, starting after the bytes that the gateway has acknowledged, and returns the final response.
func (t *CoAP) upload(ctx context.Context, tx *transmission, res *result) (*message.Message, error) {
	if t.uploaded == nil {
		t.uploaded = map[string]int{}
	}
	id := tx.Key + digest(tx.Body)
	size := t.BlockSize
	for restarts := 0; ; {
		offset := t.uploaded[id]
		end := min(offset+size, len(tx.Body))
		block := coapwire.Block{Offset: offset, Size: min(size, bertUnit), BERT: size > bertUnit, More: end < len(tx.Body)}
		if !block.More {
			res.sentCompletely, res.sentAt, t.responseStarted = true, time.Now(), false
		}
		options := message.Options{block.Option(message.Block1), coapwire.UintOption(message.Size1, uint32(len(tx.Body))),
			{ID: message.RequestTag, Value: []byte(digest(tx.Body))[:8]}}
		response, err := t.request(ctx, tx, options, tx.Body[offset:end])
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
			t.uploaded[id] = resumeOffset(response, size, len(tx.Body))
		default:
			return response, nil
		}
	}
}

// acceptedBlockSize returns the size of the next blocks. This is the size in the Block1 option of the response if it is not a BERT
// size, is smaller than the current size, and divides the number of acknowledged bytes. Otherwise it is the current size.
func acceptedBlockSize(response *message.Message, size, acknowledged int) int {
	encoded, err := response.Options.GetBytes(message.Block1)
	if err != nil {
		return size
	}
	if requested, ok := coapwire.DecodeBlock(encoded); ok && !requested.BERT && requested.Size < size &&
		acknowledged%requested.Size == 0 {
		return requested.Size
	}
	return size
}

// resumeOffset returns the offset at which an upload continues. This is the number of bytes that the gateway reports as buffered.
// It is 0 if the gateway reports no number, or one that is not a multiple of the block size or not less than the body's size.
func resumeOffset(response *message.Message, size, bodySize int) int {
	buffered, err := response.Options.GetUint32(coapwire.OptBufferedBytes)
	if err == nil && int(buffered)%size == 0 && int(buffered) < bodySize {
		return int(buffered)
	}
	return 0
}

// resumeOptions returns the Block2 option that requests the rest of a response of which earlier transmissions have received the
// first part. It returns nil if that part is shorter than a block. Otherwise it also copies the part to res, which then keeps the
// part if nothing more is received.
func resumeOptions(tx *transmission, res *result) message.Options {
	if len(tx.partial) < bertUnit {
		return nil
	}
	res.partial, res.etag = tx.partial, tx.etag
	block := coapwire.Block{Offset: len(tx.partial) / bertUnit * bertUnit, Size: bertUnit}
	return message.Options{block.Option(message.Block2)}
}

// download receives the blocks of a response. An earlier transmission may have received some of them already.
func (t *CoAP) download(ctx context.Context, tx *transmission, response *message.Message, res result) (result, error) {
	var body []byte
	if len(tx.partial) > 0 {
		body = tx.partial
	}
	for {
		if response.Code != codes.Content {
			interpretResponse(response, &res)
			return res, nil
		}
		encoded, _ := response.Options.GetBytes(message.Block2) // An absent option decodes as a single block at offset 0.
		block, ok := coapwire.DecodeBlock(encoded)
		if !ok {
			return res, ErrNoResponse
		}
		etag, _ := response.Options.GetBytes(message.ETag) // The ETag is empty if the option is absent.
		if isOtherResponse(string(etag), tx, res) {
			body, tx.etag = nil, ""
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
		if response, err = t.request(ctx, tx, message.Options{next.Option(message.Block2)}, nil); err != nil {
			return res, ErrNoResponse
		}
	}
}

// isOtherResponse reports whether a block with the given ETag belongs to another response than the blocks received before.
func isOtherResponse(etag string, tx *transmission, res result) bool {
	return res.etag != "" && res.etag != etag || tx.etag != "" && tx.etag != etag
}
