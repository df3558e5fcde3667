package membership

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidSettings is wrapped by the errors of New.
var ErrInvalidSettings = errors.New("membership: invalid settings")

// maxMembers is the number of members that a 16-bit index can distinguish.
const maxMembers = 1 << 16

// Settings configure a Memberlist.
type Settings struct {
	// Self is the index of this member, from 0 to MemberCount-1.
	Self        uint16
	MemberCount int
	// ProcessIncarnation distinguishes this process from other processes that run, or ran, with the same index.
	ProcessIncarnation uint32
	// Seed initializes the random number generator.
	Seed uint64

	// ProbePeriodMs is the time between two probes.
	ProbePeriodMs float64
	// ProbeTimeoutMs is the time after which other members are asked to repeat an unanswered probe. It is at most half of
	// ProbePeriodMs.
	ProbeTimeoutMs float64
	// IndirectProbes is the number of members that are asked to repeat an unanswered probe.
	IndirectProbes int

	// MinSuspicionPeriods is the shortest suspicion timeout in probe periods for up to 10 members. For larger fleets it is
	// multiplied by the decimal logarithm of MemberCount.
	MinSuspicionPeriods float64
	// MaxSuspicionFactor is the longest suspicion timeout, which applies without confirmations, as a multiple of the shortest.
	MaxSuspicionFactor float64
	// ExpectedConfirmations is the number of further members that must confirm a suspicion to reach the shortest timeout.
	ExpectedConfirmations int
	// MaxHealthScore bounds the health score. A member with score n multiplies its probe timeouts and periods by n+1; a score
	// of 0 is healthy.
	MaxHealthScore int

	// MaxUpdatesPerMessage bounds the updates that one message carries.
	MaxUpdatesPerMessage int
	// RetransmitFactor determines how many times each update is sent: RetransmitFactor*log10(MemberCount+1), rounded up.
	RetransmitFactor float64
	// DeadProbeEvery is the interval, in probes, at which a dead member is probed, so that the parts of a partitioned fleet
	// find each other again.
	DeadProbeEvery int
}

// DefaultSettings returns settings for a fleet at one site.
func DefaultSettings(self uint16, memberCount int, processIncarnation uint32, seed uint64) Settings {
	return Settings{
		Self:                  self,
		MemberCount:           memberCount,
		ProcessIncarnation:    processIncarnation,
		Seed:                  seed,
		ProbePeriodMs:         500,
		ProbeTimeoutMs:        150,
		IndirectProbes:        3,
		MinSuspicionPeriods:   3,
		MaxSuspicionFactor:    4,
		ExpectedConfirmations: 3,
		MaxHealthScore:        8,
		MaxUpdatesPerMessage:  8,
		RetransmitFactor:      4,
		DeadProbeEvery:        4,
	}
}

// validate returns an error that wraps ErrInvalidSettings if the settings cannot be used.
func (s Settings) validate() error {
	if s.MemberCount < 1 || s.MemberCount > maxMembers || int(s.Self) >= s.MemberCount {
		return fmt.Errorf(
			"%w: member index is %d in a fleet of %d members, want an index below the member count and 1 to 65536 members",
			ErrInvalidSettings, s.Self, s.MemberCount)
	}
	if !s.probesInRange() || !s.suspicionInRange() || !s.gossipInRange() {
		return fmt.Errorf("%w: probe period of %v ms is not at least twice the timeout of %v ms, or another setting is out of range",
			ErrInvalidSettings, s.ProbePeriodMs, s.ProbeTimeoutMs)
	}
	return nil
}

// The comparisons in the following methods are written so that NaN is out of range.

func (s Settings) probesInRange() bool {
	return s.ProbePeriodMs > 0 && s.ProbeTimeoutMs > 0 && s.ProbeTimeoutMs <= s.ProbePeriodMs/2 &&
		s.IndirectProbes >= 0 && s.DeadProbeEvery >= 1
}

func (s Settings) suspicionInRange() bool {
	return s.MinSuspicionPeriods > 0 && s.MaxSuspicionFactor >= 1 && s.ExpectedConfirmations >= 0 && s.MaxHealthScore >= 0
}

func (s Settings) gossipInRange() bool {
	return s.MaxUpdatesPerMessage >= 1 && s.RetransmitFactor > 0
}

// SuspicionBoundsMs returns the shortest suspicion timeout, with all expected confirmations, and the longest, without any.
func (s Settings) SuspicionBoundsMs() (shortest, longest float64) {
	shortest = s.MinSuspicionPeriods * max(1, math.Log10(float64(s.MemberCount))) * s.ProbePeriodMs
	return shortest, s.MaxSuspicionFactor * shortest
}

// DetectionBoundMs returns the longest time from the death of a member until another member with working links declares it
// dead. It is the sum of a number of probe periods and the longest suspicion timeout. The number of periods has these parts:
//
//   - Two rounds of MemberCount-1 probes. The member may have been probed first in one round, just before it died, and may be
//     probed last in the following round.
//   - One probe of another dead member for each DeadProbeEvery probes of these rounds: the factor
//     (DeadProbeEvery+1)/DeadProbeEvery.
//   - One period at the end of which the member becomes suspect, because it has not acknowledged the probe.
//
// Each period is multiplied by MaxHealthScore+1, as if the health score of the probing member were at its maximum.
func (s Settings) DetectionBoundMs() float64 {
	_, longest := s.SuspicionBoundsMs()
	probes := 2 * float64(s.MemberCount-1) * float64(s.DeadProbeEvery+1) / float64(s.DeadProbeEvery)
	return (math.Ceil(probes)+1)*s.ProbePeriodMs*float64(1+s.MaxHealthScore) + longest
}
