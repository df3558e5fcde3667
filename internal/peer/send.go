package peer

import (
	"slices"

	"gaugerelay/internal/peer/datagram"
)

// maxReportRecipients bounds the recipients of one round of reports.
const maxReportRecipients = 16

// send sends each membership and quota message to its recipient, and the reports to reportRecipients.
func (s *Service) send(outbox messages) {
	if s.socket == nil {
		return
	}
	packets := packetSet{template: datagram.Packet{From: s.options.Self, Incarnation: s.options.Incarnation}}
	for _, m := range outbox.membership {
		p := packets.packetFor(m.Peer)
		p.Membership = append(p.Membership, m)
	}
	for _, m := range outbox.quota {
		p := packets.packetFor(m.Peer)
		p.Quota = append(p.Quota, m)
	}
	if len(outbox.outlierReports) > 0 {
		for _, peer := range s.reportRecipients() {
			packets.packetFor(peer).OutlierReports = outbox.outlierReports
		}
	}
	if len(outbox.latencyReports) > 0 {
		for _, peer := range s.reportRecipients() {
			packets.packetFor(peer).LatencyReports = outbox.latencyReports
		}
	}
	s.sendPackets(packets)
}

// sendPackets encodes and sends packets. It drops packets to gateways that do not exist.
func (s *Service) sendPackets(packets packetSet) {
	for i, peer := range packets.recipients {
		if int(peer) >= len(s.options.Peers) {
			continue
		}
		for _, b := range s.codec.Encode(*packets.packets[i], &s.lastDatagramSeq) {
			s.socket.Send(s.options.Peers[peer], b)
		}
	}
}

// reportRecipients returns the gateways that receive a round of reports: all that are alive or, in a large fleet,
// maxReportRecipients of them in rotation.
func (s *Service) reportRecipients() []uint16 {
	alive := s.members.AliveMembers()
	if len(alive) <= maxReportRecipients {
		return alive
	}
	var recipients []uint16
	for range maxReportRecipients {
		recipients = append(recipients, alive[s.nextRecipient%len(alive)])
		s.nextRecipient++
	}
	return recipients
}

// packetSet holds one packet for each recipient, in the order in which packetFor was first called for the recipients.
type packetSet struct {
	template   datagram.Packet // new packets are copies of this packet
	recipients []uint16
	packets    []*datagram.Packet // packets of the recipients, in the same order
}

// packetFor returns the packet for a recipient, which it adds if necessary.
func (s *packetSet) packetFor(peer uint16) *datagram.Packet {
	if i := slices.Index(s.recipients, peer); i >= 0 {
		return s.packets[i]
	}
	packet := s.template
	s.recipients = append(s.recipients, peer)
	s.packets = append(s.packets, &packet)
	return &packet
}
