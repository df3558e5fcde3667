package peer

import (
	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peer/datagram"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// maxPending bounds the messages, and separately the demands, that wait for the next step. A packet that arrives while
// more than maxPending messages wait is dropped. That is safe because the protocols allow for lost datagrams.
const maxPending = 1024

// messages holds messages of all protocols that were received or are to be sent.
type messages struct {
	membership     []membership.Message
	quota          []quota.Message
	outlierReports []outlier.Report
	latencyReports []peerlatency.Report
}

func (m *messages) count() int {
	return len(m.membership) + len(m.quota) + len(m.outlierReports) + len(m.latencyReports)
}

// add appends the messages of a packet.
func (m *messages) add(p datagram.Packet) {
	m.membership = append(m.membership, p.Membership...)
	m.quota = append(m.quota, p.Quota...)
	m.outlierReports = append(m.outlierReports, p.OutlierReports...)
	m.latencyReports = append(m.latencyReports, p.LatencyReports...)
}

// receive decodes a datagram and posts the packet to the event loop. It runs on a goroutine of the socket.
func (s *Service) receive(b []byte) {
	packet, err := s.codec.Decode(b)
	if err != nil || !s.isPeer(packet.From) {
		s.metrics.Add(counterDatagramsInvalid, 1)
		return
	}
	s.loop.Post(func(float64) { s.enqueue(packet) })
}

// isPeer reports whether an index belongs to another gateway of the fleet.
func (s *Service) isPeer(index uint16) bool {
	return int(index) < len(s.options.Peers) && index != s.options.Self
}

// enqueue adds a packet to the input of the next step and makes this step due immediately. It drops duplicates, and packets
// that arrive while the inbox is full.
func (s *Service) enqueue(packet datagram.Packet) {
	if s.replayWindows[packet.From].Replayed(packet.Incarnation, packet.SequenceNumber) {
		s.metrics.Add(counterDatagramsDuplicate, 1)
		return
	}
	if s.inbox.count() > maxPending {
		s.metrics.Add(counterInboxFull, 1)
		return
	}
	s.metrics.Add(counterDatagramsReceived, 1)
	s.inbox.add(packet)
	s.nextStepMs = 0
}
