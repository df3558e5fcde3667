package peerlatency

import (
	"math"
	"slices"
)

// minReports is the number of peers that must have reported on a server for an estimate.
const minReports = 2

// server is what an Aggregator knows about one server.
type server struct {
	id uint64

	// latencySum and weight are exponentially decayed sums over own responses as of observedAtMs.
	latencySum, weight float64
	observedAtMs       float64
	unreported         int // own responses since the last own report

	reports       []peerReport // at most one for each peer
	hasNewReports bool         // since the last estimate
}

// peerReport is the most recent report of one peer.
type peerReport struct {
	peer         uint16
	latencyMs    float64
	measuredAtMs float64
}

// observe adds the latency of an own response to the decayed mean.
func (s *server) observe(nowMs, latencyMs, decayMs float64) {
	decay := math.Exp(-max(0, nowMs-s.observedAtMs) / decayMs)
	s.latencySum = s.latencySum*decay + latencyMs
	s.weight = s.weight*decay + 1
	s.observedAtMs = nowMs
	s.unreported++
}

// report returns the own report on the server.
func (s *server) report(nowMs float64) Report {
	s.unreported = 0
	return Report{Server: s.id, LatencyMs: s.latencySum / s.weight, AgeMs: nowMs - s.observedAtMs}
}

// dropExpired removes reports that are older than maxAgeMs.
func (s *server) dropExpired(nowMs, maxAgeMs float64) {
	s.reports = slices.DeleteFunc(s.reports, func(r peerReport) bool { return nowMs-r.measuredAtMs > maxAgeMs })
}

// record keeps a report if it is the first one of its peer, unless maxPeers have reported, or supersedes the kept one.
func (s *server) record(r peerReport, maxPeers int) {
	i := slices.IndexFunc(s.reports, func(kept peerReport) bool { return kept.peer == r.peer })
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

// supersedes reports whether r is more recent than another report of the same peer. The lower latency decides between
// reports of the same time, so that their order does not matter.
func (r peerReport) supersedes(other peerReport) bool {
	return r.measuredAtMs > other.measuredAtMs || r.measuredAtMs == other.measuredAtMs && r.latencyMs < other.latencyMs
}

// estimate returns the lower median of the reports that have not expired. It returns false for fewer than minReports.
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
