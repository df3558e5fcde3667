package outlier

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func testSettings() Settings {
	return Settings{DecayMs: 2000, MinFailures: 3, MinFailureRatio: 0.5, MaxAttemptWeight: 10, MaxReportAgeMs: 3000,
		ReportIntervalMs: 1000, MinQuorum: 2, QuorumFraction: 0.34, MaxEjectedFraction: 0.34, MaxServers: 50, MaxPeers: 8}
}

// newTestDetector returns a detector of a gateway in a fleet of four gateways, in which a quorum is two gateways.
func newTestDetector(t testing.TB, servers ...uint64) *Detector {
	t.Helper()
	d, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	d.SetServers(servers)
	d.SetAliveGateways(4)
	return d
}

func ejectedServers(ejections []Ejection) (ids []uint64) {
	for _, ejection := range ejections {
		ids = append(ids, ejection.Server)
	}
	return ids
}

func failingReport(peer uint16, server uint64, percent uint8, version uint64) Report {
	return Report{Peer: peer, Server: server, Condition: Failing, Percent: percent, Version: version}
}

// wantEjected checks that a step has ejected the wanted servers, in the wanted order.
func wantEjected(t *testing.T, ejections []Ejection, want ...uint64) {
	t.Helper()
	if got := ejectedServers(ejections); !slices.Equal(got, want) {
		t.Errorf("ejected servers %v, want %v", got, want)
	}
}

// wantOneReport checks that a step has returned one report with the wanted contents and no other report.
func wantOneReport(t *testing.T, reports []Report, server uint64, condition Condition, percent uint8) {
	t.Helper()
	if len(reports) != 1 {
		t.Errorf("got reports %+v, want one", reports)
		return
	}
	if got := reports[0]; got.Server != server || got.Condition != condition || got.Percent != percent {
		t.Errorf("got report %+v, want server %d, condition %v, %d percent", got, server, condition, percent)
	}
}

// TestEjectionNeedsQuorum checks that a server is ejected only while a quorum of gateways reports it: MinQuorum (2) gateways, and
// at least QuorumFraction (0.34) of the alive ones. That is 2 of 4 gateways and 11 of 30.
func TestEjectionNeedsQuorum(t *testing.T) {
	repeatedByOne := []Report{failingReport(5, 1, 100, 1), failingReport(5, 1, 100, 2), failingReport(5, 2, 100, 3)}
	second, retraction := failingReport(6, 1, 80, 1), failingReport(6, 1, 0, 2)
	secondAgain, third := failingReport(6, 1, 100, 3), failingReport(7, 1, 100, 1)
	for _, test := range []struct {
		name          string
		aliveGateways int
		batches       [][]Report // reports received by each step
		want          []uint64   // servers ejected by the last step
	}{
		{"one gateway alone", 4, [][]Report{repeatedByOne}, nil},
		{"two gateways", 4, [][]Report{repeatedByOne, {second}}, []uint64{1}},
		{"report retracted", 4, [][]Report{repeatedByOne, {second}, {retraction}}, nil},
		{"three gateways of thirty", 30, [][]Report{repeatedByOne, {second}, {retraction}, {secondAgain, third}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTestDetector(t, 1, 2, 3)
			d.SetAliveGateways(test.aliveGateways)
			var ejections []Ejection
			for nowMs, batch := range test.batches {
				_, ejections = d.Step(float64(nowMs), batch)
			}
			wantEjected(t, ejections, test.want...)
			if len(ejections) > 0 && ejections[0].Reporters != 2 {
				t.Errorf("ejection has %d reporters, want 2", ejections[0].Reporters)
			}
		})
	}
}

// TestOwnObservations checks the reports of one gateway about a server that fails and recovers, and about one that is
// withdrawn and listed again.
func TestOwnObservations(t *testing.T) {
	d := newTestDetector(t, 1, 2, 3)
	for range 4 {
		d.RecordAttempt(0, 1, true)
	}
	reports, ejections := d.Step(0, nil)
	wantOneReport(t, reports, 1, Failing, 100)
	wantEjected(t, ejections)

	if reports, _ = d.Step(10, nil); len(reports) > 0 {
		t.Errorf("got reports %+v before the report interval ended, want none", reports)
	}

	// This gateway repeats its report while the server fails. The report forms a quorum with that of another gateway.
	d.RecordAttempt(900, 1, true)
	reports, ejections = d.Step(1000, []Report{failingReport(5, 1, 100, 1)})
	wantOneReport(t, reports, 1, Failing, 100)
	wantEjected(t, ejections, 1)

	// A gateway whose own attempts at the server succeed does not eject it, whatever others report.
	for range 60 {
		d.RecordAttempt(1500, 1, false)
	}
	reports, ejections = d.Step(1500, []Report{failingReport(6, 1, 100, 1), failingReport(7, 1, 100, 1),
		failingReport(8, 1, 100, 1)})
	wantOneReport(t, reports, 1, Failing, 0)
	wantEjected(t, ejections)

	const unlisted = 99
	d.MarkWithdrawn(2)
	d.MarkWithdrawn(unlisted)
	reports, _ = d.Step(1600, nil)
	wantOneReport(t, reports, 2, Withdrawn, 100)

	d.SetServers([]uint64{1, 2, 3})
	reports, _ = d.Step(1700, nil)
	wantOneReport(t, reports, 2, Withdrawn, 0)
}

// TestFailingObservationEnds checks that a server that has failed for 10 s is reported as failing for no longer than
// FailureDecayBoundMs after its last failure, and for a shorter time if attempts succeed.
func TestFailingObservationEnds(t *testing.T) {
	const (
		lastFailureMs = 10_000
		stepMs        = 10
	)
	boundMs := testSettings().FailureDecayBoundMs()
	for _, test := range []struct {
		name             string
		attemptsSucceed  bool
		fromMs, withinMs float64
	}{
		{"no further attempts", false, boundMs - stepMs, boundMs + stepMs},
		{"attempts succeed", true, 0, boundMs - 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTestDetector(t, 1)
			for nowMs := range lastFailureMs {
				d.RecordAttempt(float64(nowMs), 1, true)
			}
			nowMs := float64(lastFailureMs)
			for ; ; nowMs += stepMs {
				if test.attemptsSucceed && int(nowMs)%400 == 0 {
					d.RecordAttempt(nowMs, 1, false)
				}
				d.Step(nowMs, nil)
				if d.servers[1].observedPercent(Failing, &d.settings) == 0 {
					break
				}
			}
			if took := nowMs - lastFailureMs; took < test.fromMs || took > test.withinMs {
				t.Errorf("failing observation ended after %.0f ms, want from %.0f to %.0f ms", took, test.fromMs, test.withinMs)
			}
		})
	}
}

// TestEjectionsAreLimitedToTheMostReported checks that no more than MaxEjectedFraction (0.34) of the six servers, two servers,
// are ejected at once. A quorum reports all six. Servers 2, 4 and 6 have the most reporters, and 2 and 4 are listed first.
func TestEjectionsAreLimitedToTheMostReported(t *testing.T) {
	d := newTestDetector(t, 1, 2, 3, 4, 5, 6)
	var reports []Report
	for i := range uint64(6) {
		for peer := range uint16(2 + i%2) {
			reports = append(reports, failingReport(peer, 1+i, 100, 1))
		}
	}
	_, ejections := d.Step(0, reports)
	wantEjected(t, ejections, 2, 4)
}

// TestReportsExpire checks that reports older than MaxReportAgeMs (3000) no longer eject a server.
func TestReportsExpire(t *testing.T) {
	maxAgeMs := testSettings().MaxReportAgeMs
	d := newTestDetector(t, 1, 2, 3, 4, 5, 6)
	d.Step(0, []Report{failingReport(0, 1, 100, 1), failingReport(1, 1, 100, 1), failingReport(0, 2, 100, 1),
		failingReport(1, 2, 100, 1)})
	_, ejections := d.Step(maxAgeMs, nil)
	wantEjected(t, ejections, 1, 2)
	if len(ejections) > 0 && ejections[0].AgeMs != maxAgeMs {
		t.Errorf("ejection has an age of %v ms, want %v ms", ejections[0].AgeMs, maxAgeMs)
	}
	_, ejections = d.Step(maxAgeMs+1, nil)
	wantEjected(t, ejections)

	// A quorum of two reports ends when the older one expires.
	old := failingReport(1, 1, 100, 9)
	old.AgeMs = 2900
	_, ejections = d.Step(5000, []Report{old, failingReport(2, 1, 100, 9)})
	wantEjected(t, ejections, 1)
	_, ejections = d.Step(5200, nil)
	wantEjected(t, ejections)

	// A report with an earlier version is ignored, even if it arrives after the report with the later version has expired.
	_, ejections = d.Step(9000, []Report{failingReport(1, 1, 100, 8), failingReport(2, 1, 100, 8)})
	wantEjected(t, ejections)
}

// TestRepeatedReportKeepsOlderAge checks that a duplicate does not postpone the expiry of a report. The receiver computes the time
// of the observation from the arrival and the age in the report, so a delayed duplicate appears to be more recent.
func TestRepeatedReportKeepsOlderAge(t *testing.T) {
	d := newTestDetector(t, 1, 2, 3)
	first, second := failingReport(5, 1, 100, 1), failingReport(6, 1, 100, 1)
	first.AgeMs, second.AgeMs = 1000, 1000
	d.Step(0, []Report{first, second})
	first.AgeMs = 0
	_, ejections := d.Step(2000, []Report{first})
	wantEjected(t, ejections, 1)
	_, ejections = d.Step(2001, nil)
	wantEjected(t, ejections)
	second.AgeMs = 0
	_, ejections = d.Step(2001, []Report{second})
	wantEjected(t, ejections)
}

// TestEjectionsIgnoreOrderAndDuplicatesOfReports checks that the same reports lead to the same ejections in several orders,
// and if each report arrives twice.
func TestEjectionsIgnoreOrderAndDuplicatesOfReports(t *testing.T) {
	const orders = 6
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		var reports []Report
		for range 40 {
			peer, server, version := uint16(random.IntN(5)), uint64(1+random.IntN(4)), uint64(random.IntN(6))
			// Reports with the same peer, server and version are duplicates, so they must have the same percentage.
			percent := uint8((version*37 + uint64(peer)*11 + server) % 3 * 50)
			reports = append(reports, failingReport(peer, server, percent, version))
		}
		var want []uint64
		for order := range orders {
			d := newTestDetector(t, 1, 2, 3, 4)
			var ejections []Ejection
			for range 1 + order%2 {
				for _, report := range reports {
					_, ejections = d.Step(0, []Report{report})
				}
			}
			if got := ejectedServers(ejections); order == 0 {
				want = got
			} else if !slices.Equal(got, want) {
				t.Fatalf("seed %d: ejected servers %v, but %v with the reports in another order", seed, want, got)
			}
			random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		}
	}
}

// FuzzSingleReporter checks that one gateway alone ejects no server and does not grow the state beyond its bounds, whatever it
// reports.
func FuzzSingleReporter(f *testing.F) {
	const (
		reportBytes = 5
		invalidAge  = 77 // value of the age byte that is replaced by NaN
	)
	f.Add([]byte{1, 1, 100, 1, 0, 2, 1, 100, 255, 9})
	f.Fuzz(func(t *testing.T, input []byte) {
		d := newTestDetector(t, 1, 2, 3)
		nowMs := 0.0
		for ; len(input) >= reportBytes; input = input[reportBytes:] {
			nowMs += float64(input[4])
			ageMs := float64(input[4]) * 20
			if input[4] == invalidAge {
				ageMs = math.NaN()
			}
			report := Report{Peer: 5, Server: uint64(input[0]), Condition: Condition(input[1]), Percent: input[2],
				Version: uint64(input[3]) << 56, AgeMs: ageMs}
			if _, ejections := d.Step(nowMs, []Report{report}); len(ejections) > 0 {
				t.Fatalf("reports of one gateway ejected %v, want no ejection", ejections)
			}
			for _, s := range d.servers {
				if len(s.peerReports) > len(conditions) || len(d.servers) > 3 {
					t.Fatalf("server has %d peer reports and detector has %d servers, want at most one report for each condition and 3 servers",
						len(s.peerReports), len(d.servers))
				}
			}
		}
	})
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Settings)
	}{
		{"decay time is NaN", func(s *Settings) { s.DecayMs = math.NaN() }},
		{"minimum of failures is zero", func(s *Settings) { s.MinFailures = 0 }},
		{"minimum of failures reaches the maximum attempt weight", func(s *Settings) { s.MinFailures = s.MaxAttemptWeight }},
		{"failure ratio of a healthy server", func(s *Settings) { s.MinFailureRatio = maxHealthyFailureRatio }},
		{"reports expire immediately", func(s *Settings) { s.MaxReportAgeMs = 0 }},
		{"reports expire before they are repeated", func(s *Settings) { s.ReportIntervalMs = s.MaxReportAgeMs }},
		{"quorum of one", func(s *Settings) { s.MinQuorum = 1 }},
		{"quorum of more than all gateways", func(s *Settings) { s.QuorumFraction = 1.1 }},
		{"all servers may be ejected", func(s *Settings) { s.MaxEjectedFraction = 1 }},
		{"no servers", func(s *Settings) { s.MaxServers = 0 }},
		{"no peers", func(s *Settings) { s.MaxPeers = 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			test.change(&settings)
			if _, err := New(settings); !errors.Is(err, ErrInvalidSettings) {
				t.Errorf("New(%+v) returned error %v, want ErrInvalidSettings", settings, err)
			}
		})
	}
}
