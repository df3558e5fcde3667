package outlier

import (
	"math"
	"slices"
)

// maxHealthyFailureRatio is the largest ratio of failures to attempts at which a server counts as healthy.
const maxHealthyFailureRatio = 0.1

// server is the state of one listed server.
type server struct {
	id          uint64
	attempts    float64 // exponentially decayed weight of all attempts as of decayedAtMs
	failures    float64 // exponentially decayed weight of failed attempts as of decayedAtMs
	decayedAtMs float64
	withdrawn   bool

	ownReports  [conditionArraySize]storedReport // latest reports of this gateway, indexed by condition
	peerReports []storedReport                   // latest reports of peers, at most one for each peer and condition
}

// decay reduces the weights of attempts and failures according to the time that has passed.
func (s *server) decay(nowMs, decayMs float64) {
	elapsedMs := nowMs - s.decayedAtMs
	if elapsedMs <= 0 {
		return
	}
	factor := math.Exp(-elapsedMs / decayMs)
	s.attempts, s.failures, s.decayedAtMs = s.attempts*factor, s.failures*factor, nowMs
}

// recordAttempt adds an attempt. The caller must have called decay.
func (s *server) recordAttempt(failed bool, maxWeight float64) {
	s.attempts++
	if failed {
		s.failures++
	}
	if s.attempts > maxWeight {
		s.failures, s.attempts = s.failures*maxWeight/s.attempts, maxWeight
	}
}

// observedPercent returns the percentage that this gateway reports for a condition, or 0 if it does not observe the condition.
func (s *server) observedPercent(condition Condition, settings *Settings) uint8 {
	switch {
	case condition == Withdrawn && s.withdrawn:
		return 100
	case condition == Failing && s.failures >= settings.MinFailures && s.failures >= settings.MinFailureRatio*s.attempts:
		return uint8(100 * s.failures / s.attempts)
	}
	return 0
}

// isHealthy reports whether enough attempts of this gateway at the server have been made and nearly all have succeeded.
func (s *server) isHealthy(minAttempts float64) bool {
	return s.attempts >= minAttempts && s.failures <= maxHealthyFailureRatio*s.attempts
}

// storePeerReport keeps the latest version of a report. If the same version arrives twice, it keeps the earlier observation
// time. Expired reports are kept while there is room, so that a delayed earlier version cannot replace them.
func (s *server) storePeerReport(nowMs float64, report storedReport, settings *Settings) {
	i := slices.IndexFunc(s.peerReports, func(other storedReport) bool {
		return other.peer == report.peer && other.condition == report.condition
	})
	if i < 0 {
		s.addPeerReport(nowMs, report, settings)
		return
	}
	stored := &s.peerReports[i]
	switch {
	case report.version > stored.version:
		*stored = report
	case report.version == stored.version:
		stored.observedAtMs = min(stored.observedAtMs, report.observedAtMs)
	}
}

// addPeerReport adds a report if there is room. Otherwise it replaces an expired report, or drops the new one if
// none has expired.
func (s *server) addPeerReport(nowMs float64, report storedReport, settings *Settings) {
	if len(s.peerReports) < len(conditions)*settings.MaxPeers {
		s.peerReports = append(s.peerReports, report)
		return
	}
	expired := slices.IndexFunc(s.peerReports, func(other storedReport) bool {
		return other.ageMs(nowMs) > settings.MaxReportAgeMs
	})
	if expired >= 0 {
		s.peerReports[expired] = report
	}
}
