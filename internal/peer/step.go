package peer

import (
	"math"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
	"gaugerelay/internal/scheduler"
)

const (
	// batchDelayMs delays a step after a local change, so that one datagram can carry several changes.
	batchDelayMs = 5
	// failureDelayMs delays a step after a failed attempt.
	failureDelayMs = 20
	// minTimerMs is the shortest delay of a timer.
	minTimerMs = 1

	// ejectedRequestIntervalMs is the interval at which each gateway may still send one request to an ejected server. An ejection
	// that is not passed to the scheduler again ends after this time.
	ejectedRequestIntervalMs = 400
	// ejectionIntervalMs is the interval at which ejections are passed to the scheduler again while they last.
	ejectionIntervalMs = 100
)

// BeginStep implements lifecycle.Peers. If a step is due, it processes the received messages and expired timers, sends the
// resulting messages and returns events for the scheduler.
func (s *Service) BeginStep(nowMs float64) []scheduler.Event {
	if nowMs < s.nextStepMs {
		return nil
	}
	inbox, demands := s.inbox, s.demands
	s.inbox, s.demands = messages{}, nil

	var outbox messages
	var events, stepEvents []scheduler.Event
	outbox.membership = s.stepMembership(nowMs, inbox.membership)
	outbox.outlierReports, events = s.stepOutliers(nowMs, inbox.outlierReports)
	outbox.latencyReports, stepEvents = s.stepLatencies(nowMs, inbox.latencyReports)
	events = append(events, stepEvents...)
	outbox.quota, stepEvents = s.stepQuotas(nowMs, demands, inbox.quota)
	events = append(events, stepEvents...)

	s.send(outbox)
	s.nextStepMs = math.Inf(1)
	s.scheduleStep(nowMs, s.nextTimerMs(nowMs))
	return events
}

// nextTimerMs returns the time by which the first of the state machines must be called again.
func (s *Service) nextTimerMs(nowMs float64) float64 {
	next := min(s.members.NextStepMs(), s.quotas.NextStepMs(nowMs), s.outliers.NextStepMs(nowMs),
		s.latencies.NextReportMs(nowMs))
	if len(s.outliers.Ejections()) > 0 {
		next = min(next, nowMs+ejectionIntervalMs)
	}
	return next
}

// stepMembership runs the membership protocol and passes changes to the other state machines.
func (s *Service) stepMembership(nowMs float64, received []membership.Message) []membership.Message {
	outgoing, changes := s.members.Step(nowMs, received)
	for _, change := range changes {
		s.metrics.Add(counterMemberChanges, 1)
		s.logChange(change)
	}
	if len(changes) > 0 {
		alive := s.members.AliveMembers()
		s.quotas.SetPeers(alive)
		s.outliers.SetAliveGateways(1 + len(alive))
	}
	return outgoing
}

func (s *Service) logChange(change membership.StateChange) {
	if change.IdentityConflict {
		s.log.Warn(logevent.FleetIdentityConflict, logevent.Member, change.Member, logevent.Incarnation, change.ProcessIncarnation)
		return
	}
	s.log.Info(logevent.FleetMemberChanged,
		logevent.Member, change.Member, logevent.State, change.State.String(), logevent.Incarnation, change.ProcessIncarnation)
}

// stepOutliers runs outlier detection. It returns events for ejected servers at most once per ejectionIntervalMs.
func (s *Service) stepOutliers(
	nowMs float64, received []outlier.Report,
) (reports []outlier.Report, events []scheduler.Event) {
	reports, ejections := s.outliers.Step(nowMs, received)
	s.metrics.Add(counterOutlierReports, int64(len(reports)))
	if len(ejections) == 0 || nowMs < s.nextEjectionsMs {
		return reports, nil
	}
	s.nextEjectionsMs = nowMs + ejectionIntervalMs
	for _, ejection := range ejections {
		server := s.servers.listed[ejection.Server]
		if server == nil {
			continue
		}
		events = append(events, scheduler.EjectServer{
			Server:      server.ID(),
			MinInterval: clock.Duration(ejectedRequestIntervalMs),
		})
		s.metrics.Add(counterServersEjected, 1)
	}
	return reports, events
}

// stepLatencies runs the aggregation of latencies. It returns events for servers with a new estimate.
func (s *Service) stepLatencies(
	nowMs float64, received []peerlatency.Report,
) (reports []peerlatency.Report, events []scheduler.Event) {
	reports, estimates := s.latencies.Step(nowMs, received)
	for _, estimate := range estimates {
		if server := s.servers.listed[estimate.Server]; server != nil {
			events = append(events, scheduler.PeerLatency{Server: server.ID(), Latency: clock.Duration(estimate.LatencyMs)})
		}
	}
	return reports, events
}

// stepQuotas runs the quota protocol. It returns events for volumes whose share has changed.
func (s *Service) stepQuotas(
	nowMs float64, demands []quota.Demand, received []quota.Message,
) (outgoing []quota.Message, events []scheduler.Event) {
	outgoing, shares := s.quotas.Step(nowMs, demands, received)
	for _, share := range shares {
		events = append(events, scheduler.QuotaShare{Volume: scheduler.VolumeID(share.Pool), Share: share.Fraction})
		s.metrics.Add(counterQuotaChanges, 1)
	}
	return outgoing, events
}
