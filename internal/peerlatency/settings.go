package peerlatency

import (
	"errors"
	"fmt"
)

// ErrInvalidSettings is wrapped by the errors of New.
var ErrInvalidSettings = errors.New("peerlatency: invalid settings")

// Settings configure an Aggregator.
type Settings struct {
	// DecayMs is the age at which the weight of a measured latency has decayed to 1/e.
	DecayMs float64
	// MaxAgeMs is the age beyond which reports of peers are ignored.
	MaxAgeMs float64
	// ReportIntervalMs is the shortest time between two rounds of reports. It is less than MaxAgeMs.
	ReportIntervalMs float64
	// MaxServersPerReport bounds the servers in one round of reports. Servers with the most responses since their last
	// report are included first.
	MaxServersPerReport int
	// MaxServers bounds the servers for which latencies are kept.
	MaxServers int
	// MaxPeers bounds the peers whose reports are kept for each server. It is at least 2.
	MaxPeers int
}

// validate returns an error that wraps ErrInvalidSettings if the settings cannot be used. Its comparisons are written so that
// NaN is out of range.
func (s Settings) validate() error {
	timesInRange := s.DecayMs > 0 && s.MaxAgeMs > 0 && s.ReportIntervalMs > 0 && s.ReportIntervalMs < s.MaxAgeMs
	boundsInRange := s.MaxServersPerReport >= 1 && s.MaxServers >= 1 && s.MaxPeers >= minReports
	if !timesInRange || !boundsInRange {
		return fmt.Errorf("%w: report interval of %v ms, maximum age of %v ms, maximum of %d servers, maximum of %d peers or another setting is out of range",
			ErrInvalidSettings, s.ReportIntervalMs, s.MaxAgeMs, s.MaxServers, s.MaxPeers)
	}
	return nil
}
