package cluster

import (
	"net"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peer"
	"gaugerelay/internal/peer/datagram"
	"gaugerelay/internal/quota"
	"gaugerelay/internal/testbed/loopback"
)

// fleetKey is the key with which all gateways of a run seal their datagrams.
const fleetKey = "of this run"

// byzantinePeer is a member of the fleet that has the key and sends false reports. It sends nothing else, and ignores
// what it receives.
type byzantinePeer struct {
	conn    net.PacketConn
	index   int // in the fleet: behind all gateways
	codec   *datagram.Codec
	counter uint64 // of datagrams
}

func newByzantinePeer(index int) (*byzantinePeer, error) {
	conn, err := loopback.ListenPacket()
	if err != nil {
		return nil, err
	}
	return &byzantinePeer{conn: conn, index: index, codec: datagram.NewCodec([]byte(fleetKey))}, nil
}

func (b *byzantinePeer) addr() string { return b.conn.LocalAddr().String() }

func (b *byzantinePeer) close() { b.conn.Close() }

// sendFalseReports tells a gateway that all servers fail and are withdrawn and all its peers are dead, and asks for,
// grants, returns and recalls the whole quota of each volume. The round must grow from call to call.
func (b *byzantinePeer) sendFalseReports(to net.Addr, shards, volumes int, round uint64) {
	packet := datagram.Packet{From: uint16(b.index), Incarnation: 1}
	for shard := range shards {
		for _, condition := range []outlier.Condition{outlier.Failing, outlier.Withdrawn} {
			packet.OutlierReports = append(packet.OutlierReports, outlier.Report{Server: peer.ServerKey(serverID(shard), 0),
				Condition: condition, Percent: 100, Version: round<<32 + 1})
		}
	}
	for volume := range volumes {
		for _, kind := range []quota.MessageKind{quota.LeaseRequest, quota.LeaseGrant, quota.LeaseReturn, quota.LeaseRecall} {
			packet.Quota = append(packet.Quota, quota.Message{Kind: kind, Pool: volumeID(volume), Seq: uint32(round), Fraction: 1})
		}
	}
	ack := membership.Message{Kind: membership.Ack, Seq: uint32(round)}
	for gateway := range b.index {
		ack.Updates = append(ack.Updates, membership.Update{Member: uint16(gateway), State: membership.Dead, Incarnation: round})
	}
	packet.Membership = append(packet.Membership, ack)
	for _, encoded := range b.codec.Encode(packet, &b.counter) {
		_, _ = b.conn.WriteTo(encoded, to) // datagrams may be lost
	}
}
