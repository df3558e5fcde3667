package membershipsim

import (
	"fmt"
	"math"
	"slices"
)

// msPerHour and secondsPerHour convert simulated time to rates.
const (
	msPerHour      = 3_600_000
	secondsPerHour = 3600
)

// Report is the result of Measure.
type Report struct {
	// DetectionP50Ms and DetectionP99Ms are quantiles of the time from a crash until a member declares the crashed member
	// dead.
	DetectionP50Ms, DetectionP99Ms float64
	// BoundMs is the bound of that time.
	BoundMs float64
	// Undetected counts pairs of a crash and a running member that did not detect it within the bound.
	Undetected int
	// Unfinished counts such pairs for which the simulation ended before the bound.
	Unfinished int
	// FalseDeathsPerHour is FalseDeaths for each hour of each member.
	FalseDeathsPerHour float64
	// FalseDeaths counts how often a running member was declared dead.
	FalseDeaths int
	// DatagramsPerSecond and BytesPerSecond are what each member sends.
	DatagramsPerSecond, BytesPerSecond float64
}

// Measure simulates a fleet in three phases: without crashes, with up to the given number of crashes, and afterwards.
// The first two phases take ms/3 each. The third one takes at least as long and, up to 4*ms, until the bound has passed.
func Measure(options Options, ms float64, crashes int) Report {
	s := New(options)
	s.Run(ms / 3)
	crashedAtMs := s.crashRandomMembers(ms/3, crashes)
	boundMs := s.Settings(0).DetectionBoundMs()
	s.Run(max(ms/3, min(boundMs, 4*ms)))

	report := Report{BoundMs: boundMs, FalseDeaths: s.FalseDeaths}
	s.measureDetection(&report, crashedAtMs)
	memberHours := s.NowMs / msPerHour * float64(options.MemberCount)
	report.FalseDeathsPerHour = float64(s.FalseDeaths) / memberHours
	report.DatagramsPerSecond = float64(s.Datagrams) / memberHours / secondsPerHour
	report.BytesPerSecond = float64(s.Bytes) / memberHours / secondsPerHour
	return report
}

// crashRandomMembers crashes at most half of the members, spread over a time, and returns when each of them crashed.
func (s *Simulation) crashRandomMembers(ms float64, crashes int) (crashedAtMs map[int]float64) {
	crashedAtMs = map[int]float64{}
	for range min(crashes, s.options.MemberCount/2) {
		number := s.random.IntN(s.options.MemberCount)
		if s.members[number].crashed {
			continue
		}
		s.Kill(number)
		crashedAtMs[number] = s.NowMs
		s.Run(ms / float64(crashes))
	}
	return crashedAtMs
}

// measureDetection fills in how the members that have not crashed detected the crashes.
func (s *Simulation) measureDetection(report *Report, crashedAtMs map[int]float64) {
	var timesMs []float64
	for crashed, atMs := range crashedAtMs {
		for number, m := range s.members {
			if number == crashed || m.crashed {
				continue
			}
			switch tookMs := m.deadSinceMs[crashed] - atMs; {
			case math.IsNaN(tookMs) && s.NowMs-atMs < report.BoundMs:
				report.Unfinished++
			case math.IsNaN(tookMs) || tookMs > report.BoundMs:
				report.Undetected++
			default:
				timesMs = append(timesMs, tookMs)
			}
		}
	}
	slices.Sort(timesMs)
	if n := len(timesMs); n > 0 {
		report.DetectionP50Ms, report.DetectionP99Ms = timesMs[n/2], timesMs[n*99/100]
	}
}

// String returns the report as a line of a table.
func (r Report) String() string {
	return fmt.Sprintf("detected p50 %5.0f p99 %5.0f ms (bound %7.0f, not within it %d, not at the end %d)  "+
		"false %.3f a gateway's hour  %5.1f datagrams/s %6.0f bytes/s",
		r.DetectionP50Ms, r.DetectionP99Ms, r.BoundMs, r.Undetected, r.Unfinished,
		r.FalseDeathsPerHour, r.DatagramsPerSecond, r.BytesPerSecond)
}
