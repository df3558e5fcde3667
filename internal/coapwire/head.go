package coapwire

import (
	"encoding/binary"
	"errors"

	"github.com/plgd-dev/go-coap/v3/message"
)

const (
	// payloadMarker separates the options of a message from its payload (RFC 7252, section 3).
	payloadMarker = 0xff
	// Smallest lengths that need the forms length8Bit, length16Bit and length32Bit.
	minLength8Bit  = 13
	minLength16Bit = 269
	minLength32Bit = 65805
)

// EncodeHead encodes a message without its payload, which must have the given length and be sent behind the head. The payload of m is
// ignored. It panics if the token or an option cannot be encoded, like Encode.
func EncodeHead(m message.Message, payloadLength int) []byte {
	optionsLength, err := m.Options.Marshal(nil)
	if err != nil && !errors.Is(err, message.ErrTooSmall) {
		panic(err)
	}
	if len(m.Token) > message.MaxTokenSize {
		panic(message.ErrInvalidTokenLen)
	}
	length := optionsLength
	if payloadLength > 0 {
		length += 1 + payloadLength
	}
	head := appendLength(nil, length, len(m.Token))
	head = append(head, byte(m.Code))
	head = append(head, m.Token...)
	options := make([]byte, optionsLength)
	if _, err := m.Options.Marshal(options); err != nil {
		panic(err)
	}
	head = append(head, options...)
	if payloadLength > 0 {
		head = append(head, payloadMarker)
	}
	return head
}

// appendLength appends the first byte of a frame and the length that follows it.
func appendLength(head []byte, length, tokenLength int) []byte {
	first := func(nibble int) byte { return byte(nibble<<lengthShift | tokenLength) }
	switch {
	case length < minLength8Bit:
		return append(head, first(length))
	case length < minLength16Bit:
		return append(head, first(length8Bit), byte(length-minLength8Bit))
	case length < minLength32Bit:
		return binary.BigEndian.AppendUint16(append(head, first(length16Bit)), uint16(length-minLength16Bit))
	default:
		return binary.BigEndian.AppendUint32(append(head, first(length32Bit)), uint32(length-minLength32Bit))
	}
}
