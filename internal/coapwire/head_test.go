package coapwire

import (
	"bytes"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// A head and its payload are the bytes that Encode returns for the whole message, for all forms of its length.
func TestEncodeHeadIsTheBeginningOfTheFrame(t *testing.T) {
	for _, token := range []message.Token{nil, {1, 2, 3}, {1, 2, 3, 4, 5, 6, 7, 8}} {
		for _, options := range []message.Options{nil, {{ID: message.ETag, Value: []byte("12345678")}, UintOption(message.Size2, 70000)}} {
			for _, length := range []int{0, 1, 11, 12, 13, 14, 240, 255, 256, 257, 268, 269, 300, 65535, 65780, 65803, 65804, 65805, 65806, 70000} {
				m := message.Message{Code: codes.Content, Token: token, Options: options, Payload: bytes.Repeat([]byte("p"), length)}
				if got := append(EncodeHead(m, length), m.Payload...); !bytes.Equal(got, Encode(m)) {
					t.Errorf("token %v, %d options, payload of %d bytes: the head is not that of Encode: %x", token, len(options), length, got[:min(len(got), 24)])
				}
			}
		}
	}
}
