// Package coapwire codes the messages of CoAP over TCP (RFC 8323) for both sides: the gateway's front, and the
// devices that tests put before it. The message format is go-coap's; what it leaves out is here.
package coapwire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/tcp/coder"
)

// Options of ours, from the numbers that RFC 7252 leaves to experiments. Odd ones are critical: whoever does not know
// them must not serve the request.
const (
	OptDevice          message.OptionID = 65001 // string: the device's name; holds for the rest of the connection
	OptTimeLeft        message.OptionID = 65005 // uint: ms that the device waits for the answer, from its sending
	OptIdempotencyKey  message.OptionID = 65009 // string: the upload key of a write, the request's id of a read
	OptPlan            message.OptionID = 65013 // string: the volume's plan
	OptIO              message.OptionID = 65017 // string: volume, units, shard and hosts, as in X-IO
	OptRetry           message.OptionID = 65021 // empty: it has been sent before, to its last byte
	OptAge             message.OptionID = 65024 // uint: ms since it was first sent
	OptBufferedBytes   message.OptionID = 65028 // uint, in 4.08: bytes of the upload that are held
	OptGatewayName     message.OptionID = 65032 // string, in the gateway's CSM: how it names itself, another at each start
	OptPreviousGateway message.OptionID = 65036 // string: the OptName heard when it was first sent; all copies went there
)

const (
	// BERTBlockSize is the unit of block numbers with BERT (RFC 8323, 6).
	BERTBlockSize = 1024
	// DefaultMaxMessageSize is the largest message that a peer takes until its CSM says more.
	DefaultMaxMessageSize = 1152

	bertSZX     = 7
	mostOptions = 48 // in one message
	mostNum     = 1<<20 - 1
)

// ErrMalformed is a message that makes no sense.
var ErrMalformed = errors.New("malformed message")

// FrameLength reads the length of the frame that buf begins with; n is 0 while that has not come.
func FrameLength(buf []byte) (n int, err error) {
	if len(buf) == 0 {
		return 0, nil
	}
	if buf[0]&15 > message.MaxTokenSize {
		return 0, ErrMalformed
	}
	need := 2 + int(buf[0]&15)
	switch buf[0] >> 4 {
	case 13:
		need++
	case 14:
		need += 2
	case 15:
		need += 4
	}
	if len(buf) < need {
		return 0, nil
	}
	var h coder.MessageHeader
	if _, err := coder.DefaultCoder.DecodeHeader(buf[:need], &h); err != nil {
		return 0, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return int(h.MessageLength), nil
}

// Decode reads a whole frame. The options and the payload share buf. Options are kept whether known or not: which of
// those that are not known matter is the caller's to say.
func Decode(buf []byte) (*message.Message, error) {
	var h coder.MessageHeader
	if _, err := coder.DefaultCoder.DecodeHeader(buf, &h); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if int(h.MessageLength) != len(buf) {
		return nil, ErrMalformed
	}
	m := &message.Message{Code: h.Code, Token: append(message.Token(nil), h.Token...), Options: make(message.Options, 0, mostOptions)}
	rest := buf[h.Length:]
	n, err := m.Options.Unmarshal(rest, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	m.Payload = rest[n:]
	return m, nil
}

// Encode writes a message. It panics if a token or an option cannot be coded: none such is made here.
func Encode(m message.Message) []byte {
	n, err := coder.DefaultCoder.Size(m)
	if err != nil {
		panic(err)
	}
	buf := make([]byte, n)
	if _, err := coder.DefaultCoder.Encode(m, buf); err != nil {
		panic(err)
	}
	return buf
}

// UintOption is a number option in as few bytes as it needs.
func UintOption(id message.OptionID, v uint32) message.Option {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], v)
	i := 0
	for i < 4 && b[i] == 0 {
		i++
	}
	return message.Option{ID: id, Value: b[i:]}
}

// DecodeUint reads the value of a number option.
func DecodeUint(b []byte) (v uint32, ok bool) {
	if len(b) > 4 {
		return 0, false
	}
	for _, x := range b {
		v = v<<8 | uint32(x)
	}
	return v, true
}

// Block is the value of a Block option: a part of a body.
type Block struct {
	Offset, Size int // Size: of a block, or the unit with BERT
	More, BERT   bool
}

// DecodeBlock reads the value of a Block option.
func DecodeBlock(b []byte) (Block, bool) {
	v, ok := DecodeUint(b)
	if !ok || len(b) > 3 {
		return Block{}, false
	}
	p := Block{More: v&8 != 0, Size: 16 << (v & 7), BERT: v&7 == bertSZX}
	if p.BERT {
		p.Size = BERTBlockSize
	}
	p.Offset = int(v>>4) * p.Size
	return p, true
}

// Option is the place as a Block option. Its size is a power of two from 16 to 1024.
func (p Block) Option(id message.OptionID) message.Option {
	szx := uint32(bertSZX)
	if !p.BERT {
		for szx = 0; 16<<szx < p.Size; szx++ {
		}
	}
	v := uint32(min(p.Offset/p.Size, mostNum))<<4 | szx
	if p.More {
		v |= 8
	}
	return UintOption(id, v)
}
