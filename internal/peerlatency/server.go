package peerlatency

import (
	"math"
	"slices"
)

// minReports is the smallest number of peers with a valid report about a server that allows an estimate.
const minReports = 2

// server is the state that an Aggregator has for one server.
type server struct {
	id uint64

	// latencySum is the sum of the latencies of the responses to this gateway, and weight is their number. Both decay
	// exponentially with time; the stored values are those at observedAtMs.
	latencySum, weight float64
	observedAtMs       float64
	unreported         int // number of responses to this gateway since its last report about the server

	reports       []peerReport // latest reports of peers, at most one for each peer
	hasNewReports bool         // whether the field reports has changed since the last estimate
}

// peerReport is the most recent report of one peer.
type peerReport struct {
	peer         uint16
	latencyMs    float64
	measuredAtMs float64
}

// observe adds the latency of a response to the decayed sums.
func (s *server) observe(nowMs, latencyMs, decayMs float64) {
	decay := math.Exp(-max(0, nowMs-s.observedAtMs) / decayMs)
	s.latencySum = s.latencySum*decay + latencyMs
	s.weight = s.weight*decay + 1
	s.observedAtMs = nowMs
	s.unreported++
}

// report returns this gateway's report about the server.
func (s *server) report(nowMs float64) Report {
	s.unreported = 0
	return Report{Server: s.id, LatencyMs: s.latencySum / s.weight, AgeMs: nowMs - s.observedAtMs}
}

// dropExpired removes reports that are older than maxAgeMs.
func (s *server) dropExpired(nowMs, maxAgeMs float64) {
	s.reports = slices.DeleteFunc(s.reports, func(r peerReport) bool { return nowMs-r.measuredAtMs > maxAgeMs })
}

// record stores a report if it supersedes the stored report of the same peer. The report of a peer without a
// stored report is stored only if fewer than maxPeers reports are stored.
func (s *server) record(r peerReport, maxPeers int) {
	i := slices.IndexFunc(s.reports, func(stored peerReport) bool { return stored.peer == r.peer })
	switch {
	case i < 0 && len(s.reports) < maxPeers:
		s.reports = append(s.reports, r)
	case i >= 0 && r.supersedes(s.reports[i]):
		s.reports[i] = r
	default:
		return
	}
	s.hasNewReports = true
}

// supersedes reports whether r is more recent than another report of the same peer. Of two reports of the same
// time, the one with the lower latency supersedes the other one, so that the order in which they arrive does not matter.
func (r peerReport) supersedes(other peerReport) bool {
	return r.measuredAtMs > other.measuredAtMs || r.measuredAtMs == other.measuredAtMs && r.latencyMs < other.latencyMs
}

// estimate returns the lower median of the reports that have not expired. It returns false if fewer than minReports
// of them remain.
func (s *server) estimate(nowMs, maxAgeMs float64) (Estimate, bool) {
	var latencies []float64
	for _, r := range s.reports {
		if nowMs-r.measuredAtMs <= maxAgeMs {
			latencies = append(latencies, r.latencyMs)
		}
	}
	if len(latencies) < minReports {
		return Estimate{}, false
	}
	slices.Sort(latencies)
	return Estimate{Server: s.id, LatencyMs: latencies[(len(latencies)-1)/2], PeerCount: len(latencies)}, true
}
