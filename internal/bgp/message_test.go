package bgp

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"
)

// FuzzReadMessage checks that readMessage does not panic for any input, and that each message that it accepts has a valid
// length and is handled in every state without a panic.
func FuzzReadMessage(f *testing.F) {
	keepalive, err := bgp.NewBGPKeepAliveMessage().Serialize()
	if err != nil {
		f.Fatal(err)
	}
	marker := bytes.Repeat([]byte{markerOctet}, markerSize)
	f.Add(keepalive)
	f.Add(append(bytes.Clone(marker), 0, 18, 4))
	f.Add(append(bytes.Clone(marker), 0x20, 0, 2))
	f.Add(append(bytes.Clone(marker), 0, 23, 5, 0, 1, 0, 1))
	f.Fuzz(func(t *testing.T, in []byte) {
		messageType, body, err := readMessage(bytes.NewReader(in))
		if err != nil {
			return
		}
		size := len(body) + headerSize
		minSize, _ := minMessageSize(messageType)
		if int(binary.BigEndian.Uint16(in[lengthOffset:])) != size || minSize > size {
			t.Errorf("accepted a message of type %d with a body of %d bytes, which contradicts its header %x",
				messageType, len(body), in[:headerSize])
		}
		options := testOptions()
		for _, state := range []sessionState{stateOpenSent, stateOpenConfirm, stateEstablished} {
			s := &session{options: &options, state: state}
			s.handleMessage(0, messageType, body)
		}
	})
}
