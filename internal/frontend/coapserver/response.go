package coapserver

import (
	"encoding/binary"
	"math"
	"net/http"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
)

// textFailed is the payload of a response to a request that failed but may have been executed.
const textFailed = "failed, it may have been done"

// textMessage returns a response whose payload is a diagnostic text (RFC 7252, 5.5.2).
func textMessage(token message.Token, code codes.Code, text string, options ...message.Option) message.Message {
	return message.Message{Token: token, Code: code, Payload: []byte(text), Options: options}
}

// composeOther returns the message for a response that is not a served one.
func (c *conn) composeOther(p *pendingRequest, response lifecycle.Response) message.Message {
	switch response.Kind {
	case lifecycle.Rejected:
		return textMessage(p.token, codes.ServiceUnavailable, "busy, nothing was done",
			coapwire.UintOption(message.MaxAge, maxAgeSeconds(response.RetryAfterMs)))
	case lifecycle.Conflict:
		return textMessage(p.token, codes.Conflict,
			"another content than that of the exchange it names; nothing of it was done")
	case lifecycle.Continue:
		return c.composeContinue(p)
	case lifecycle.Incomplete:
		return textMessage(p.token, codes.RequestEntityIncomplete, "a block does not fit on",
			coapwire.UintOption(coapwire.OptBufferedBytes, uint32(response.BufferedBytes)))
	case lifecycle.TooLarge:
		return textMessage(p.token, codes.RequestEntityTooLarge, "too large",
			coapwire.UintOption(message.Size1, httpmessage.MaxBodyBytes))
	case lifecycle.Superseded:
		return textMessage(nil, codes.Abort, "newer connections wait for the answer")
	default:
		return textMessage(p.token, codes.BadGateway, textFailed)
	}
}

// composeContinue acknowledges a block of an upload. It requests a smaller block size if one is preferred for the link.
func (c *conn) composeContinue(p *pendingRequest) message.Message {
	block := *p.parsed.block1
	if preferred := c.peerLimits().preferredBlockSize; preferred > 0 && preferred < block.Size {
		block = coapwire.Block{Offset: block.Offset, Size: preferred, More: block.More}
	}
	return message.Message{
		Token:   p.token,
		Code:    codes.Continue,
		Options: message.Options{block.Option(message.Block1)},
	}
}

// servedMessage is the message for a served response.
type servedMessage struct {
	// head is the message. Its payload is a text, or empty if the payload is a part of the body.
	head message.Message
	// start and end are the positions of the payload in the body of the response.
	start, end int
	// complete reports whether this is the last message for the response: the payload is all or the last block of the body, or the
	// message states that the device has the body or cannot receive it.
	complete bool
}

// composeServed returns the message for a served response whose body has the given size and entity tag: the whole body, the requested or
// first block of it, 2.03 (Valid) if the device already has the body, or 5.00 if the body is too large for a device that does not support
// blocks.
func composeServed(p *pendingRequest, size int, etag uint64, limits peerLimits) servedMessage {
	option := message.Option{ID: message.ETag, Value: binary.BigEndian.AppendUint64(nil, etag)}
	m := message.Message{Token: p.token, Code: codes.Content, Options: message.Options{option}}
	if p.parsed.fields.Method == http.MethodPut {
		m.Code = codes.Changed
	}
	if p.parsed.block2 != nil {
		return composeBlock(p, m, size, limits, *p.parsed.block2)
	}
	if m.Code == codes.Content && strings.Contains(p.parsed.etags, string(option.Value)) {
		m.Code = codes.Valid
		return servedMessage{head: m, complete: true}
	}
	if limits.fitsInOneMessage(size) {
		m.Options = appendBlock1(m.Options, p)
		return servedMessage{head: m, end: size, complete: true}
	}
	if !limits.blockwise {
		return servedMessage{head: textMessage(p.token, codes.InternalServerError, "the answer is larger than your Max-Message-Size"),
			complete: true}
	}
	return composeBlock(p, m, size, limits, coapwire.Block{Size: coapwire.BERTBlockSize, BERT: limits.bert})
}

// composeBlock adds the requested block of a body of the given size to m, which already has the code and the ETag of the served response.
func composeBlock(p *pendingRequest, m message.Message, size int, limits peerLimits, requested coapwire.Block) servedMessage {
	block, length := limits.responseBlock(requested)
	if block.Offset > 0 && block.Offset >= size {
		return servedMessage{head: textMessage(p.token, codes.BadOption, "a block behind the end")}
	}
	end := min(block.Offset+length, size)
	block.More = end < size
	m.Options = appendBlock1(append(m.Options, block.Option(message.Block2)), p)
	m.Options = append(m.Options, coapwire.UintOption(message.Size2, uint32(size)))
	return servedMessage{head: m, start: block.Offset, end: end, complete: !block.More}
}

// appendBlock1 appends the Block1 option of the request, which the response to a block of an upload must repeat.
func appendBlock1(options message.Options, p *pendingRequest) message.Options {
	if p.parsed.block1 == nil {
		return options
	}
	return append(options, p.parsed.block1.Option(message.Block1))
}

// maxAgeSeconds rounds a delay up to whole seconds for Max-Age. The result is at least 1, since 0 would mean an immediate retry.
func maxAgeSeconds(ms float64) uint32 { return uint32(max(1, math.Ceil(ms/1000))) }
