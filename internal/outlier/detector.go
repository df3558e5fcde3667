package outlier

import (
	"cmp"
	"math"
	"slices"
)

// minPercentChange is the smallest change of an observation, in percentage points, that is reported without waiting for the
// end of the report interval. A change from or to 0 is always reported immediately.
const minPercentChange = 20

// Detector holds what one gateway knows about the condition of servers. It is not safe for concurrent use.
type Detector struct {
	settings      Settings
	servers       map[uint64]*server
	order         []uint64 // keys of the map servers, in the order given to SetServers
	aliveGateways int
	lastVersion   uint64 // version of this gateway's latest report, or 0 before the first one
	ejections     []Ejection
}

// New returns a detector without servers, or an error that wraps ErrInvalidSettings.
func New(settings Settings) (*Detector, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Detector{settings: settings, servers: map[uint64]*server{}, aliveGateways: 1}, nil
}

// SetServers replaces the list of servers by the first MaxServers of ids. The caller passes the servers of this gateway's
// endpoint list and those that were removed from it recently. SetServers undoes earlier calls of
// MarkWithdrawn. The detector removes the state of servers that are not listed, and ignores reports about them.
func (d *Detector) SetServers(ids []uint64) {
	d.order = nil
	listed := map[uint64]*server{}
	for _, id := range ids[:min(len(ids), d.settings.MaxServers)] {
		if listed[id] != nil {
			continue
		}
		s := d.servers[id]
		if s == nil {
			s = &server{id: id}
		}
		s.withdrawn = false
		listed[id] = s
		d.order = append(d.order, id)
	}
	d.servers = listed
}

// SetAliveGateways sets the number of gateways that are alive, including this one.
func (d *Detector) SetAliveGateways(count int) { d.aliveGateways = count }

// RecordAttempt records the end of an attempt at a server.
func (d *Detector) RecordAttempt(nowMs float64, id uint64, failed bool) {
	s := d.servers[id]
	if s == nil {
		return
	}
	s.decay(nowMs, d.settings.DecayMs)
	s.recordAttempt(failed, d.settings.MaxAttemptWeight)
}

// MarkWithdrawn records that, according to this gateway's endpoint list, a server drains or was removed.
func (d *Detector) MarkWithdrawn(id uint64) {
	if s := d.servers[id]; s != nil {
		s.withdrawn = true
	}
}

// Quorum returns the number of gateways that must currently report the same condition of a server to eject it.
func (d *Detector) Quorum() int {
	return max(d.settings.MinQuorum, int(math.Ceil(d.settings.QuorumFraction*float64(d.aliveGateways))))
}

// Step applies the reports of peers. It returns the reports to send to all peers and the servers that are ejected now. nowMs
// must not decrease from call to call.
func (d *Detector) Step(nowMs float64, received []Report) (outgoing []Report, ejections []Ejection) {
	for _, report := range received {
		d.receive(nowMs, report)
	}
	var candidates []Ejection
	for _, id := range d.order {
		s := d.servers[id]
		s.decay(nowMs, d.settings.DecayMs)
		for _, condition := range conditions {
			percent := s.observedPercent(condition, &d.settings)
			if d.isReportDue(nowMs, s.ownReports[condition], percent) {
				outgoing = append(outgoing, d.newReport(nowMs, s, condition, percent))
			}
			if ejection, ok := d.evaluate(nowMs, s, condition, percent); ok {
				candidates = append(candidates, ejection)
			}
		}
	}
	d.ejections = d.selectEjections(candidates)
	return outgoing, d.ejections
}

// receive stores the report of a peer if it is valid and recent.
func (d *Detector) receive(nowMs float64, report Report) {
	s := d.servers[report.Server]
	valid := slices.Contains(conditions[:], report.Condition) && report.Percent <= 100 &&
		report.AgeMs >= 0 && report.AgeMs <= d.settings.MaxReportAgeMs
	if s == nil || !valid {
		return
	}
	s.storePeerReport(nowMs, storedReport{peer: report.Peer, condition: report.Condition, percent: report.Percent,
		version: report.Version, observedAtMs: nowMs - report.AgeMs}, &d.settings)
}

// isReportDue reports whether an observation differs enough from the last report, or the last report must be repeated.
func (d *Detector) isReportDue(nowMs float64, last storedReport, percent uint8) bool {
	if last.percent != percent {
		if percent == 0 || last.percent == 0 || absDiff(last.percent, percent) >= minPercentChange {
			return true
		}
	}
	return percent > 0 && last.ageMs(nowMs) >= d.settings.ReportIntervalMs
}

func absDiff(a, b uint8) uint8 { return max(a, b) - min(a, b) }

// newReport returns the next report of this gateway about a condition, and stores it.
func (d *Detector) newReport(nowMs float64, s *server, condition Condition, percent uint8) Report {
	if d.lastVersion == 0 {
		// Versions start at the current time, so that those of an earlier incarnation are smaller unless the clock was set back.
		d.lastVersion = uint64(max(0, nowMs))
	}
	d.lastVersion++
	s.ownReports[condition] = storedReport{condition: condition, percent: percent, version: d.lastVersion, observedAtMs: nowMs}
	return Report{Server: s.id, Condition: condition, Percent: percent, Version: d.lastVersion}
}

// evaluate returns an ejection and true if a quorum reports the given condition of a server, and the reported percentages add
// up to at least MinFailureRatio times the size of the quorum. It returns false for Failing if this gateway's own attempts
// show that the server is healthy. ownPercent is this gateway's own observation.
func (d *Detector) evaluate(nowMs float64, s *server, condition Condition, ownPercent uint8) (Ejection, bool) {
	if condition == Failing && s.isHealthy(d.settings.MinFailures) {
		return Ejection{}, false
	}
	var observedAtMs []float64
	percentSum := float64(ownPercent)
	if ownPercent > 0 {
		observedAtMs = append(observedAtMs, nowMs)
	}
	for _, report := range s.peerReports {
		if report.condition == condition && report.percent > 0 && report.ageMs(nowMs) <= d.settings.MaxReportAgeMs {
			observedAtMs = append(observedAtMs, report.observedAtMs)
			percentSum += float64(report.percent)
		}
	}
	quorum := d.Quorum()
	if len(observedAtMs) < quorum || percentSum < 100*d.settings.MinFailureRatio*float64(quorum) {
		return Ejection{}, false
	}
	slices.SortFunc(observedAtMs, func(x, y float64) int { return cmp.Compare(y, x) }) // most recent first
	return Ejection{Server: s.id, Condition: condition, AgeMs: nowMs - observedAtMs[quorum-1],
		Reporters: len(observedAtMs)}, true
}

// selectEjections returns as many candidates as may be ejected at once, with each server at most once. It prefers the
// candidates with the most reporters and, among equals, those listed first. It reorders the candidates.
func (d *Detector) selectEjections(candidates []Ejection) (selected []Ejection) {
	slices.SortStableFunc(candidates, func(x, y Ejection) int { return cmp.Compare(y.Reporters, x.Reporters) })
	limit := int(d.settings.MaxEjectedFraction * float64(len(d.order)))
	for _, candidate := range candidates {
		if len(selected) >= limit {
			break
		}
		if !slices.ContainsFunc(selected, func(e Ejection) bool { return e.Server == candidate.Server }) {
			selected = append(selected, candidate)
		}
	}
	return selected
}

// NextStepMs returns the time by which Step must be called again, because a report must be repeated or expires.
// It is +Inf if nothing is pending.
func (d *Detector) NextStepMs(nowMs float64) float64 {
	next := math.Inf(1)
	for _, id := range d.order {
		for _, report := range d.servers[id].ownReports {
			if report.percent > 0 {
				next = min(next, report.observedAtMs+d.settings.ReportIntervalMs)
			}
		}
	}
	for _, ejection := range d.ejections {
		next = min(next, nowMs+max(1, d.settings.MaxReportAgeMs-ejection.AgeMs))
	}
	return next
}

// Ejections returns the ejections of the latest Step. The caller must not modify the slice.
func (d *Detector) Ejections() []Ejection { return d.ejections }
