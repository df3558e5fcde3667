package peerlatency

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func book(t testing.TB, nodes ...uint64) *Aggregator {
	t.Helper()
	b, err := New(Settings{DecayMs: 500, MaxAgeMs: 1000, ReportIntervalMs: 200, MaxServersPerReport: 2, MaxServers: 10, MaxPeers: 4})
	if err != nil {
		t.Fatal(err)
	}
	b.SetServers(nodes)
	return b
}

// Own answers are told, those of the nodes with most of them first, each once, and not more often than stated.
func TestOwnAnswersAreTold(t *testing.T) {
	b := book(t, 1, 2, 3)
	b.Observe(0, 1, 10)
	b.Observe(0, 1, 30)
	b.Observe(0, 2, 50)
	b.Observe(0, 2, 50)
	b.Observe(0, 2, 50)
	b.Observe(0, 3, 70)
	b.Observe(0, 99, 70)
	tell, _ := b.Step(100, nil)
	if want := []Report{{Server: 2, LatencyMs: 50, AgeMs: 100}, {Server: 1, LatencyMs: 20, AgeMs: 100}}; !reflect.DeepEqual(tell, want) {
		t.Errorf("told %+v", tell)
	}
	if tell, _ = b.Step(200, nil); len(tell) > 0 || b.NextReportMs(200) != 300 {
		t.Errorf("told %+v too soon, next at %v", tell, b.NextReportMs(200))
	}
	if tell, _ = b.Step(300, nil); len(tell) != 1 || tell[0].Server != 3 || !math.IsInf(b.NextReportMs(300), 1) {
		t.Errorf("told %+v, next at %v", tell, b.NextReportMs(300))
	}
}

// Two others have to say something, the lower middle counts, and all of it grows old.
func TestTheMiddleOfOthersCounts(t *testing.T) {
	b := book(t, 1)
	if _, m := b.Step(0, []Report{{Peer: 1, Server: 1, LatencyMs: 9000}}); len(m) > 0 {
		t.Errorf("one alone makes %+v", m)
	}
	if _, m := b.Step(10, []Report{{Peer: 2, Server: 1, LatencyMs: 40}}); len(m) != 1 || m[0].LatencyMs != 40 {
		t.Errorf("two make %+v", m)
	}
	if _, m := b.Step(20, []Report{{Peer: 3, Server: 1, LatencyMs: 60}, {Peer: 1, Server: 1, LatencyMs: 9500}}); len(m) != 1 || m[0].LatencyMs != 60 || m[0].PeerCount != 3 {
		t.Errorf("three make %+v", m)
	}
	if _, m := b.Step(1015, []Report{{Peer: 3, Server: 1, LatencyMs: 80}}); len(m) != 1 || m[0].PeerCount != 2 {
		t.Errorf("with one too old %+v", m)
	}
	if _, m := b.Step(3000, []Report{{Peer: 3, Server: 1, LatencyMs: 80}, {Peer: 2, Server: 1, LatencyMs: 80, AgeMs: 1001}}); len(m) > 0 {
		t.Errorf("alone again %+v", m)
	}
}

// Order and repeats change nothing in the end, whoever says what, and one that lies moves the middle no further than to
// what another has measured.
func TestOrderRepeatsAndLies(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 6))
		var in []Report
		honest := []float64{}
		for p := range uint16(3) {
			ms := 20 + 20*rnd.Float64()
			honest = append(honest, ms)
			in = append(in, Report{Peer: p, Server: 1, LatencyMs: ms, AgeMs: 10}, Report{Peer: p, Server: 1, LatencyMs: 999, AgeMs: 500})
		}
		in = append(in, Report{Peer: 3, Server: 1, LatencyMs: rnd.ExpFloat64() * 5000})
		var want float64
		for turn := range 5 {
			b := book(t, 1)
			for range 1 + turn%2 {
				for _, s := range in {
					b.Step(0, []Report{s})
				}
			}
			m, ok := b.merge(0, b.nodes[1])
			if !ok || m.LatencyMs < slices.Min(honest) || m.LatencyMs > slices.Max(honest) {
				t.Fatalf("seed %d: %+v of %v", seed, m, honest)
			}
			if turn > 0 && m.LatencyMs != want {
				t.Fatalf("seed %d: %v, in another order %v", seed, want, m.LatencyMs)
			}
			want = m.LatencyMs
			rnd.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
		}
	}
}

// Books keep their size whatever is said.
func FuzzSamples(f *testing.F) {
	f.Add([]byte{1, 1, 9, 3, 2, 1, 8, 2})
	f.Fuzz(func(t *testing.T, text []byte) {
		b := book(t, 1, 2)
		now := 0.0
		for len(text) >= 4 {
			x := text[:4]
			text = text[4:]
			now += float64(x[3])
			s := Report{Peer: uint16(x[0]), Server: uint64(x[1]), LatencyMs: float64(x[2]), AgeMs: float64(x[3])}
			if x[2] == 255 {
				s.LatencyMs = math.NaN()
			}
			_, m := b.Step(now, []Report{s})
			for _, n := range b.nodes {
				if len(n.words) > 4 || len(b.nodes) > 2 {
					t.Fatalf("%d words, %d nodes", len(n.words), len(b.nodes))
				}
			}
			for _, x := range m {
				if x.PeerCount < 2 || !(x.LatencyMs >= 0) {
					t.Fatalf("%+v", x)
				}
			}
		}
	})
}
