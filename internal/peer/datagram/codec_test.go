package datagram

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

func sample() Packet {
	return Packet{From: 3, Life: 77, Members: []membership.Message{{Kind: membership.Ack, Peer: 3, Seq: 5, Target: 1, Rumours: []membership.Rumour{
		{Member: 3, Incarnation: 9, Life: 77}, {Member: 2, State: membership.Suspect, Incarnation: 1 << 40, By: 4}}}},
		Share:   []quota.Message{{Kind: quota.LeaseGrant, Pool: 0xb4d60021, Peer: 3, SenderIncarnation: 77, RecipientIncarnation: 5, Seq: 8, Fraction: 0.25}},
		Words:   []outlier.Report{{Peer: 3, Server: 1 << 60, Condition: outlier.Withdrawn, Percent: 80, Version: 1 << 41, AgeMs: 250}},
		Samples: []peerlatency.Sample{{Peer: 3, Node: 77, Ms: 12.5, AgeMs: 40}}}
}

func TestRoundTrip(t *testing.T) {
	for _, key := range []string{"", "of this fleet"} {
		var count uint64
		c := New([]byte(key))
		all := c.Encode(sample(), &count)
		if len(all) != 1 {
			t.Fatalf("%d datagrams", len(all))
		}
		want := sample()
		want.Count = 1
		if got, err := c.Decode(all[0]); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("key %q: %+v, %v", key, got, err)
		}
		if _, err := New([]byte("another")).Decode(all[0]); err != ErrCheck {
			t.Errorf("with another key: %v", err)
		}
		for bit := range 8 * len(all[0]) { // each bit counts
			b := bytes.Clone(all[0])
			b[bit/8] ^= 1 << (bit % 8)
			if got, err := c.Decode(b); err == nil {
				t.Fatalf("bit %d turned over is taken as %+v", bit, got)
			}
		}
	}
}

// However much there is to say, no datagram is too long, none is lost, and no lender books less than its borrower holds.
func TestManyMessages(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	p := sample()
	p.Share = nil
	for i := range 60 {
		p.Share = append(p.Share, quota.Message{Kind: quota.MessageKind(1 + i%3), Pool: rnd.Uint64(), Seq: uint32(i), Fraction: rnd.Float64()})
	}
	for range 40 {
		p.Members[0].Rumours = append(p.Members[0].Rumours, membership.Rumour{Member: 1})
	}
	var count uint64
	c := New(nil)
	var got []quota.Message
	for i, b := range c.Encode(p, &count) {
		if len(b) > Most {
			t.Errorf("%d bytes", len(b))
		}
		q, err := c.Decode(b)
		if err != nil || q.Count != uint64(i+1) {
			t.Fatalf("datagram %d: %v, count %d", i, err, q.Count)
		}
		got = append(got, q.Share...)
	}
	if len(got) != len(p.Share) {
		t.Fatalf("%d messages of %d", len(got), len(p.Share))
	}
	for i, m := range got {
		sent := p.Share[i].Fraction
		if m.Kind == quota.LeaseGrant && m.Fraction > sent || m.Kind == quota.LeaseReturn && m.Fraction < sent || m.Fraction-sent > 1e-9 || sent-m.Fraction > 1e-9 {
			t.Errorf("message %d of kind %d: %v became %v", i, m.Kind, sent, m.Fraction)
		}
	}
}

// A later version may add types and lengthen items. What it does not say in this version's way is passed over, and
// another version is not understood.
func TestLaterVersions(t *testing.T) {
	c := New(nil)
	var count uint64
	b := c.Encode(sample(), &count)[0]
	body := bytes.Clone(b[:len(b)-checkSize])
	body = append(body, 200, 3, 1, 2, 3)                         // a type that is not known
	body = append(body, typeMember, memberSize+2)                // an item with more than is known
	body = append(body, byte(membership.Ping), 0, 0, 0, 9, 0, 2) //
	body = append(body, 42, 43)
	sum := c.check(body)
	p, err := c.Decode(append(bytes.Clone(body), sum[:]...))
	if err != nil || len(p.Members) != 2 || p.Members[1].Seq != 9 || len(p.Share) != 1 {
		t.Errorf("%+v, %v", p, err)
	}
	b[2]++
	if _, err := c.Decode(b); err != ErrVersion {
		t.Errorf("another version: %v", err)
	}
}

func TestSeen(t *testing.T) {
	var s Seen
	for i, c := range []struct {
		life  uint32
		count uint64
		again bool
	}{{1, 5, false}, {1, 5, true}, {1, 4, false}, {1, 4, true}, {1, 7, false}, {1, 6, false}, {1, 5, true}, {1, 90, false}, {1, 7, true},
		{1, 27, false}, {1, 27, true}, {1, 1000, false}, {1, 999, false}, {1, 90, true}, {2, 1, false}, {2, 1, true}} {
		if got := s.Again(c.life, c.count); got != c.again {
			t.Errorf("%d: count %d of life %d: %v", i, c.count, c.life, got)
		}
	}
}

// Bytes from anywhere never do harm, and what is taken can be said again in the same words.
func FuzzDecode(f *testing.F) {
	c := New(nil)
	var count uint64
	f.Add(c.Encode(sample(), &count)[0])
	f.Add([]byte("GR\x01\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > checkSize { // sealed, so that what is inside is read
			body := b[:len(b)-checkSize]
			sum := c.check(body)
			b = append(bytes.Clone(body), sum[:]...)
		}
		p, err := c.Decode(b)
		if err != nil {
			if !reflect.DeepEqual(p, Packet{}) && err != ErrShort {
				t.Fatalf("%v, and yet %+v", err, p)
			}
			return
		}
		count := p.Count - 1
		for _, m := range p.Share {
			if !(m.Fraction >= 0 && m.Fraction <= 1) {
				t.Fatalf("a part of %v", m.Fraction)
			}
		}
		for _, again := range c.Encode(p, &count) {
			if _, err := c.Decode(again); err != nil {
				t.Fatalf("said again it is not understood: %v", err)
			}
		}
	})
}
