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

// fleetKey is the key with which the gateways of a run authenticate their datagrams.
const fleetKey = "of this run"

// byzantinePeer is a member of the fleet that has the key and sends false reports. It sends nothing else and ignores all
// datagrams that it receives.
type byzantinePeer struct {
	conn       net.PacketConn
	index      int // member index of the peer in the fleet, which follows the index of the last gateway
	codec      *datagram.Codec
	lastNumber uint64 // number of the last datagram sent
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

// sendFalseReports sends a gateway reports that all servers fail, that all servers are withdrawn, and that all gateways are
// dead. It also requests, grants, returns and recalls the whole quota of each volume. round must increase from call to
// call, because versions, sequence numbers and incarnations are derived from it.
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
	for _, encoded := range b.codec.Encode(packet, &b.lastNumber) {
		_, _ = b.conn.WriteTo(encoded, to) // a send error equals a lost datagram
	}
}
