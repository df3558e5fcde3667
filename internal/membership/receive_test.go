package membership

import (
	"cmp"
	"math/rand/v2"
	"testing"
)

func newMemberlist(t testing.TB, memberCount int, seed uint64) *Memberlist {
	t.Helper()
	list, err := New(DefaultSettings(0, memberCount, 9, seed))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// supersedes reports whether the first pair of incarnation and state is greater than the second one.
func supersedes(incarnation uint64, state State, otherIncarnation uint64, otherState State) bool {
	return cmp.Or(cmp.Compare(incarnation, otherIncarnation), cmp.Compare(state, otherState)) > 0
}

// randomUpdates returns updates about members 1 to 3 and the greatest one for each of them.
func randomUpdates(random *rand.Rand) (updates []Update, greatest map[uint16]Update) {
	greatest = map[uint16]Update{}
	for range 30 {
		u := Update{
			Member:      1 + uint16(random.IntN(3)),
			State:       State(random.IntN(4)),
			Incarnation: uint64(random.IntN(4)),
			SuspectedBy: uint16(random.IntN(4)),
		}
		updates = append(updates, u)
		if g, ok := greatest[u.Member]; !ok || supersedes(u.Incarnation, u.State, g.Incarnation, g.State) {
			greatest[u.Member] = u
		}
	}
	return updates, greatest
}

// TestUpdateOrderAndDuplicatesDoNotMatter checks that the final state of a member is the greatest update, independent
// of the order of updates and of duplicates.
func TestUpdateOrderAndDuplicatesDoNotMatter(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		updates, greatest := randomUpdates(random)
		for range 5 {
			list := newMemberlist(t, 4, seed)
			list.Step(0, nil)
			for range 2 {
				random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
				for _, u := range updates {
					list.Step(0, []Message{{Kind: Nack, Peer: 2, Updates: []Update{u}}})
				}
			}
			for number, want := range greatest {
				got := list.members[number]
				same := got.incarnation == want.Incarnation && got.state == want.State
				if !same && (want.Incarnation > 0 || want.State > Alive) {
					t.Fatalf("seed %d: member %d is %v with incarnation %d, greatest update %+v",
						seed, number, got.state, got.incarnation, want)
				}
			}
		}
	}
}

// TestRefutesUpdatesAboutItself checks that a member refutes a false update about itself with a greater incarnation,
// and reports another process with its number.
func TestRefutesUpdatesAboutItself(t *testing.T) {
	list := newMemberlist(t, 3, 1)
	list.Step(0, nil)
	outgoing, _ := list.Step(1, []Message{{Kind: Ping, Peer: 1, Seq: 4, Target: 0,
		Updates: []Update{{Member: 0, State: Dead, Incarnation: 7}}}})
	refutation := Update{Member: 0, State: Alive, Incarnation: 8, ProcessIncarnation: 9}
	if len(outgoing) != 1 || outgoing[0].Kind != Ack || outgoing[0].Updates[0] != refutation {
		t.Errorf("answered %+v", outgoing)
	}
	_, changes := list.Step(2, []Message{{Kind: Nack, Peer: 1,
		Updates: []Update{{Member: 0, State: Alive, Incarnation: 8, ProcessIncarnation: 77}}}})
	if len(changes) != 1 || !changes[0].IdentityConflict || changes[0].ProcessIncarnation != 77 {
		t.Errorf("changes %+v after an update by another process with this number", changes)
	}
}

// FuzzMessages checks that arbitrary messages neither grow the state beyond its bounds nor produce output about members
// that do not exist.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{1, 1, 0, 2, 3, 4, 5, 6})
	f.Add([]byte{2, 9, 9, 0, 0, 3, 200, 1})
	f.Fuzz(func(t *testing.T, input []byte) {
		list := newMemberlist(t, 5, 1)
		nowMs := 0.0
		for len(input) >= 8 {
			x := input[:8]
			input = input[8:]
			nowMs += float64(x[7]) * 10
			outgoing, changes := list.Step(nowMs, []Message{fuzzMessage(x)})
			for _, m := range outgoing {
				if int(m.Peer) >= 5 || m.Peer == 0 || len(m.Updates) > list.settings.MaxUpdatesPerMessage || m.Updates[0].Member != 0 {
					t.Fatalf("sends %+v", m)
				}
			}
			for _, c := range changes {
				if int(c.Member) >= 5 || c.Member == 0 && !c.IdentityConflict {
					t.Fatalf("reports %+v", c)
				}
			}
			if len(list.broadcasts) > 5 || len(list.relays) > maxRelays || list.healthScore > list.settings.MaxHealthScore {
				t.Fatalf("%d broadcasts, %d relays, health score %d", len(list.broadcasts), len(list.relays), list.healthScore)
			}
		}
	})
}

// fuzzMessage returns a message with one update that is made of eight bytes.
func fuzzMessage(x []byte) Message {
	return Message{
		Kind:   MessageKind(x[0]),
		Peer:   uint16(x[1]),
		Seq:    uint32(x[2]),
		Target: uint16(x[3]),
		Updates: []Update{
			{Member: uint16(x[4]), State: State(x[5]), Incarnation: uint64(x[6]), SuspectedBy: uint16(x[1])},
		},
	}
}
