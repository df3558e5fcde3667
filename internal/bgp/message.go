package bgp

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"
)

// Layout of a message header, in octets (RFC 4271, 4.1): a marker whose bits are all 1, the length of the message, and its
// type.
const (
	markerSize   = 16
	markerOctet  = 0xff
	lengthOffset = markerSize
	typeOffset   = 18
	headerSize   = 19
)

// minMessageSize returns the minimum length of a message of the given type. ok is false for unknown types and for
// ROUTE-REFRESH, for which the speaker's OPEN does not advertise the capability.
func minMessageSize(messageType uint8) (size int, ok bool) {
	switch messageType {
	case bgp.BGP_MSG_OPEN:
		return 29, true
	case bgp.BGP_MSG_UPDATE:
		return 23, true
	case bgp.BGP_MSG_NOTIFICATION:
		return 21, true
	case bgp.BGP_MSG_KEEPALIVE:
		return headerSize, true
	}
	return 0, false
}

// readMessage reads one message and checks its header. For an invalid header the error is a *bgp.MessageError with the
// code, subcode and data of the NOTIFICATION to send; other errors are read errors.
func readMessage(r io.Reader) (messageType uint8, body []byte, err error) {
	header := make([]byte, headerSize)
	if _, err := io.ReadFull(r, header); err != nil {
		return 0, nil, err
	}
	if err := checkHeader(header); err != nil {
		return 0, nil, err
	}
	body = make([]byte, messageSize(header)-headerSize)
	_, err = io.ReadFull(r, body)
	return header[typeOffset], body, err
}

func messageSize(header []byte) int { return int(binary.BigEndian.Uint16(header[lengthOffset:])) }

// checkHeader returns a *bgp.MessageError if the header is malformed (RFC 4271, 6.1).
func checkHeader(header []byte) error {
	malformed := func(subcode uint8, data []byte) error {
		return bgp.NewMessageError(bgp.BGP_ERROR_MESSAGE_HEADER_ERROR, subcode, data, fmt.Sprintf("malformed message header %x", header))
	}
	encodedSize := header[lengthOffset:typeOffset]
	size, messageType := messageSize(header), header[typeOffset]
	minSize, known := minMessageSize(messageType)
	switch {
	case !bytes.Equal(header[:markerSize], bytes.Repeat([]byte{markerOctet}, markerSize)):
		return malformed(bgp.BGP_ERROR_SUB_CONNECTION_NOT_SYNCHRONIZED, nil)
	case size < headerSize || size > bgp.BGP_MAX_MESSAGE_LENGTH:
		return malformed(bgp.BGP_ERROR_SUB_BAD_MESSAGE_LENGTH, encodedSize)
	case !known:
		return malformed(bgp.BGP_ERROR_SUB_BAD_MESSAGE_TYPE, header[typeOffset:])
	case size < minSize || messageType == bgp.BGP_MSG_KEEPALIVE && size != minSize:
		return malformed(bgp.BGP_ERROR_SUB_BAD_MESSAGE_LENGTH, encodedSize)
	}
	return nil
}

// parseMessage parses the body of a message of the given type.
func parseMessage(messageType uint8, body []byte) (*bgp.BGPMessage, error) {
	header := &bgp.BGPHeader{Type: messageType, Len: uint16(len(body) + headerSize)}
	return bgp.ParseBGPBody(header, body)
}
