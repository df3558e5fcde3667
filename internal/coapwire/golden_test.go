package coapwire

import (
	"fmt"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/testbed"
)

func TestGoldenEncode(t *testing.T) {
	token := message.Token{1, 2}
	for name, m := range map[string]message.Message{
		"empty-ping": {Code: codes.Ping},
		"csm": {Code: codes.CSM, Options: message.Options{UintOption(message.TCPMaxMessageSize, 4096),
			{ID: message.TCPBlockWiseTransfer}, {ID: OptGatewayName, Value: []byte("gateway-1")}}},
		"push": {Code: codes.PUT, Token: token, Payload: []byte("data"), Options: message.Options{
			{ID: message.URIPath, Value: []byte("push")}, {ID: message.URIPath, Value: []byte("7f3a9c21e0b4d655")},
			{ID: OptDevice, Value: []byte("dev")}, UintOption(OptTimeLeft, 2000), {ID: OptIdempotencyKey, Value: []byte("k1")},
			{ID: OptPlan, Value: []byte("basic")}, {ID: OptIO, Value: []byte("volume=1,units=2,shard=3,hosts=1")},
			{ID: OptRetry}, UintOption(OptAge, 300), {ID: OptPreviousGateway, Value: []byte("gateway-0")}}},
		"held":         {Code: codes.RequestEntityIncomplete, Token: token, Options: message.Options{UintOption(OptBufferedBytes, 1024)}},
		"payload-13":   {Code: codes.Content, Token: token, Payload: []byte(strings.Repeat("x", 13))},
		"payload-300":  {Code: codes.Content, Token: token, Payload: []byte(strings.Repeat("x", 300))},
		"payload-long": {Code: codes.Content, Token: token, Payload: []byte(strings.Repeat("x", 66000))},
	} {
		t.Run(name, func(t *testing.T) {
			wire := Encode(m)
			testbed.CompareGolden(t, "encode-"+name, fmt.Sprintf("%x\n%d bytes\n", wire[:min(len(wire), 400)], len(wire)))
		})
	}
}

func TestGoldenUint(t *testing.T) {
	var out strings.Builder
	for _, v := range []uint32{0, 1, 255, 256, 65535, 65536, 1 << 24, 1<<32 - 1} {
		fmt.Fprintf(&out, "%d: %x\n", v, UintOption(OptTimeLeft, v).Value)
	}
	testbed.CompareGolden(t, "uint", out.String())
}

func TestGoldenBlockOption(t *testing.T) {
	var out strings.Builder
	for _, p := range []Block{{Size: 16}, {Size: 1024}, {Offset: 2048, Size: 1024, More: true}, {Offset: 512, Size: 64},
		{Offset: 3072, Size: BERTBlockSize, BERT: true, More: true}, {Offset: 64 << 10, Size: BERTBlockSize, BERT: true}} {
		fmt.Fprintf(&out, "offset %d size %d more %t bert %t: %x\n", p.Offset, p.Size, p.More, p.BERT, p.Option(message.Block1).Value)
	}
	testbed.CompareGolden(t, "block-option", out.String())
}
