package membershipsim

import (
	"fmt"
	"math"
	"slices"
)

// Factors that convert simulated time to rates.
const (
	msPerHour      = 3_600_000
	secondsPerHour = 3600
)

// Report is the result of Measure.
type Report struct {
	// DetectionP50Ms and DetectionP99Ms are the median and the 99th percentile of the detection time: the time from a crash
	// until a running member declares the crashed member dead. Detections later than BoundMs are not included.
	DetectionP50Ms, DetectionP99Ms float64
	// BoundMs is the upper bound of the detection time.
	BoundMs float64
	// Undetected is the number of pairs of a crash and a running member in which the member did not detect the crash within
	// BoundMs.
	Undetected int
	// Unfinished is the number of pairs in which the member had not detected the crash when the simulation ended, and less
	// than BoundMs had passed since the crash. Undetected does not include them.
	Unfinished int
	// FalseDeathsPerHour is FalseDeaths per simulated hour and member.
	FalseDeathsPerHour float64
	// FalseDeaths is the value of Simulation.FalseDeaths at the end.
	FalseDeaths int
	// DatagramsPerSecond and BytesPerSecond are the mean rates at which a member sends.
	DatagramsPerSecond, BytesPerSecond float64
}

// Measure simulates a fleet in three phases: without crashes, with up to the given number of crashes, and without further
// crashes. The first two phases take ms/3 each. The third phase lasts for Report.BoundMs, but at least ms/3 and at
// most 4*ms.
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

// crashRandomMembers crashes up to the given number of members, but at most half of all. It spreads the crashes over ms milliseconds
// and returns the time of the crash of each crashed member.
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

// measureDetection sets the fields of the report that describe how the members that have not crashed detected the crashes.
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

// String returns the report as one line of a table.
func (r Report) String() string {
	return fmt.Sprintf("detected p50 %5.0f p99 %5.0f ms (bound %7.0f, undetected %d, unfinished %d)  "+
		"false deaths %.3f per member-hour  %5.1f datagrams/s %6.0f bytes/s per member",
		r.DetectionP50Ms, r.DetectionP99Ms, r.BoundMs, r.Undetected, r.Unfinished,
		r.FalseDeathsPerHour, r.DatagramsPerSecond, r.BytesPerSecond)
}
