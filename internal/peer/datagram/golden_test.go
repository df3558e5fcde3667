// Golden tests of the datagrams between gateways, whose bytes must not change.
package datagram_test

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peer/datagram"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
	"gaugerelay/internal/testbed"
)

// formatPlain formats a value like the verb %v, but without calling String methods, because the golden files contain enum
// values as numbers.
func formatPlain(v reflect.Value) string {
	var elements []string
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			elements = append(elements, formatPlain(v.Field(i)))
		}
		return "{" + strings.Join(elements, " ") + "}"
	case reflect.Slice:
		for i := range v.Len() {
			elements = append(elements, formatPlain(v.Index(i)))
		}
		return "[" + strings.Join(elements, " ") + "]"
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.FormatUint(v.Uint(), 10)
	default:
		return fmt.Sprint(v.Interface())
	}
}

const (
	sender            = 0x0304
	senderIncarnation = 0x05060708
	firstSeq          = 0x1112131415161718
	testKey           = "a key of this test"
)

func packet() datagram.Packet { return datagram.Packet{From: sender, Incarnation: senderIncarnation} }

func memberPacket(kind membership.MessageKind, updates ...membership.Update) datagram.Packet {
	p := packet()
	p.Membership = []membership.Message{{Kind: kind, Peer: sender, Seq: 0x21222324, Target: 0x2526, Updates: updates}}
	return p
}

func quotaPacket(kind quota.MessageKind, fraction float64) datagram.Packet {
	p := packet()
	p.Quota = []quota.Message{{Kind: kind, Pool: 0x3132333435363738, Peer: sender, SenderIncarnation: senderIncarnation,
		RecipientIncarnation: 0x41424344, Seq: 0x45464748, Fraction: fraction}}
	return p
}

func outlierPacket(condition outlier.Condition) datagram.Packet {
	p := packet()
	p.OutlierReports = []outlier.Report{{Peer: sender, Server: 0x5152535455565758, Condition: condition, Percent: 80,
		Version: 0x6162636465666768, AgeMs: 250}}
	return p
}

func latencyPacket(latencyMs, ageMs float64) datagram.Packet {
	p := packet()
	p.LatencyReports = []peerlatency.Report{{Peer: sender, Server: 0x7172737475767778, LatencyMs: latencyMs, AgeMs: ageMs}}
	return p
}

func allUpdates() []membership.Update {
	return []membership.Update{
		{Member: 1, State: membership.Alive, Incarnation: 0x8182838485868788, ProcessIncarnation: 0x91929394, SuspectedBy: 2},
		{Member: 3, State: membership.Suspect, Incarnation: 4, ProcessIncarnation: 5, SuspectedBy: 6},
		{Member: 7, State: membership.Dead, Incarnation: 8, ProcessIncarnation: 9, SuspectedBy: 10},
		{Member: 11, State: membership.Left, Incarnation: 12, ProcessIncarnation: 13, SuspectedBy: 14},
	}
}

func fullPacket() datagram.Packet {
	p := memberPacket(membership.Ack, allUpdates()...)
	p.Quota = quotaPacket(quota.LeaseGrant, 0.25).Quota
	p.OutlierReports = outlierPacket(outlier.Withdrawn).OutlierReports
	p.LatencyReports = latencyPacket(12.5, 40).LatencyReports
	return p
}

// longPacket returns a packet that does not fit into one datagram.
func longPacket() datagram.Packet {
	p := fullPacket()
	for i := range 20 {
		message := p.Quota[0]
		message.Seq = uint32(i)
		p.Quota = append(p.Quota, message)
	}
	return p
}

var packetCases = []struct {
	name   string
	packet datagram.Packet
	exact  bool // whether the packet fits into one datagram and is decoded without rounding
}{
	{"member ping", memberPacket(membership.Ping), true},
	{"member ping by relay", memberPacket(membership.PingRequest), true},
	{"member ack", memberPacket(membership.Ack), true},
	{"member nack", memberPacket(membership.Nack), true},
	{"member ping with rumours", memberPacket(membership.Ping, allUpdates()...), true},
	{"share ask", quotaPacket(quota.LeaseRequest, 0.5), true},
	{"share grant", quotaPacket(quota.LeaseGrant, 0.125), true},
	{"share return", quotaPacket(quota.LeaseReturn, 1), true},
	{"share recall", quotaPacket(quota.LeaseRecall, 0), true},
	{"share grant is rounded down", quotaPacket(quota.LeaseGrant, 0.1), false},
	{"share return is rounded up", quotaPacket(quota.LeaseReturn, 0.1), false},
	{"share part beyond the whole", quotaPacket(quota.LeaseRequest, 7), false},
	{"evidence failing", outlierPacket(outlier.Failing), true},
	{"evidence closed", outlierPacket(outlier.Withdrawn), true},
	{"latency sample", latencyPacket(12.5, 40), true},
	{"latency sample too large", latencyPacket(1e9, 1e9), false},
	{"every section", fullPacket(), true},
	{"several datagrams", longPacket(), false},
	{"nothing to say", packet(), false},
}

func TestGoldenDatagrams(t *testing.T) {
	for _, file := range []struct{ name, key string }{{"without-key", ""}, {"with-key", testKey}} {
		t.Run(file.name, func(t *testing.T) {
			codec := datagram.NewCodec([]byte(file.key))
			var out strings.Builder
			for _, c := range packetCases {
				fmt.Fprintf(&out, "%s\n", c.name)
				lastSeq := uint64(firstSeq - 1)
				encoded := codec.Encode(c.packet, &lastSeq)
				for _, b := range encoded {
					decoded, err := codec.Decode(b)
					fmt.Fprintf(&out, "  %s\n  %s %v\n", hex.EncodeToString(b), formatPlain(reflect.ValueOf(decoded)), err)
				}
				if c.exact {
					requireSame(t, c.name, codec, c.packet, encoded)
				}
			}
			testbed.CompareGolden(t, file.name, out.String())
		})
	}
}

// requireSame fails the test unless encoded is a single datagram that decodes to want.
func requireSame(t *testing.T, name string, codec *datagram.Codec, want datagram.Packet, encoded [][]byte) {
	t.Helper()
	if len(encoded) != 1 {
		t.Fatalf("%s: encoded as %d datagrams, want 1", name, len(encoded))
	}
	want.SequenceNumber = firstSeq
	if got, err := codec.Decode(encoded[0]); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded %v with error %v, want %v", name, got, err, want)
	}
}

// encodeOne returns the only datagram of a packet that fits into one.
func encodeOne(t *testing.T, codec *datagram.Codec, p datagram.Packet) []byte {
	t.Helper()
	var lastSeq uint64
	encoded := codec.Encode(p, &lastSeq)
	if len(encoded) != 1 {
		t.Fatalf("packet encoded as %d datagrams, want 1", len(encoded))
	}
	return encoded[0]
}

func TestGoldenRejectedDatagrams(t *testing.T) {
	codec, keyed := datagram.NewCodec(nil), datagram.NewCodec([]byte(testKey))
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
		{"longer than allowed", codec, make([]byte, datagram.MaxSize+1)},
		{"another magic", codec, changed(1, 'X')},
		{"another version", codec, changed(2, 2)},
		{"spoilt item", codec, changed(20, 99)},
		{"cut off", codec, changed(0, 'G')[:40]},
		{"keyed, read without key", codec, encodeOne(t, keyed, fullPacket())},
		{"without key, read with one", keyed, encodeOne(t, codec, fullPacket())},
		{"read with another key", datagram.NewCodec([]byte("another")), encodeOne(t, keyed, fullPacket())},
	} {
		decoded, err := c.codec.Decode(c.datagram)
		fmt.Fprintf(&out, "%s: %s %v\n", c.name, formatPlain(reflect.ValueOf(decoded)), err)
	}
	testbed.CompareGolden(t, "refused", out.String())
}
