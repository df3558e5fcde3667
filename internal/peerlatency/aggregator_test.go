package peerlatency

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func newAggregator(t testing.TB, servers ...uint64) *Aggregator {
	t.Helper()
	a, err := New(Settings{
		DecayMs:             500,
		MaxAgeMs:            1000,
		ReportIntervalMs:    200,
		MaxServersPerReport: 2,
		MaxServers:          10,
		MaxPeers:            4,
	})
	if err != nil {
		t.Fatal(err)
	}
	a.SetServers(servers)
	return a
}

// TestReportsOwnMeasurements checks that the gateway reports its own measurements once, servers with the most responses first.
// A round of reports covers at most MaxServersPerReport (2) servers, and the next one follows after ReportIntervalMs (200).
func TestReportsOwnMeasurements(t *testing.T) {
	a := newAggregator(t, 1, 2, 3)
	a.Observe(0, 1, 10)
	a.Observe(0, 1, 30)
	a.Observe(0, 2, 50)
	a.Observe(0, 2, 50)
	a.Observe(0, 2, 50)
	a.Observe(0, 3, 70)
	a.Observe(0, 99, 70)
	reports, _ := a.Step(100, nil)
	want := []Report{{Server: 2, LatencyMs: 50, AgeMs: 100}, {Server: 1, LatencyMs: 20, AgeMs: 100}}
	if !reflect.DeepEqual(reports, want) {
		t.Errorf("got reports %+v, want %+v", reports, want)
	}
	if reports, _ = a.Step(200, nil); len(reports) > 0 || a.NextReportMs(200) != 300 {
		t.Errorf("got reports %+v at 200 ms and the next ones due at %v ms, want none before 300 ms", reports, a.NextReportMs(200))
	}
	if reports, _ = a.Step(300, nil); len(reports) != 1 || reports[0].Server != 3 || !math.IsInf(a.NextReportMs(300), 1) {
		t.Errorf("got reports %+v at 300 ms and the next ones due at %v ms, want one about server 3 and then none",
			reports, a.NextReportMs(300))
	}
}

// TestEstimateIsLowerMedianOfPeers checks that the estimate is the lower median of the reports of at least two peers, and
// that reports expire.
func TestEstimateIsLowerMedianOfPeers(t *testing.T) {
	a := newAggregator(t, 1)
	if _, e := a.Step(0, []Report{{Peer: 1, Server: 1, LatencyMs: 9000}}); len(e) > 0 {
		t.Errorf("estimates with the report of one peer are %+v, want none", e)
	}
	if _, e := a.Step(10, []Report{{Peer: 2, Server: 1, LatencyMs: 40}}); len(e) != 1 || e[0].LatencyMs != 40 {
		t.Errorf("estimates with the reports of two peers are %+v, want 40 ms", e)
	}
	_, e := a.Step(20, []Report{{Peer: 3, Server: 1, LatencyMs: 60}, {Peer: 1, Server: 1, LatencyMs: 9500}})
	if len(e) != 1 || e[0].LatencyMs != 60 || e[0].PeerCount != 3 {
		t.Errorf("estimates with the reports of three peers are %+v, want 60 ms from 3 peers", e)
	}
	if _, e := a.Step(1015, []Report{{Peer: 3, Server: 1, LatencyMs: 80}}); len(e) != 1 || e[0].PeerCount != 2 {
		t.Errorf("estimates after one of three reports has expired are %+v, want one from 2 peers", e)
	}
	_, e = a.Step(3000, []Report{{Peer: 3, Server: 1, LatencyMs: 80}, {Peer: 2, Server: 1, LatencyMs: 80, AgeMs: 1001}})
	if len(e) > 0 {
		t.Errorf("estimates after all but one report have expired are %+v, want none", e)
	}
}

// TestEstimateIgnoresOrderDuplicatesAndOutliers checks that the estimate does not depend on the order of reports or on
// duplicates, and that a peer that reports wrong values cannot move the estimate beyond a value that another peer has measured.
func TestEstimateIgnoresOrderDuplicatesAndOutliers(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 6))
		var reports []Report
		measured := []float64{}
		for peer := range uint16(3) {
			latencyMs := 20 + 20*random.Float64()
			measured = append(measured, latencyMs)
			reports = append(reports,
				Report{Peer: peer, Server: 1, LatencyMs: latencyMs, AgeMs: 10},
				Report{Peer: peer, Server: 1, LatencyMs: 999, AgeMs: 500}) // older, so the report above supersedes it
		}
		reports = append(reports, Report{Peer: 3, Server: 1, LatencyMs: random.ExpFloat64() * 5000})
		var want float64
		for round := range 5 {
			a := newAggregator(t, 1)
			for range 1 + round%2 {
				for _, r := range reports {
					a.Step(0, []Report{r})
				}
			}
			got, ok := a.servers[1].estimate(0, a.settings.MaxAgeMs)
			if !ok || got.LatencyMs < slices.Min(measured) || got.LatencyMs > slices.Max(measured) {
				t.Fatalf("seed %d: got estimate %+v, want one in the range of the correct reports %v", seed, got, measured)
			}
			if round > 0 && got.LatencyMs != want {
				t.Fatalf("seed %d: estimate is %v ms, but %v ms with the reports in another order", seed, want, got.LatencyMs)
			}
			want = got.LatencyMs
			random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		}
	}
}

// FuzzReports checks that arbitrary reports neither grow the state beyond its bounds nor produce estimates from fewer
// than two peers.
func FuzzReports(f *testing.F) {
	f.Add([]byte{1, 1, 9, 3, 2, 1, 8, 2})
	f.Fuzz(func(t *testing.T, input []byte) {
		a := newAggregator(t, 1, 2)
		nowMs := 0.0
		for len(input) >= 4 {
			record := input[:4]
			input = input[4:]
			nowMs += float64(record[3])
			r := Report{
				Peer: uint16(record[0]), Server: uint64(record[1]), LatencyMs: float64(record[2]), AgeMs: float64(record[3]),
			}
			if record[2] == 255 {
				r.LatencyMs = math.NaN()
			}
			_, estimates := a.Step(nowMs, []Report{r})
			for _, s := range a.servers {
				if len(s.reports) > 4 || len(a.servers) > 2 {
					t.Fatalf("server has %d reports and aggregator has %d servers, want at most 4 and 2", len(s.reports), len(a.servers))
				}
			}
			for _, e := range estimates {
				if e.PeerCount < 2 || !(e.LatencyMs >= 0) {
					t.Fatalf("%+v", e)
				}
			}
		}
	})
}
