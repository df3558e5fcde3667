package peerlatency

import (
	"math"
	"slices"
)

// Aggregator collects the latencies that this gateway measures and the reports of peers. It is not safe for concurrent use.
type Aggregator struct {
	settings     Settings
	servers      map[uint64]*server
	order        []uint64 // keys of the map servers, in the order given to SetServers
	lastReportMs float64  // time of the last round of reports
}

// New returns an Aggregator without servers, or an error that wraps ErrInvalidSettings.
func New(settings Settings) (*Aggregator, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Aggregator{settings: settings, servers: map[uint64]*server{}, lastReportMs: math.Inf(-1)}, nil
}

// SetServers sets the servers for which latencies are kept to the first MaxServers of ids. It drops the measurements of other
// servers and the reports about them.
func (a *Aggregator) SetServers(ids []uint64) {
	servers := map[uint64]*server{}
	a.order = nil
	for _, id := range ids[:min(len(ids), a.settings.MaxServers)] {
		if servers[id] != nil {
			continue
		}
		if servers[id] = a.servers[id]; servers[id] == nil {
			servers[id] = &server{id: id}
		}
		a.order = append(a.order, id)
	}
	a.servers = servers
}

// Observe records the latency of a response that this gateway has received. It ignores unknown servers and latencies out of
// range.
func (a *Aggregator) Observe(nowMs float64, id uint64, latencyMs float64) {
	s := a.servers[id]
	if s == nil || !validLatency(latencyMs) {
		return
	}
	s.observe(nowMs, latencyMs, a.settings.DecayMs)
}

// Step processes the reports of peers. It returns the reports of this gateway to send to all peers, if a round of reports is
// due, and the estimates for the servers with new reports of peers. nowMs must not decrease from call to call.
func (a *Aggregator) Step(nowMs float64, received []Report) (outgoing []Report, estimates []Estimate) {
	for _, r := range received {
		a.receive(nowMs, r)
	}
	if len(received) > 0 {
		estimates = a.updatedEstimates(nowMs)
	}
	if nowMs < a.lastReportMs+a.settings.ReportIntervalMs {
		return nil, estimates
	}
	return a.ownReports(nowMs), estimates
}

// NextReportMs returns the time at which the next round of reports is due, or +Inf if there is nothing to report.
func (a *Aggregator) NextReportMs(nowMs float64) float64 {
	for _, id := range a.order {
		if a.servers[id].unreported > 0 {
			return max(nowMs, a.lastReportMs+a.settings.ReportIntervalMs)
		}
	}
	return math.Inf(1)
}

// receive records a report of a peer. It ignores reports that are invalid, too old or about unknown servers.
func (a *Aggregator) receive(nowMs float64, r Report) {
	s := a.servers[r.Server]
	if s == nil || !validLatency(r.LatencyMs) || !(r.AgeMs >= 0 && r.AgeMs <= a.settings.MaxAgeMs) {
		return
	}
	s.dropExpired(nowMs, a.settings.MaxAgeMs)
	s.record(peerReport{peer: r.Peer, latencyMs: r.LatencyMs, measuredAtMs: nowMs - r.AgeMs}, a.settings.MaxPeers)
}

// updatedEstimates returns the estimates for the servers with new reports.
func (a *Aggregator) updatedEstimates(nowMs float64) (estimates []Estimate) {
	for _, id := range a.order {
		s := a.servers[id]
		if !s.hasNewReports {
			continue
		}
		s.hasNewReports = false
		if e, ok := s.estimate(nowMs, a.settings.MaxAgeMs); ok {
			estimates = append(estimates, e)
		}
	}
	return estimates
}

// ownReports returns a round of reports of this gateway. If there is anything to report, it starts the interval until the next
// round.
func (a *Aggregator) ownReports(nowMs float64) (reports []Report) {
	var pending []*server
	for _, id := range a.order {
		if s := a.servers[id]; s.unreported > 0 {
			pending = append(pending, s)
		}
	}
	slices.SortStableFunc(pending, func(x, y *server) int { return y.unreported - x.unreported })
	for _, s := range pending[:min(len(pending), a.settings.MaxServersPerReport)] {
		reports = append(reports, s.report(nowMs))
		a.lastReportMs = nowMs
	}
	return reports
}
