// Golden tests of the datagrams between gateways: their bytes must not change.
package datagram_test

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peer/datagram"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// compareGolden fails the test unless got equals testdata/golden/name.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

const (
	sender     = 0x0304
	senderLife = 0x05060708
	firstCount = 0x1112131415161718
	fleetKey   = "a key of this test"
)

func packet() datagram.Packet { return datagram.Packet{From: sender, Life: senderLife} }

func memberPacket(kind membership.Kind, rumours ...membership.Rumour) datagram.Packet {
	p := packet()
	p.Members = []membership.Message{{Kind: kind, Peer: sender, Seq: 0x21222324, Target: 0x2526, Rumours: rumours}}
	return p
}

func sharePacket(kind quota.MessageKind, part float64) datagram.Packet {
	p := packet()
	p.Share = []quota.Message{{Kind: kind, Pool: 0x3132333435363738, Peer: sender, SenderIncarnation: senderLife, RecipientIncarnation: 0x41424344,
		Seq: 0x45464748, Fraction: part}}
	return p
}

func evidencePacket(kind outlier.Condition) datagram.Packet {
	p := packet()
	p.Words = []outlier.Report{{Peer: sender, Server: 0x5152535455565758, Condition: kind, Percent: 80, Version: 0x6162636465666768,
		AgeMs: 250}}
	return p
}

func samplePacket(milliseconds, ageMs float64) datagram.Packet {
	p := packet()
	p.Samples = []peerlatency.Sample{{Peer: sender, Node: 0x7172737475767778, Ms: milliseconds, AgeMs: ageMs}}
	return p
}

func allRumours() []membership.Rumour {
	return []membership.Rumour{
		{Member: 1, State: membership.Alive, Incarnation: 0x8182838485868788, Life: 0x91929394, By: 2},
		{Member: 3, State: membership.Suspect, Incarnation: 4, Life: 5, By: 6},
		{Member: 7, State: membership.Dead, Incarnation: 8, Life: 9, By: 10},
		{Member: 11, State: membership.Left, Incarnation: 12, Life: 13, By: 14},
	}
}

func fullPacket() datagram.Packet {
	p := memberPacket(membership.Ack, allRumours()...)
	p.Share = sharePacket(quota.LeaseGrant, 0.25).Share
	p.Words = evidencePacket(outlier.Withdrawn).Words
	p.Samples = samplePacket(12.5, 40).Samples
	return p
}

// longPacket needs several datagrams.
func longPacket() datagram.Packet {
	p := fullPacket()
	for i := range 20 {
		message := p.Share[0]
		message.Seq = uint32(i)
		p.Share = append(p.Share, message)
	}
	return p
}

var packetCases = []struct {
	name   string
	packet datagram.Packet
	exact  bool // decoding gives back what was encoded, in one datagram
}{
	{"member ping", memberPacket(membership.Ping), true},
	{"member ping by relay", memberPacket(membership.PingBy), true},
	{"member ack", memberPacket(membership.Ack), true},
	{"member nack", memberPacket(membership.Nack), true},
	{"member ping with rumours", memberPacket(membership.Ping, allRumours()...), true},
	{"share ask", sharePacket(quota.LeaseRequest, 0.5), true},
	{"share grant", sharePacket(quota.LeaseGrant, 0.125), true},
	{"share return", sharePacket(quota.LeaseReturn, 1), true},
	{"share recall", sharePacket(quota.LeaseRecall, 0), true},
	{"share grant is rounded down", sharePacket(quota.LeaseGrant, 0.1), false},
	{"share return is rounded up", sharePacket(quota.LeaseReturn, 0.1), false},
	{"share part beyond the whole", sharePacket(quota.LeaseRequest, 7), false},
	{"evidence failing", evidencePacket(outlier.Failing), true},
	{"evidence closed", evidencePacket(outlier.Withdrawn), true},
	{"latency sample", samplePacket(12.5, 40), true},
	{"latency sample too large", samplePacket(1e9, 1e9), false},
	{"every section", fullPacket(), true},
	{"several datagrams", longPacket(), false},
	{"nothing to say", packet(), false},
}

func TestGoldenDatagrams(t *testing.T) {
	for _, file := range []struct{ name, key string }{{"without-key.txt", ""}, {"with-key.txt", fleetKey}} {
		t.Run(file.name, func(t *testing.T) {
			codec := datagram.New([]byte(file.key))
			var out strings.Builder
			for _, c := range packetCases {
				fmt.Fprintf(&out, "%s\n", c.name)
				count := uint64(firstCount - 1)
				encoded := codec.Encode(c.packet, &count)
				for _, b := range encoded {
					decoded, err := codec.Decode(b)
					fmt.Fprintf(&out, "  %s\n  %v %v\n", hex.EncodeToString(b), decoded, err)
				}
				if c.exact {
					requireSame(t, c.name, codec, c.packet, encoded)
				}
			}
			compareGolden(t, file.name, out.String())
		})
	}
}

// requireSame fails the test unless the single datagram decodes to the packet.
func requireSame(t *testing.T, name string, codec *datagram.Codec, want datagram.Packet, encoded [][]byte) {
	t.Helper()
	if len(encoded) != 1 {
		t.Fatalf("%s: %d datagrams", name, len(encoded))
	}
	want.Count = firstCount
	if got, err := codec.Decode(encoded[0]); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded %v, %v; want %v", name, got, err, want)
	}
}

// encodeOne returns the single datagram that holds the packet.
func encodeOne(t *testing.T, codec *datagram.Codec, p datagram.Packet) []byte {
	t.Helper()
	var count uint64
	encoded := codec.Encode(p, &count)
	if len(encoded) != 1 {
		t.Fatalf("%d datagrams", len(encoded))
	}
	return encoded[0]
}

func TestGoldenRefusedDatagrams(t *testing.T) {
	codec, keyed := datagram.New(nil), datagram.New([]byte(fleetKey))
	changed := func(at int, to byte) []byte {
		b := encodeOne(t, codec, fullPacket())
		b[at] = to
		return b
	}
	var out strings.Builder
	for _, c := range []struct {
		name     string
		codec    *datagram.Codec
		datagram []byte
	}{
		{"empty", codec, nil},
		{"shorter than header and check", codec, changed(0, 'G')[:25]},
		{"longer than allowed", codec, make([]byte, datagram.Most+1)},
		{"another magic", codec, changed(1, 'X')},
		{"another version", codec, changed(2, 2)},
		{"spoilt item", codec, changed(20, 99)},
		{"cut off", codec, changed(0, 'G')[:40]},
		{"keyed, read without key", codec, encodeOne(t, keyed, fullPacket())},
		{"without key, read with one", keyed, encodeOne(t, codec, fullPacket())},
		{"read with another key", datagram.New([]byte("another")), encodeOne(t, keyed, fullPacket())},
	} {
		decoded, err := c.codec.Decode(c.datagram)
		fmt.Fprintf(&out, "%s: %v %v\n", c.name, decoded, err)
	}
	compareGolden(t, "refused.txt", out.String())
}
