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

// supersedes reports whether an update with the given incarnation and state wins over an update with otherIncarnation and
// otherState.
func supersedes(incarnation uint64, state State, otherIncarnation uint64, otherState State) bool {
	return cmp.Or(cmp.Compare(incarnation, otherIncarnation), cmp.Compare(state, otherState)) > 0
}

// randomUpdates returns updates about members 1 to 3, and the greatest update about each of them.
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

// TestUpdateOrderAndDuplicatesDoNotMatter checks that the final state of a member is that of the greatest update, whatever
// the order of the updates and however often they are repeated.
func TestUpdateOrderAndDuplicatesDoNotMatter(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		updates, greatest := randomUpdates(random)
		for range 5 {
			list := newMemberlist(t, 4, seed)
			list.Step(0, nil)
			for range 2 {
				random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
				for _, u := range updates { // a Nack that answers no pending probe only applies its updates
					list.Step(0, []Message{{Kind: Nack, Peer: 2, Updates: []Update{u}}})
				}
			}
			for index, want := range greatest {
				got := list.members[index]
				same := got.incarnation == want.Incarnation && got.state == want.State
				if !same && (want.Incarnation > 0 || want.State > Alive) {
					t.Fatalf("seed %d: member %d is %v with incarnation %d, want the state of the greatest update %+v",
						seed, index, got.state, got.incarnation, want)
				}
			}
		}
	}
}

// TestRefutesUpdatesAboutItself checks that a member refutes a false update about itself with a greater incarnation, and
// that it reports an identity conflict if it learns of another process with its index.
func TestRefutesUpdatesAboutItself(t *testing.T) {
	list := newMemberlist(t, 3, 1)
	list.Step(0, nil)
	outgoing, _ := list.Step(1, []Message{{Kind: Ping, Peer: 1, Seq: 4, Target: 0,
		Updates: []Update{{Member: 0, State: Dead, Incarnation: 7}}}})
	refutation := Update{Member: 0, State: Alive, Incarnation: 8, ProcessIncarnation: 9}
	if len(outgoing) != 1 || outgoing[0].Kind != Ack || outgoing[0].Updates[0] != refutation {
		t.Errorf("ping with a false update about the receiver answered with %+v, want one Ack with the refutation first", outgoing)
	}
	_, changes := list.Step(2, []Message{{Kind: Nack, Peer: 1,
		Updates: []Update{{Member: 0, State: Alive, Incarnation: 8, ProcessIncarnation: 77}}}})
	if len(changes) != 1 || !changes[0].IdentityConflict || changes[0].ProcessIncarnation != 77 {
		t.Errorf("state changes %+v after an update from another process with this index, want one identity conflict", changes)
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
			record := input[:8]
			input = input[8:]
			nowMs += float64(record[7]) * 10
			outgoing, changes := list.Step(nowMs, []Message{fuzzMessage(record)})
			for _, m := range outgoing {
				if int(m.Peer) >= 5 || m.Peer == 0 || len(m.Updates) > list.settings.MaxUpdatesPerMessage || m.Updates[0].Member != 0 {
					t.Fatalf("sent %+v, want a message to another member, with at most MaxUpdatesPerMessage updates, the sender's state first", m)
				}
			}
			for _, c := range changes {
				if int(c.Member) >= 5 || c.Member == 0 && !c.IdentityConflict {
					t.Fatalf("reported state change %+v, want an existing other member or an identity conflict", c)
				}
			}
			if len(list.broadcasts) > 5 || len(list.relays) > maxRelays || list.healthScore > list.settings.MaxHealthScore {
				t.Fatalf("state has %d broadcasts, %d relays and health score %d, want at most 5, maxRelays and MaxHealthScore",
					len(list.broadcasts), len(list.relays), list.healthScore)
			}
		}
	})
}

// fuzzMessage returns a message with one update, made from the first seven bytes of a record. The caller uses the eighth byte
// as the time since the previous message.
func fuzzMessage(record []byte) Message {
	return Message{
		Kind:   MessageKind(record[0]),
		Peer:   uint16(record[1]),
		Seq:    uint32(record[2]),
		Target: uint16(record[3]),
		Updates: []Update{
			{
				Member: uint16(record[4]), State: State(record[5]), Incarnation: uint64(record[6]),
				SuspectedBy: uint16(record[1]),
			},
		},
	}
}
