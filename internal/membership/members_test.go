package membership

import (
	"cmp"
	"math/rand/v2"
	"testing"
)

// What is held of a member in the end is the greatest of what was told, whatever its order and however often.
func TestOrderAndRepeatsChangeNothing(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var told []Update
		best := map[uint16]Update{}
		for range 30 {
			r := Update{Member: 1 + uint16(rnd.IntN(3)), State: State(rnd.IntN(4)), Incarnation: uint64(rnd.IntN(4)), SuspectedBy: uint16(rnd.IntN(4))}
			told = append(told, r)
			if b, ok := best[r.Member]; !ok || cmp.Or(cmp.Compare(r.Incarnation, b.Incarnation), cmp.Compare(r.State, b.State)) > 0 {
				best[r.Member] = r
			}
		}
		for range 5 {
			b, err := New(DefaultSettings(0, 4, 9, seed))
			if err != nil {
				t.Fatal(err)
			}
			b.Step(0, nil)
			for range 2 {
				rnd.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
				for _, r := range told {
					b.Step(0, []Message{{Kind: Nack, Peer: 2, Updates: []Update{r}}})
				}
			}
			for m, want := range best {
				if got := b.all[m]; cmp.Or(cmp.Compare(got.incarnation, want.Incarnation), cmp.Compare(got.state, want.State)) != 0 &&
					(want.Incarnation > 0 || want.State > Alive) {
					t.Fatalf("seed %d: member %d is %v of incarnation %d, told was %+v", seed, m, got.state, got.incarnation, want)
				}
			}
		}
	}
}

// What is wrongly said of this gateway it contradicts with a greater incarnation; another process of its number is told.
func TestContradicts(t *testing.T) {
	b, err := New(DefaultSettings(0, 3, 9, 1))
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, nil)
	out, _ := b.Step(1, []Message{{Kind: Ping, Peer: 1, Seq: 4, Target: 0, Updates: []Update{{Member: 0, State: Dead, Incarnation: 7}}}})
	if len(out) != 1 || out[0].Kind != Ack || out[0].Updates[0] != (Update{Member: 0, State: Alive, Incarnation: 8, ProcessIncarnation: 9}) {
		t.Errorf("answered %+v", out)
	}
	_, changes := b.Step(2, []Message{{Kind: Nack, Peer: 1, Updates: []Update{{Member: 0, State: Alive, Incarnation: 8, ProcessIncarnation: 77}}}})
	if len(changes) != 1 || !changes[0].IdentityConflict || changes[0].ProcessIncarnation != 77 {
		t.Errorf("told %+v of another process of this number", changes)
	}
}

// Confirmations by others shorten a suspicion, and each counts once.
func TestConfirmationsShorten(t *testing.T) {
	set := DefaultSettings(0, 10, 9, 1)
	least, most := set.SuspicionBoundsMs()
	b, _ := New(set)
	b.Step(0, nil)
	last := most + 1
	for by := range uint16(set.ExpectedConfirmations + 2) {
		for range 2 {
			b.hear(0, Update{Member: 5, State: Suspect, SuspectedBy: 1 + by})
		}
		got := b.suspicion(&b.all[5])
		if by <= uint16(set.ExpectedConfirmations) && got >= last || got < least {
			t.Errorf("%d suspect it: %v ms, before %v, least %v", by+1, got, last, least)
		}
		last = got
	}
	if last != least {
		t.Errorf("in the end %v ms, least %v", last, least)
	}
}

// Messages may be anything: books keep their size, and no member that does not exist is named.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{1, 1, 0, 2, 3, 4, 5, 6})
	f.Add([]byte{2, 9, 9, 0, 0, 3, 200, 1})
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := New(DefaultSettings(0, 5, 9, 1))
		if err != nil {
			t.Fatal(err)
		}
		now := 0.0
		for len(text) >= 8 {
			x := text[:8]
			text = text[8:]
			now += float64(x[7]) * 10
			out, changes := b.Step(now, []Message{{Kind: MessageKind(x[0]), Peer: uint16(x[1]), Seq: uint32(x[2]), Target: uint16(x[3]),
				Updates: []Update{{Member: uint16(x[4]), State: State(x[5]), Incarnation: uint64(x[6]), SuspectedBy: uint16(x[1])}}}})
			for _, m := range out {
				if int(m.Peer) >= 5 || m.Peer == 0 || len(m.Updates) > b.set.MaxUpdatesPerMessage || m.Updates[0].Member != 0 {
					t.Fatalf("sends %+v", m)
				}
			}
			for _, c := range changes {
				if int(c.Member) >= 5 || c.Member == 0 && !c.IdentityConflict {
					t.Fatalf("tells %+v", c)
				}
			}
			if len(b.news) > 5 || len(b.relays) > mostRelays || b.slow > b.set.MaxHealthScore {
				t.Fatalf("%d news, %d relays, %d slow", len(b.news), len(b.relays), b.slow)
			}
		}
	})
}
