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
	// DecayMs is the time after which the weight of an attempt, which is 1 at first, has decayed to 1/e.
	DecayMs float64
	// MinFailures is the smallest weight of failures at which this gateway observes a server as failing. It is also the
	// smallest weight of attempts at which this gateway regards a server as healthy.
	MinFailures float64
	// MinFailureRatio is the smallest ratio of failures to attempts at which this gateway observes a server as failing.
	MinFailureRatio float64
	// MaxAttemptWeight bounds the total weight of the attempts at a server, and with it the weight of their failures. However
	// long a server has failed, it is therefore reported as failing for at most FailureDecayBoundMs after its last failure.
	MaxAttemptWeight float64

	// MaxReportAgeMs is the age beyond which a report is ignored.
	MaxReportAgeMs float64
	// ReportIntervalMs is the interval at which this gateway repeats a report whose condition persists.
	ReportIntervalMs float64

	// MinQuorum is the smallest number of gateways that must report the same condition of a server to eject it.
	MinQuorum int
	// QuorumFraction is the fraction of the alive gateways that must report the same condition of a server to eject it.
	QuorumFraction float64
	// MaxEjectedFraction is the fraction of the listed servers that may be ejected at once.
	MaxEjectedFraction float64

	// MaxServers bounds the servers with state. Reports about other servers are ignored.
	MaxServers int
	// MaxPeers bounds the gateways whose reports about one server are kept.
	MaxPeers int
}

// FailureDecayBoundMs returns the longest time after the last failure for which this gateway reports a server as failing. By
// then the weight of the failures has decayed from at most MaxAttemptWeight to MinFailures, even if no attempt succeeded.
func (s Settings) FailureDecayBoundMs() float64 {
	return s.DecayMs * math.Log(s.MaxAttemptWeight/s.MinFailures)
}

// validate returns an error that wraps ErrInvalidSettings if the settings cannot be used. The conditions are written so
// that NaN fails them.
func (s Settings) validate() error {
	switch {
	case !(s.DecayMs > 0):
		return fmt.Errorf("%w: decay time is %v ms, want more than 0", ErrInvalidSettings, s.DecayMs)
	case !(s.MinFailures >= 1) || !(s.MaxAttemptWeight > s.MinFailures):
		return fmt.Errorf("%w: minimum of failures is %v and maximum attempt weight %v, want at least 1 and a larger weight",
			ErrInvalidSettings, s.MinFailures, s.MaxAttemptWeight)
	case !(s.MinFailureRatio > maxHealthyFailureRatio && s.MinFailureRatio <= 1):
		return fmt.Errorf("%w: minimum failure ratio is %v, want more than 0.1, which a healthy server may have, and at most 1",
			ErrInvalidSettings, s.MinFailureRatio)
	case !(s.MaxReportAgeMs > 0):
		return fmt.Errorf("%w: maximum report age is %v ms, want more than 0", ErrInvalidSettings, s.MaxReportAgeMs)
	case !(s.ReportIntervalMs > 0 && s.ReportIntervalMs <= s.MaxReportAgeMs/2):
		return fmt.Errorf("%w: report interval is %v ms, want more than 0 and at most half of the maximum report age of %v ms",
			ErrInvalidSettings, s.ReportIntervalMs, s.MaxReportAgeMs)
	case s.MinQuorum < 2 || !(s.QuorumFraction >= 0 && s.QuorumFraction <= 1):
		return fmt.Errorf("%w: minimum quorum is %d gateways and quorum fraction %v, want at least 2 and a fraction from 0 to 1",
			ErrInvalidSettings, s.MinQuorum, s.QuorumFraction)
	case !(s.MaxEjectedFraction >= 0 && s.MaxEjectedFraction < 1):
		return fmt.Errorf("%w: maximum ejected fraction is %v, want at least 0 and less than 1", ErrInvalidSettings,
			s.MaxEjectedFraction)
	case s.MaxServers < 1 || s.MaxPeers < 1:
		return fmt.Errorf("%w: maximum is %d servers and %d peers, want at least 1 of each", ErrInvalidSettings,
			s.MaxServers, s.MaxPeers)
	}
	return nil
}
