package outlier

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func settings() Settings {
	return Settings{DecayMs: 2000, MinFailures: 3, MinFailureRatio: 0.5, MaxAttemptWeight: 10, MaxReportAgeMs: 3000, ReportIntervalMs: 1000, MinQuorum: 2, QuorumFraction: 0.34, MaxEjectedFraction: 0.34,
		MaxServers: 50, MaxPeers: 8}
}

func book(t testing.TB, nodes ...uint64) *Detector {
	t.Helper()
	b, err := New(settings())
	if err != nil {
		t.Fatal(err)
	}
	b.SetServers(nodes)
	b.SetAliveGateways(4)
	return b
}

func outs(vs []Ejection) (ids []uint64) {
	for _, v := range vs {
		ids = append(ids, v.Server)
	}
	return ids
}

func say(peer uint16, node uint64, percent uint8, stamp uint64) Report {
	return Report{Peer: peer, Server: node, Condition: Failing, Percent: percent, Version: stamp}
}

// Two gateways that find the same take a node out; one alone, however loud, does not.
func TestSeveralAreAskedFor(t *testing.T) {
	b := book(t, 1, 2, 3)
	if _, out := b.Step(0, []Report{say(5, 1, 100, 1), say(5, 1, 100, 2), say(5, 2, 100, 3)}); len(out) > 0 {
		t.Errorf("one gateway takes out %v", out)
	}
	if _, out := b.Step(1, []Report{say(6, 1, 80, 1)}); !reflect.DeepEqual(outs(out), []uint64{1}) || out[0].Reporters != 2 {
		t.Errorf("two take out %v", out)
	}
	if _, out := b.Step(2, []Report{say(6, 1, 0, 2)}); len(out) > 0 {
		t.Errorf("behind a word taken back %v", out)
	}
	b.SetAliveGateways(30) // a third of those alive
	if _, out := b.Step(3, []Report{say(6, 1, 100, 3), say(7, 1, 100, 1)}); len(out) > 0 {
		t.Errorf("three of thirty take out %v", out)
	}
}

// What is found here is told at once, again while it holds, and taken back; with another's word it is a verdict. A
// gateway that is served well goes on, whatever others find.
func TestOwnFindings(t *testing.T) {
	b := book(t, 1, 2, 3)
	for range 4 {
		b.RecordAttempt(0, 1, true)
	}
	tell, out := b.Step(0, nil)
	if len(tell) != 1 || tell[0].Percent != 100 || tell[0].Server != 1 || len(out) > 0 {
		t.Fatalf("tells %+v, %v out", tell, out)
	}
	if tell, _ = b.Step(10, nil); len(tell) > 0 {
		t.Errorf("tells it again at once")
	}
	b.RecordAttempt(900, 1, true) // one that is tried a little
	if tell, out = b.Step(1000, []Report{say(5, 1, 100, 1)}); len(out) != 1 || len(tell) != 1 || tell[0].Percent != 100 {
		t.Errorf("with another's word %v, tells %v", out, tell)
	}
	for range 60 {
		b.RecordAttempt(1500, 1, false)
	}
	tell, out = b.Step(1500, []Report{say(6, 1, 100, 1), say(7, 1, 100, 1), say(8, 1, 100, 1)})
	if len(tell) != 1 || tell[0].Percent != 0 || len(out) > 0 {
		t.Errorf("served well: tells %+v, %v out", tell, out)
	}
	b.MarkWithdrawn(2)
	b.MarkWithdrawn(99)
	if tell, _ = b.Step(1600, nil); len(tell) != 1 || tell[0].Condition != Withdrawn || tell[0].Server != 2 {
		t.Errorf("a node that drains: tells %+v", tell)
	}
	b.SetServers([]uint64{1, 2, 3})
	if tell, _ = b.Step(1700, nil); len(tell) != 1 || tell[0].Server != 2 || tell[0].Percent != 0 {
		t.Errorf("one that is ready again: tells %+v", tell)
	}
}

// However long a node has failed, a finding is over within its bound, and sooner if attempts go well.
func TestFindingsEnd(t *testing.T) {
	for _, good := range []bool{false, true} {
		b := book(t, 1)
		for now := range 10_000 {
			b.RecordAttempt(float64(now), 1, true)
		}
		end := 0.0
		for now := 10_000.0; ; now += 10 {
			if good && int(now)%400 == 0 {
				b.RecordAttempt(now, 1, false)
			}
			if b.Step(now, nil); b.finds(b.nodes[1], Failing) == 0 {
				end = now - 10_000
				break
			}
		}
		if bound := settings().FailureDecayBoundMs(); end > bound+10 || !good && end < bound-10 || good && end > bound-200 {
			t.Errorf("attempts that go well %v: over after %.0f ms, bound %.0f", good, end, bound)
		}
	}
}

// Evidence ends by age alone, and no more than the stated part is out, those that most find.
func TestAgeAndMost(t *testing.T) {
	b := book(t, 1, 2, 3, 4, 5, 6)
	var in []Report
	for node := range uint64(6) {
		for peer := range uint16(2 + node%2) {
			in = append(in, say(peer, 1+node, 100, 1))
		}
	}
	_, out := b.Step(0, in)
	if !reflect.DeepEqual(outs(out), []uint64{2, 4}) {
		t.Errorf("of six %v are out", outs(out))
	}
	if _, out = b.Step(settings().MaxReportAgeMs, nil); len(out) != 2 || out[0].AgeMs != settings().MaxReportAgeMs {
		t.Errorf("at the last moment %v", out)
	}
	if _, out = b.Step(settings().MaxReportAgeMs+1, nil); len(out) > 0 {
		t.Errorf("behind it %v", out)
	}
	if _, out = b.Step(5000, []Report{{Peer: 1, Server: 1, Condition: Failing, Percent: 100, Version: 9, AgeMs: 2900}, {Peer: 2, Server: 1, Condition: Failing, Percent: 100, Version: 9}}); len(out) != 1 {
		t.Errorf("with one old word %v", out)
	}
	if _, out = b.Step(5200, nil); len(out) > 0 {
		t.Errorf("behind its age %v", out)
	}
	if _, out = b.Step(9000, []Report{say(1, 1, 100, 8), say(2, 1, 100, 8)}); len(out) > 0 {
		t.Errorf("words that were late by more than their age: %v", out)
	}
}

// Whatever order words come in, and however often, the same is out.
func TestOrderAndRepeatsChangeNothing(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		var in []Report
		for range 40 {
			peer, node, stamp := uint16(rnd.IntN(5)), uint64(1+rnd.IntN(4)), uint64(rnd.IntN(6))
			in = append(in, say(peer, node, uint8((stamp*37+uint64(peer)*11+node)%3*50), stamp)) // a stamp has one meaning
		}
		var want []uint64
		for turn := range 6 {
			b := book(t, 1, 2, 3, 4)
			var out []Ejection
			for range 1 + turn%2 {
				for _, e := range in {
					_, out = b.Step(0, []Report{e})
				}
			}
			if got := outs(out); turn == 0 {
				want = got
			} else if !slices.Equal(got, want) {
				t.Fatalf("seed %d: %v, in another order %v", seed, want, got)
			}
			rnd.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
		}
	}
}

// One gateway may say what it likes, in every field: alone it takes nothing out, and books keep their size.
func FuzzLiar(f *testing.F) {
	f.Add([]byte{1, 1, 100, 1, 0, 2, 1, 100, 255, 9})
	f.Fuzz(func(t *testing.T, text []byte) {
		b := book(t, 1, 2, 3)
		now := 0.0
		for len(text) >= 5 {
			x := text[:5]
			text = text[5:]
			now += float64(x[4])
			age := float64(x[4]) * 20
			if x[4] == 77 {
				age = math.NaN()
			}
			_, out := b.Step(now, []Report{{Peer: 5, Server: uint64(x[0]), Condition: Condition(x[1]), Percent: x[2], Version: uint64(x[3]) << 56, AgeMs: age}})
			if len(out) > 0 {
				t.Fatalf("one alone takes out %v", out)
			}
			for _, n := range b.nodes {
				if len(n.words) > 2 || len(b.nodes) > 3 {
					t.Fatalf("%d words, %d nodes", len(n.words), len(b.nodes))
				}
			}
		}
	})
}
