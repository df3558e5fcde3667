package fleet

import (
	"net"

	"gaugerelay/internal/decide/members"
	"gaugerelay/internal/decide/share"
	"gaugerelay/internal/decide/verdict"
	"gaugerelay/internal/peer/datagram"
	peer "gaugerelay/internal/peer/fleet"
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
	return &liar{conn: conn, n: n, codec: datagram.New([]byte(fleetKey))}, nil
}

// lie tells a gateway that all nodes fail and are closed, that all others are dead, that it lends the whole of each
// volume, and asks for all.
func (l *liar) lie(to net.Addr, shards, volumes int, round uint64) {
	p := datagram.Packet{From: uint16(l.n), Life: 1}
	for s := range shards {
		for _, k := range []verdict.Kind{verdict.Failing, verdict.Closed} {
			p.Words = append(p.Words, verdict.Evidence{Node: peer.NodeName(nodeID(s), 0), Kind: k, Percent: 100, Stamp: round<<32 + 1})
		}
	}
	for v := range volumes {
		for _, k := range []share.Kind{share.Ask, share.Grant, share.Back, share.Recall} {
			p.Share = append(p.Share, share.Message{Kind: k, Pot: volumeID(v), Seq: uint32(round), Part: 1})
		}
	}
	m := members.Message{Kind: members.Ack, Seq: uint32(round)}
	for g := range l.n {
		m.Rumours = append(m.Rumours, members.Rumour{Member: uint16(g), State: members.Dead, Incarnation: round})
	}
	p.Members = append(p.Members, m)
	for _, b := range l.codec.Encode(p, &l.count) {
		l.conn.WriteTo(b, to)
	}
}
