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

func TestRoundTrip(t *testing.T) {
	for _, key := range []string{"", "of this fleet"} {
		var number uint64
		codec := NewCodec([]byte(key))
		datagrams := codec.Encode(samplePacket(), &number)
		if len(datagrams) != 1 {
			t.Fatalf("%d datagrams", len(datagrams))
		}
		want := samplePacket()
		want.Number = 1
		if got, err := codec.Decode(datagrams[0]); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("key %q: %+v, %v", key, got, err)
		}
		if _, err := NewCodec([]byte("another")).Decode(datagrams[0]); !errors.Is(err, ErrChecksum) {
			t.Errorf("with another key: %v", err)
		}
		for bit := range 8 * len(datagrams[0]) {
			damaged := bytes.Clone(datagrams[0])
			damaged[bit/8] ^= 1 << (bit % 8)
			if got, err := codec.Decode(damaged); err == nil {
				t.Fatalf("with bit %d flipped: decoded %+v", bit, got)
			}
		}
	}
}

// TestLargePacketIsSplit checks that a large packet is split into datagrams of the allowed size without losing quota
// messages, and the rounding of fractions never lets a lender record less than its borrower holds.
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
	var number uint64
	codec := NewCodec(nil)
	var received []quota.Message
	for i, b := range codec.Encode(packet, &number) {
		if len(b) > MaxSize {
			t.Errorf("%d bytes", len(b))
		}
		decoded, err := codec.Decode(b)
		if err != nil || decoded.Number != uint64(i+1) {
			t.Fatalf("datagram %d: %v, number %d", i, err, decoded.Number)
		}
		received = append(received, decoded.Quota...)
	}
	if len(received) != len(packet.Quota) {
		t.Fatalf("%d messages of %d", len(received), len(packet.Quota))
	}
	for i, m := range received {
		requireSafeRounding(t, m, packet.Quota[i].Fraction)
	}
}

// requireSafeRounding reports an error if a received fraction is rounded by too much or in the wrong direction.
func requireSafeRounding(t *testing.T, m quota.Message, sent float64) {
	t.Helper()
	wrongDirection := m.Kind == quota.LeaseGrant && m.Fraction > sent || m.Kind == quota.LeaseReturn && m.Fraction < sent
	if wrongDirection || m.Fraction-sent > 1e-9 || sent-m.Fraction > 1e-9 {
		t.Errorf("message %d of kind %v: %v became %v", m.Seq, m.Kind, sent, m.Fraction)
	}
}

// TestForwardCompatibility checks that unknown item types and the end of longer bodies are skipped, and another version
// is rejected.
func TestForwardCompatibility(t *testing.T) {
	codec := NewCodec(nil)
	var number uint64
	b := codec.Encode(samplePacket(), &number)[0]
	body := bytes.Clone(b[:len(b)-checksumSize])
	body = append(body, 200, 3, 1, 2, 3) // an unknown item
	body = append(body, byte(itemMembershipMessage), membershipMessageSize+2)
	body = append(body, byte(membership.Ping), 0, 0, 0, 9, 0, 2)
	body = append(body, 42, 43) // more than this version expects
	packet, err := codec.Decode(seal(codec, body))
	if err != nil || len(packet.Membership) != 2 || packet.Membership[1].Seq != 9 || len(packet.Quota) != 1 {
		t.Errorf("%+v, %v", packet, err)
	}
	b[versionOffset]++
	if _, err := codec.Decode(b); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
}

// FuzzDecode checks that arbitrary items either are rejected or yield a packet that can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	codec := NewCodec(nil)
	var number uint64
	f.Add(codec.Encode(samplePacket(), &number)[0])
	f.Add([]byte("GR\x01\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > checksumSize { // a valid checksum lets the decoder reach the items
			b = seal(codec, b[:len(b)-checksumSize])
		}
		packet, err := codec.Decode(b)
		if err != nil {
			if !reflect.DeepEqual(packet, Packet{}) {
				t.Fatalf("%v, but packet %+v", err, packet)
			}
			return
		}
		number := packet.Number - 1
		for _, m := range packet.Quota {
			if !(m.Fraction >= 0 && m.Fraction <= 1) {
				t.Fatalf("fraction %v", m.Fraction)
			}
		}
		for _, again := range codec.Encode(packet, &number) {
			if _, err := codec.Decode(again); err != nil {
				t.Fatalf("encoded again: %v", err)
			}
		}
	})
}
