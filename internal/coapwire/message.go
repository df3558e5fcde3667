// Package coapwire encodes and decodes the messages of CoAP over TCP (RFC 8323) for both ends: the gateway's server and
// the devices that tests connect to it. It adds what go-coap lacks: the length of a frame that has arrived only in part, the
// values of Block options (RFC 7959), and the option numbers that the gateway defines.
//
// The package has no state and starts no goroutine. Its functions may be called from any goroutine.
package coapwire

import (
	"errors"
	"fmt"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/tcp/coder"
)

// DefaultMaxMessageSize is the largest message, in bytes, that a peer accepts until its CSM gives another limit (RFC 8323,
// section 5.3.1).
const DefaultMaxMessageSize = 1152

// maxOptions is the maximum number of options that Decode accepts in one message.
const maxOptions = 48

// Layout of the first byte of a frame (RFC 8323, section 3.2). The upper four bits are the length of the options and the payload,
// or one of the values length8Bit, length16Bit and length32Bit, which say that the length follows as a number of so many bits. The
// lower four bits are the length of the token.
const (
	lengthShift     = 4
	tokenLengthMask = 0x0f

	length8Bit  = 13
	length16Bit = 14
	length32Bit = 15
)

// ErrMalformed reports bytes that are not a valid message. Its text is sent to devices and therefore has no package prefix.
var ErrMalformed = errors.New("malformed message")

// FrameLength returns the length in bytes of the frame at the start of buf, or 0 if buf does not contain the whole header of
// the frame. The frame itself may be longer than buf. An error wraps ErrMalformed.
func FrameLength(buf []byte) (int, error) {
	if len(buf) == 0 {
		return 0, nil
	}
	tokenLength := int(buf[0] & tokenLengthMask)
	if tokenLength > message.MaxTokenSize {
		return 0, ErrMalformed
	}
	headerLength := 2 + tokenLength
	switch buf[0] >> lengthShift {
	case length8Bit:
		headerLength++
	case length16Bit:
		headerLength += 2
	case length32Bit:
		headerLength += 4
	}
	if len(buf) < headerLength {
		return 0, nil
	}
	var header coder.MessageHeader
	if _, err := coder.DefaultCoder.DecodeHeader(buf[:headerLength], &header); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return int(header.MessageLength), nil
}

// Decode decodes exactly one frame. The options and the payload of the message share memory with frame. Unknown options
// are kept, so that the caller can decide which of them it must reject. An error wraps ErrMalformed.
func Decode(frame []byte) (*message.Message, error) {
	var header coder.MessageHeader
	if _, err := coder.DefaultCoder.DecodeHeader(frame, &header); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if int(header.MessageLength) != len(frame) {
		return nil, ErrMalformed
	}
	decoded := &message.Message{
		Code:    header.Code,
		Token:   append(message.Token(nil), header.Token...),
		Options: make(message.Options, 0, maxOptions),
	}
	body := frame[header.Length:]
	optionsLength, err := decoded.Options.Unmarshal(body, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	decoded.Payload = body[optionsLength:]
	return decoded, nil
}

// Encode encodes a message as one frame. It panics if the token or an option cannot be encoded. This is a programming error;
// data from a peer cannot cause it.
func Encode(m message.Message) []byte {
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		panic(err)
	}
	frame := make([]byte, size)
	if _, err := coder.DefaultCoder.Encode(m, frame); err != nil {
		panic(err)
	}
	return frame
}
