// Package datagram is how gateways of a fleet speak with each other: datagrams of at most 256 bytes, each whole in
// itself, that may be lost, doubled and reordered.
//
//	0  "GR", version, 0
//	4  number of the sender (2), its life (4), its count of datagrams (8)
//	18 items: type (1), length of the rest (1), the rest; a type that is not known is skipped, and so is what an item has
//	   beyond what is known of it
//	-8 check: the first bytes of HMAC-SHA256 where there is a key, xxhash64 where there is none, of all before
//
// All numbers are big-endian. A later version may add types and lengthen items; one that changes what is there counts
// the version up, and is not understood by this one. Parts are 32-bit fixed point, of which 2^31 is the whole; a grant is
// rounded down and a return up, so that no lender books less than its borrower holds.
package datagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// Most is the longest datagram.
const Most = 256

const (
	version    = 1
	headerSize = 18
	checkSize  = 8
	room       = Most - headerSize - checkSize

	typeMember = 1
	typeRumour = 2
	typeShare  = 3
	typeWord   = 4
	typeSample = 5

	memberSize = 7
	rumourSize = 17
	shareSize  = 21
	wordSize   = 20
	sampleSize = 12

	sampleStep = 0.125 // ms of a latency
)

// Packet is what a datagram holds. Peers in its messages are not encoded: they are the sender, or the receiver.
type Packet struct {
	From    uint16
	Life    uint32
	Count   uint64
	Members []membership.Message // each datagram has the rumours of all of its messages; decoded, the first has them
	Share   []quota.Message
	Words   []outlier.Report
	Samples []peerlatency.Sample
}

// Why a datagram is dropped.
var (
	ErrShort   = errors.New("datagram: too short or too long, or no datagram of a gateway")
	ErrVersion = errors.New("datagram: of another version")
	ErrCheck   = errors.New("datagram: spoilt, or not with this fleet's key")
	ErrItem    = errors.New("datagram: an item is cut off or cannot be")
)

// Codec seals and opens datagrams.
type Codec struct{ key []byte }

// New returns a codec; without a key anyone who reaches the fleet's addresses can speak in it.
func New(key []byte) *Codec { return &Codec{append([]byte(nil), key...)} }

func (c *Codec) check(b []byte) (sum [checkSize]byte) {
	if len(c.key) == 0 {
		binary.BigEndian.PutUint64(sum[:], xxhash.Sum64(b))
		return sum
	}
	mac := hmac.New(sha256.New, c.key)
	mac.Write(b)
	copy(sum[:], mac.Sum(nil))
	return sum
}

// Encode makes datagrams of what goes to one member: one where it fits, each with a count of its own from *count on.
// Rumours that do not fit are left out; they are told again.
func (c *Codec) Encode(p Packet, count *uint64) (out [][]byte) {
	var items []byte
	flush := func() {
		*count++
		b := make([]byte, 0, headerSize+len(items)+checkSize)
		b = append(b, 'G', 'R', version, 0)
		b = binary.BigEndian.AppendUint16(b, p.From)
		b = binary.BigEndian.AppendUint32(b, p.Life)
		b = binary.BigEndian.AppendUint64(b, *count)
		b = append(b, items...)
		sum := c.check(b)
		out = append(out, append(b, sum[:]...))
		items = items[:0]
	}
	add := func(kind byte, size int, rest func(b []byte) []byte) {
		if len(items)+2+size > room {
			flush()
		}
		items = rest(append(items, kind, byte(size)))
	}
	for _, m := range p.Share {
		add(typeShare, shareSize, func(b []byte) []byte {
			b = append(b, byte(m.Kind))
			b = binary.BigEndian.AppendUint64(b, m.Pool)
			b = binary.BigEndian.AppendUint32(b, m.RecipientIncarnation)
			b = binary.BigEndian.AppendUint32(b, m.Seq)
			return binary.BigEndian.AppendUint32(b, fixed(m.Fraction, m.Kind != quota.LeaseGrant))
		})
	}
	for _, e := range p.Words {
		add(typeWord, wordSize, func(b []byte) []byte {
			b = binary.BigEndian.AppendUint64(append(b, byte(e.Condition)), e.Server)
			b = binary.BigEndian.AppendUint64(append(b, e.Percent), e.Version)
			return binary.BigEndian.AppendUint16(b, uint16(max(0, min(math.MaxUint16, e.AgeMs))))
		})
	}
	for _, s := range p.Samples {
		add(typeSample, sampleSize, func(b []byte) []byte {
			b = binary.BigEndian.AppendUint64(b, s.Node)
			b = binary.BigEndian.AppendUint16(b, uint16(max(0, min(math.MaxUint16, s.Ms/sampleStep))))
			return binary.BigEndian.AppendUint16(b, uint16(max(0, min(math.MaxUint16, s.AgeMs))))
		})
	}
	for _, m := range p.Members {
		add(typeMember, memberSize, func(b []byte) []byte {
			b = binary.BigEndian.AppendUint32(append(b, byte(m.Kind)), m.Seq)
			return binary.BigEndian.AppendUint16(b, m.Target)
		})
		for _, r := range m.Rumours {
			if len(items)+2+rumourSize > room {
				break
			}
			add(typeRumour, rumourSize, func(b []byte) []byte {
				b = append(binary.BigEndian.AppendUint16(b, r.Member), byte(r.State))
				b = binary.BigEndian.AppendUint64(b, r.Incarnation)
				b = binary.BigEndian.AppendUint32(b, r.Life)
				return binary.BigEndian.AppendUint16(b, r.By)
			})
		}
	}
	if len(items) > 0 {
		flush()
	}
	return out
}

const whole = 1 << 31

func fixed(part float64, up bool) uint32 {
	x := max(0, min(1, part)) * whole
	if up {
		return uint32(math.Ceil(x))
	}
	return uint32(x)
}

// Decode reads a datagram. Nothing of one that is not whole is taken.
func (c *Codec) Decode(b []byte) (p Packet, err error) {
	if len(b) < headerSize+checkSize || len(b) > Most || b[0] != 'G' || b[1] != 'R' {
		return p, ErrShort
	}
	if b[2] != version {
		return p, ErrVersion // how it is sealed is not known either
	}
	end := len(b) - checkSize
	if sum := c.check(b[:end]); !hmac.Equal(sum[:], b[end:]) {
		return p, ErrCheck
	}
	p.From, p.Life, p.Count = binary.BigEndian.Uint16(b[4:]), binary.BigEndian.Uint32(b[6:]), binary.BigEndian.Uint64(b[10:])
	var rumours []membership.Rumour
	for items := b[headerSize:end]; len(items) > 0; {
		if len(items) < 2 || len(items) < 2+int(items[1]) {
			return Packet{}, ErrItem
		}
		kind, x := items[0], items[2:2+int(items[1])]
		items = items[2+len(x):]
		switch {
		case kind == typeMember && len(x) >= memberSize:
			p.Members = append(p.Members, membership.Message{Kind: membership.Kind(x[0]), Peer: p.From,
				Seq: binary.BigEndian.Uint32(x[1:]), Target: binary.BigEndian.Uint16(x[5:])})
		case kind == typeRumour && len(x) >= rumourSize:
			rumours = append(rumours, membership.Rumour{Member: binary.BigEndian.Uint16(x), State: membership.State(x[2]),
				Incarnation: binary.BigEndian.Uint64(x[3:]), Life: binary.BigEndian.Uint32(x[11:]), By: binary.BigEndian.Uint16(x[15:])})
		case kind == typeShare && len(x) >= shareSize:
			part := binary.BigEndian.Uint32(x[17:])
			if part > whole {
				return Packet{}, ErrItem
			}
			p.Share = append(p.Share, quota.Message{Kind: quota.MessageKind(x[0]), Peer: p.From, SenderIncarnation: p.Life, Pool: binary.BigEndian.Uint64(x[1:]),
				RecipientIncarnation: binary.BigEndian.Uint32(x[9:]), Seq: binary.BigEndian.Uint32(x[13:]), Fraction: float64(part) / whole})
		case kind == typeWord && len(x) >= wordSize:
			p.Words = append(p.Words, outlier.Report{Peer: p.From, Condition: outlier.Condition(x[0]), Server: binary.BigEndian.Uint64(x[1:]), Percent: x[9],
				Version: binary.BigEndian.Uint64(x[10:]), AgeMs: float64(binary.BigEndian.Uint16(x[18:]))})
		case kind == typeSample && len(x) >= sampleSize:
			p.Samples = append(p.Samples, peerlatency.Sample{Peer: p.From, Node: binary.BigEndian.Uint64(x),
				Ms: float64(binary.BigEndian.Uint16(x[8:])) * sampleStep, AgeMs: float64(binary.BigEndian.Uint16(x[10:]))})
		case kind >= typeMember && kind <= typeSample:
			return Packet{}, ErrItem
		}
	}
	if len(rumours) > 0 {
		if len(p.Members) == 0 {
			return Packet{}, ErrItem
		}
		p.Members[0].Rumours = rumours
	}
	return p, nil
}

// Seen tells repeats: of each life of a sender, counts that came already, or so long ago that nobody knows.
type Seen struct {
	life  uint32
	top   uint64
	below uint64 // bit i: top-1-i has come
}

// Again notes a count and tells whether it came before. What every message is about may come again without harm; this
// spares the work, and lets repeats be counted.
func (s *Seen) Again(life uint32, count uint64) bool {
	switch {
	case life != s.life:
		*s = Seen{life: life, top: count}
		return false
	case count > s.top:
		by := count - s.top
		if s.below = s.below << by; by <= 64 {
			s.below |= 1 << (by - 1)
		}
		if by > 64 {
			s.below = 0
		}
		s.top = count
		return false
	case count == s.top || s.top-count > 64:
		return true
	}
	bit := uint64(1) << (s.top - count - 1)
	again := s.below&bit != 0
	s.below |= bit
	return again
}
