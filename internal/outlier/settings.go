package outlier

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidSettings is wrapped by the errors of New.
var ErrInvalidSettings = errors.New("outlier: invalid settings")

// Settings configure a Detector.
type Settings struct {
	// DecayMs is the time after which an attempt's weight has decayed to 1/e.
	DecayMs float64
	// MinFailures is the weight of failures from which on a server may be failing, as observed by this gateway. It is
	// also the weight of attempts from which on it may be healthy.
	MinFailures float64
	// MinFailureRatio is the ratio of failures to attempts from which on a server may be failing.
	MinFailureRatio float64
	// MaxAttemptWeight bounds the weight of the attempts at a server, so that a long failure has no longer effect than a
	// short one.
	MaxAttemptWeight float64

	// MaxReportAgeMs is the age beyond which a report does not count.
	MaxReportAgeMs float64
	// ReportIntervalMs is how often this gateway repeats a report that still holds.
	ReportIntervalMs float64

	// MinQuorum is how many gateways at least have to report the same condition.
	MinQuorum int
	// QuorumFraction is the fraction of the gateways alive that have to report the same condition.
	QuorumFraction float64
	// MaxEjectedFraction is the fraction of the listed servers that may be ejected at once.
	MaxEjectedFraction float64

	// MaxServers bounds the servers with state; reports of others are ignored.
	MaxServers int
	// MaxPeers bounds the gateways whose reports of one server are kept.
	MaxPeers int
}

// FailureDecayBoundMs returns how long after the last failure this gateway reports a server as failing at most: without
// any successful attempt, the failures have decayed by then.
func (s Settings) FailureDecayBoundMs() float64 {
	return s.DecayMs * math.Log(s.MaxAttemptWeight/s.MinFailures)
}

// validate returns an error that wraps ErrInvalidSettings if the settings cannot be used. The conditions are written so
// that NaN fails them.
func (s Settings) validate() error {
	switch {
	case !(s.DecayMs > 0):
		return fmt.Errorf("%w: decay in %v ms", ErrInvalidSettings, s.DecayMs)
	case !(s.MinFailures >= 1) || !(s.MaxAttemptWeight > s.MinFailures):
		return fmt.Errorf("%w: at least %v failures of at most %v attempts", ErrInvalidSettings, s.MinFailures,
			s.MaxAttemptWeight)
	case !(s.MinFailureRatio > maxHealthyFailureRatio && s.MinFailureRatio <= 1):
		return fmt.Errorf("%w: failure ratio of %v", ErrInvalidSettings, s.MinFailureRatio)
	case !(s.MaxReportAgeMs > 0):
		return fmt.Errorf("%w: report age of at most %v ms", ErrInvalidSettings, s.MaxReportAgeMs)
	case !(s.ReportIntervalMs > 0 && s.ReportIntervalMs <= s.MaxReportAgeMs/2):
		return fmt.Errorf("%w: report interval of %v ms at a report age of at most %v ms", ErrInvalidSettings,
			s.ReportIntervalMs, s.MaxReportAgeMs)
	case s.MinQuorum < 2 || !(s.QuorumFraction >= 0 && s.QuorumFraction <= 1):
		return fmt.Errorf("%w: quorum of at least %d gateways and %v of those alive", ErrInvalidSettings, s.MinQuorum,
			s.QuorumFraction)
	case !(s.MaxEjectedFraction >= 0 && s.MaxEjectedFraction < 1):
		return fmt.Errorf("%w: ejected fraction of at most %v", ErrInvalidSettings, s.MaxEjectedFraction)
	case s.MaxServers < 1 || s.MaxPeers < 1:
		return fmt.Errorf("%w: at most %d servers and %d peers", ErrInvalidSettings, s.MaxServers, s.MaxPeers)
	}
	return nil
}
