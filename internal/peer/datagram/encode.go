package datagram

import (
	"encoding/binary"
	"math"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// Encode returns the datagrams that carry a packet: one if everything fits, none if the packet is empty. It gives them the
// sequence numbers that follow *lastSeq, and sets *lastSeq to the last one. It omits membership updates that do not fit into
// the datagram of their message, because gossip repeats them.
func (c *Codec) Encode(p Packet, lastSeq *uint64) [][]byte {
	e := encoder{codec: c, from: p.From, incarnation: p.Incarnation, lastSeq: lastSeq}
	for _, m := range p.Quota {
		e.addQuotaMessage(m)
	}
	for _, r := range p.OutlierReports {
		e.addOutlierReport(r)
	}
	for _, r := range p.LatencyReports {
		e.addLatencyReport(r)
	}
	for _, m := range p.Membership {
		e.addMembershipMessage(m)
	}
	if len(e.items) > 0 {
		e.flush()
	}
	return e.datagrams
}

// encoder collects items and splits them into datagrams.
type encoder struct {
	codec       *Codec
	from        uint16
	incarnation uint32
	lastSeq     *uint64

	items     []byte // items of the datagram that is being filled
	datagrams [][]byte
}

// flush completes the datagram that is being filled.
func (e *encoder) flush() {
	*e.lastSeq++
	b := make([]byte, 0, headerSize+len(e.items)+checksumSize)
	b = append(b, magic...)
	b = append(b, version, 0)
	b = binary.BigEndian.AppendUint16(b, e.from)
	b = binary.BigEndian.AppendUint32(b, e.incarnation)
	b = binary.BigEndian.AppendUint64(b, *e.lastSeq)
	b = append(b, e.items...)
	sum := e.codec.checksum(b)
	e.datagrams = append(e.datagrams, append(b, sum[:]...))
	e.items = e.items[:0]
}

// fits reports whether an item with the given body size fits into the datagram that is being filled.
func (e *encoder) fits(bodySize int) bool {
	return len(e.items)+itemHeaderSize+bodySize <= maxItemsSize
}

// beginItem appends the header of an item. It begins a new datagram if the item does not fit into the current one. The
// caller must append the body.
func (e *encoder) beginItem(t itemType) {
	size := bodySizes[t]
	if !e.fits(size) {
		e.flush()
	}
	e.items = append(e.items, byte(t), byte(size))
}

func (e *encoder) addQuotaMessage(m quota.Message) {
	e.beginItem(itemQuotaMessage)
	b := append(e.items, byte(m.Kind))
	b = binary.BigEndian.AppendUint64(b, m.Pool)
	b = binary.BigEndian.AppendUint32(b, m.RecipientIncarnation)
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	e.items = binary.BigEndian.AppendUint32(b, fixedPointFraction(m))
}

// fixedPointFraction returns the fraction of a quota message as a fixed-point number, limited to the range from 0 to 1. It
// rounds a grant down and any other fraction up.
func fixedPointFraction(m quota.Message) uint32 {
	scaled := max(0, min(1, m.Fraction)) * fixedPointOne
	if m.Kind != quota.LeaseGrant {
		scaled = math.Ceil(scaled)
	}
	return uint32(scaled)
}

func (e *encoder) addOutlierReport(r outlier.Report) {
	e.beginItem(itemOutlierReport)
	b := append(e.items, byte(r.Condition))
	b = binary.BigEndian.AppendUint64(b, r.Server)
	b = append(b, r.Percent)
	b = binary.BigEndian.AppendUint64(b, r.Version)
	e.items = binary.BigEndian.AppendUint16(b, saturatedUint16(r.AgeMs))
}

func (e *encoder) addLatencyReport(r peerlatency.Report) {
	e.beginItem(itemLatencyReport)
	b := binary.BigEndian.AppendUint64(e.items, r.Server)
	b = binary.BigEndian.AppendUint16(b, saturatedUint16(r.LatencyMs/latencyStepMs))
	e.items = binary.BigEndian.AppendUint16(b, saturatedUint16(r.AgeMs))
}

// addMembershipMessage adds a message and those of its updates that fit into the same datagram.
func (e *encoder) addMembershipMessage(m membership.Message) {
	e.beginItem(itemMembershipMessage)
	b := append(e.items, byte(m.Kind))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	e.items = binary.BigEndian.AppendUint16(b, m.Target)
	for _, u := range m.Updates {
		if !e.fits(membershipUpdateSize) {
			break
		}
		e.addMembershipUpdate(u)
	}
}

func (e *encoder) addMembershipUpdate(u membership.Update) {
	e.beginItem(itemMembershipUpdate)
	b := binary.BigEndian.AppendUint16(e.items, u.Member)
	b = append(b, byte(u.State))
	b = binary.BigEndian.AppendUint64(b, u.Incarnation)
	b = binary.BigEndian.AppendUint32(b, u.ProcessIncarnation)
	e.items = binary.BigEndian.AppendUint16(b, u.SuspectedBy)
}

// saturatedUint16 truncates x to an integer and limits it to the range of uint16.
func saturatedUint16(x float64) uint16 { return uint16(max(0, min(math.MaxUint16, x))) }
