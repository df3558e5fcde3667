package datagram

import (
	"crypto/hmac"
	"encoding/binary"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// Decode returns the packet that a datagram carries. If it returns an error, the packet is the zero value. The packet does
// not share memory with b.
func (c *Codec) Decode(b []byte) (Packet, error) {
	items, err := c.verify(b)
	if err != nil {
		return Packet{}, err
	}
	d := decoder{packet: Packet{
		From:           binary.BigEndian.Uint16(b[fromOffset:]),
		Incarnation:    binary.BigEndian.Uint32(b[incarnationOffset:]),
		SequenceNumber: binary.BigEndian.Uint64(b[seqOffset:]),
	}}
	if err := d.readItems(items); err != nil {
		return Packet{}, err
	}
	return d.packet, nil
}

// verify checks the length, header and checksum of a datagram. It returns the bytes of its items.
func (c *Codec) verify(b []byte) (items []byte, err error) {
	if len(b) < headerSize+checksumSize || len(b) > MaxSize || string(b[:len(magic)]) != magic {
		return nil, ErrFormat
	}
	if b[versionOffset] != version {
		return nil, ErrVersion // the checksum is verified later, since another version may compute it differently
	}
	end := len(b) - checksumSize
	if sum := c.checksum(b[:end]); !hmac.Equal(sum[:], b[end:]) {
		return nil, ErrChecksum
	}
	return b[headerSize:end], nil
}

// decoder collects the contents of one datagram.
type decoder struct {
	packet  Packet
	updates []membership.Update // updates of all membership messages
}

func (d *decoder) readItems(items []byte) error {
	for len(items) > 0 {
		if len(items) < itemHeaderSize || len(items) < itemHeaderSize+int(items[1]) {
			return ErrItem
		}
		end := itemHeaderSize + int(items[1])
		if err := d.readItem(itemType(items[0]), items[itemHeaderSize:end]); err != nil {
			return err
		}
		items = items[end:]
	}
	if len(d.updates) == 0 {
		return nil
	}
	if len(d.packet.Membership) == 0 {
		return ErrItem
	}
	d.packet.Membership[0].Updates = d.updates
	return nil
}

// readItem adds the contents of one item. It skips items of unknown types.
func (d *decoder) readItem(t itemType, body []byte) error {
	if int(t) < len(bodySizes) && len(body) < bodySizes[t] {
		return ErrItem
	}
	p := &d.packet
	switch t {
	case itemMembershipMessage:
		p.Membership = append(p.Membership, readMembershipMessage(body, p.From))
	case itemMembershipUpdate:
		d.updates = append(d.updates, readMembershipUpdate(body))
	case itemQuotaMessage:
		m, err := readQuotaMessage(body, p)
		if err != nil {
			return err
		}
		p.Quota = append(p.Quota, m)
	case itemOutlierReport:
		p.OutlierReports = append(p.OutlierReports, readOutlierReport(body, p.From))
	case itemLatencyReport:
		p.LatencyReports = append(p.LatencyReports, readLatencyReport(body, p.From))
	}
	return nil
}

func readMembershipMessage(body []byte, from uint16) membership.Message {
	return membership.Message{
		Kind:   membership.MessageKind(body[0]),
		Peer:   from,
		Seq:    binary.BigEndian.Uint32(body[1:]),
		Target: binary.BigEndian.Uint16(body[5:]),
	}
}

func readMembershipUpdate(body []byte) membership.Update {
	return membership.Update{
		Member:             binary.BigEndian.Uint16(body),
		State:              membership.State(body[2]),
		Incarnation:        binary.BigEndian.Uint64(body[3:]),
		ProcessIncarnation: binary.BigEndian.Uint32(body[11:]),
		SuspectedBy:        binary.BigEndian.Uint16(body[15:]),
	}
}

func readQuotaMessage(body []byte, sender *Packet) (quota.Message, error) {
	fraction := binary.BigEndian.Uint32(body[17:])
	if fraction > fixedPointOne {
		return quota.Message{}, ErrItem
	}
	return quota.Message{
		Kind:                 quota.MessageKind(body[0]),
		Peer:                 sender.From,
		SenderIncarnation:    sender.Incarnation,
		Pool:                 binary.BigEndian.Uint64(body[1:]),
		RecipientIncarnation: binary.BigEndian.Uint32(body[9:]),
		Seq:                  binary.BigEndian.Uint32(body[13:]),
		Fraction:             float64(fraction) / fixedPointOne,
	}, nil
}

func readOutlierReport(body []byte, from uint16) outlier.Report {
	return outlier.Report{
		Peer:      from,
		Condition: outlier.Condition(body[0]),
		Server:    binary.BigEndian.Uint64(body[1:]),
		Percent:   body[9],
		Version:   binary.BigEndian.Uint64(body[10:]),
		AgeMs:     float64(binary.BigEndian.Uint16(body[18:])),
	}
}

func readLatencyReport(body []byte, from uint16) peerlatency.Report {
	return peerlatency.Report{
		Peer:      from,
		Server:    binary.BigEndian.Uint64(body),
		LatencyMs: float64(binary.BigEndian.Uint16(body[8:])) * latencyStepMs,
		AgeMs:     float64(binary.BigEndian.Uint16(body[10:])),
	}
}
