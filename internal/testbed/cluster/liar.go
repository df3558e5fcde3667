package cluster

import (
	"net"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peer"
	"gaugerelay/internal/peer/datagram"
	"gaugerelay/internal/quota"
)

// fleetKey is what all processes of a run seal their datagrams with.
const fleetKey = "of this run"

// liar is a gateway that has the key and a number of its own, the one behind all others, and says what is not so. Until
// it is told to it says nothing.
type liar struct {
	conn  net.PacketConn
	n     int
	codec *datagram.Codec
	count uint64
}

func newLiar(n int) (*liar, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &liar{conn: conn, n: n, codec: datagram.NewCodec([]byte(fleetKey))}, nil
}

// lie tells a gateway that all nodes fail and are closed, that all others are dead, that it lends the whole of each
// volume, and asks for all.
func (l *liar) lie(to net.Addr, shards, volumes int, round uint64) {
	p := datagram.Packet{From: uint16(l.n), Incarnation: 1}
	for s := range shards {
		for _, k := range []outlier.Condition{outlier.Failing, outlier.Withdrawn} {
			p.OutlierReports = append(p.OutlierReports, outlier.Report{Server: peer.ServerKey(nodeID(s), 0), Condition: k, Percent: 100, Version: round<<32 + 1})
		}
	}
	for v := range volumes {
		for _, k := range []quota.MessageKind{quota.LeaseRequest, quota.LeaseGrant, quota.LeaseReturn, quota.LeaseRecall} {
			p.Quota = append(p.Quota, quota.Message{Kind: k, Pool: volumeID(v), Seq: uint32(round), Fraction: 1})
		}
	}
	m := membership.Message{Kind: membership.Ack, Seq: uint32(round)}
	for g := range l.n {
		m.Updates = append(m.Updates, membership.Update{Member: uint16(g), State: membership.Dead, Incarnation: round})
	}
	p.Membership = append(p.Membership, m)
	for _, b := range l.codec.Encode(p, &l.count) {
		l.conn.WriteTo(b, to)
	}
}
