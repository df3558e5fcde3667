package datagram

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// samplePacket returns a packet with contents of every type.
func samplePacket() Packet {
	return Packet{
		From:        3,
		Incarnation: 77,
		Membership: []membership.Message{{Kind: membership.Ack, Peer: 3, Seq: 5, Target: 1, Updates: []membership.Update{
			{Member: 3, Incarnation: 9, ProcessIncarnation: 77},
			{Member: 2, State: membership.Suspect, Incarnation: 1 << 40, SuspectedBy: 4},
		}}},
		Quota: []quota.Message{{Kind: quota.LeaseGrant, Pool: 0xb4d60021, Peer: 3, SenderIncarnation: 77,
			RecipientIncarnation: 5, Seq: 8, Fraction: 0.25}},
		OutlierReports: []outlier.Report{{Peer: 3, Server: 1 << 60, Condition: outlier.Withdrawn, Percent: 80,
			Version: 1 << 41, AgeMs: 250}},
		LatencyReports: []peerlatency.Report{{Peer: 3, Server: 77, LatencyMs: 12.5, AgeMs: 40}},
	}
}

// seal appends the checksum to the other bytes of a datagram.
func seal(c *Codec, body []byte) []byte {
	sum := c.checksum(body)
	return append(bytes.Clone(body), sum[:]...)
}

// TestRoundTrip checks that a packet is decoded as it was encoded, and that a datagram that was authenticated with another
// key or has a flipped bit is rejected.
func TestRoundTrip(t *testing.T) {
	for _, key := range []string{"", "of this fleet"} {
		var lastSeq uint64
		codec := NewCodec([]byte(key))
		datagrams := codec.Encode(samplePacket(), &lastSeq)
		if len(datagrams) != 1 {
			t.Fatalf("packet encoded as %d datagrams, want 1", len(datagrams))
		}
		want := samplePacket()
		want.SequenceNumber = 1
		if got, err := codec.Decode(datagrams[0]); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("with key %q: decoded %+v and error %v, want the encoded packet", key, got, err)
		}
		if _, err := NewCodec([]byte("another")).Decode(datagrams[0]); !errors.Is(err, ErrChecksum) {
			t.Errorf("decoded with another key: error %v, want ErrChecksum", err)
		}
		for bit := range 8 * len(datagrams[0]) {
			damaged := bytes.Clone(datagrams[0])
			damaged[bit/8] ^= 1 << (bit % 8)
			if got, err := codec.Decode(damaged); err == nil {
				t.Fatalf("datagram with bit %d flipped decoded as %+v, want an error", bit, got)
			}
		}
	}
}

// TestLargePacketIsSplit checks that a large packet is split into datagrams of the allowed size without losing quota
// messages, and that fractions are rounded so that a lender never records less than its borrower holds.
func TestLargePacketIsSplit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	packet := samplePacket()
	packet.Quota = nil
	for i := range 60 {
		packet.Quota = append(packet.Quota, quota.Message{
			Kind:     quota.MessageKind(1 + i%3),
			Pool:     random.Uint64(),
			Seq:      uint32(i),
			Fraction: random.Float64(),
		})
	}
	for range 40 {
		packet.Membership[0].Updates = append(packet.Membership[0].Updates, membership.Update{Member: 1})
	}
	var lastSeq uint64
	codec := NewCodec(nil)
	var received []quota.Message
	for i, b := range codec.Encode(packet, &lastSeq) {
		if len(b) > MaxSize {
			t.Errorf("datagram has %d bytes, want at most MaxSize", len(b))
		}
		decoded, err := codec.Decode(b)
		if err != nil || decoded.SequenceNumber != uint64(i+1) {
			t.Fatalf("datagram %d decoded with error %v and sequence number %d, want no error and successive numbers from 1",
				i, err, decoded.SequenceNumber)
		}
		received = append(received, decoded.Quota...)
	}
	if len(received) != len(packet.Quota) {
		t.Fatalf("received %d quota messages, want %d", len(received), len(packet.Quota))
	}
	for i, m := range received {
		requireSafeRounding(t, m, packet.Quota[i].Fraction)
	}
}

// requireSafeRounding reports a test error if a received fraction is rounded by too much or in the wrong direction. A grant must
// be rounded down and a return up, so that a lender never records less than its borrower holds.
func requireSafeRounding(t *testing.T, m quota.Message, sent float64) {
	t.Helper()
	wrongDirection := m.Kind == quota.LeaseGrant && m.Fraction > sent || m.Kind == quota.LeaseReturn && m.Fraction < sent
	if wrongDirection || m.Fraction-sent > 1e-9 || sent-m.Fraction > 1e-9 {
		t.Errorf("message %d of kind %v: fraction %v was rounded to %v, want at most 1e-9 down for a grant or up for a return",
			m.Seq, m.Kind, sent, m.Fraction)
	}
}

// TestForwardCompatibility checks that unknown item types and the end of longer bodies are skipped, and that a datagram of
// another version is rejected.
func TestForwardCompatibility(t *testing.T) {
	codec := NewCodec(nil)
	var lastSeq uint64
	b := codec.Encode(samplePacket(), &lastSeq)[0]
	body := bytes.Clone(b[:len(b)-checksumSize])
	body = append(body, 200, 3, 1, 2, 3) // item of an unknown type
	body = append(body, byte(itemMembershipMessage), membershipMessageSize+2)
	body = append(body, byte(membership.Ping), 0, 0, 0, 9, 0, 2)
	body = append(body, 42, 43) // two bytes more than this version expects
	packet, err := codec.Decode(seal(codec, body))
	if err != nil || len(packet.Membership) != 2 || packet.Membership[1].Seq != 9 || len(packet.Quota) != 1 {
		t.Errorf("decoded %+v and error %v, want the known items without the additional bytes", packet, err)
	}
	b[versionOffset]++
	if _, err := codec.Decode(b); !errors.Is(err, ErrVersion) {
		t.Errorf("datagram of another version: error %v, want ErrVersion", err)
	}
}

// FuzzDecode checks that arbitrary items are either rejected or decoded into a packet that can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	codec := NewCodec(nil)
	var lastSeq uint64
	f.Add(codec.Encode(samplePacket(), &lastSeq)[0])
	f.Add([]byte("GR\x01\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > checksumSize { // replace the checksum by a valid one, so that the items are decoded
			b = seal(codec, b[:len(b)-checksumSize])
		}
		packet, err := codec.Decode(b)
		if err != nil {
			if !reflect.DeepEqual(packet, Packet{}) {
				t.Fatalf("error %v with packet %+v, want the zero packet", err, packet)
			}
			return
		}
		lastSeq := packet.SequenceNumber - 1
		for _, m := range packet.Quota {
			if !(m.Fraction >= 0 && m.Fraction <= 1) {
				t.Fatalf("decoded fraction %v, want 0 to 1", m.Fraction)
			}
		}
		for _, encoded := range codec.Encode(packet, &lastSeq) {
			if _, err := codec.Decode(encoded); err != nil {
				t.Fatalf("decoding the packet after encoding it again: %v", err)
			}
		}
	})
}
