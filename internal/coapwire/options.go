package coapwire

import (
	"encoding/binary"

	"github.com/plgd-dev/go-coap/v3/message"
)

// Numbers of the options that the gateway defines, from the range that RFC 7252 reserves for experiments. An option with an odd
// number is critical: a receiver that does not know it must reject the request.
const (
	OptDevice          message.OptionID = 65001 // string: name of the device; it applies to later requests on the connection, too
	OptTimeLeft        message.OptionID = 65005 // uint: milliseconds from the sending of the request until the device stops waiting
	OptIdempotencyKey  message.OptionID = 65009 // string: upload key of a write, or request ID of a read
	OptPlan            message.OptionID = 65013 // string: plan of the volume
	OptIO              message.OptionID = 65017 // string: volume, units, shard and hosts, as in the HTTP header X-IO
	OptRetry           message.OptionID = 65021 // empty: its presence says that the device has already sent the whole request before
	OptAge             message.OptionID = 65024 // uint: milliseconds since the request was first sent
	OptBufferedBytes   message.OptionID = 65028 // uint, in a 4.08 response: bytes of the upload that the gateway has buffered
	OptGatewayName     message.OptionID = 65032 // string, in the gateway's CSM: name of the gateway; it changes with each start
	OptPreviousGateway message.OptionID = 65036 // string: OptGatewayName of the gateway that all earlier transmissions were sent to
)

// maxUintLength is the maximum length of a uint option value in bytes (RFC 7252, section 3.2).
const maxUintLength = 4

// UintOption returns an option with a number as its value. The value has as few bytes as possible; zero is the empty value.
func UintOption(id message.OptionID, value uint32) message.Option {
	var encoded [maxUintLength]byte
	binary.BigEndian.PutUint32(encoded[:], value)
	first := 0
	for first < maxUintLength && encoded[first] == 0 {
		first++
	}
	return message.Option{ID: id, Value: encoded[first:]}
}

// DecodeUint decodes the value of a uint option. It returns false if the value is too long.
func DecodeUint(encoded []byte) (value uint32, ok bool) {
	if len(encoded) > maxUintLength {
		return 0, false
	}
	for _, b := range encoded {
		value = value<<8 | uint32(b)
	}
	return value, true
}
