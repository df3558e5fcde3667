package quota

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

const potID = 7

func settings(self uint16, life uint32) Settings {
	return Settings{Self: self, Incarnation: life, LeaseMs: 1000, ClockDrift: 0.02, MaxGrantedFraction: 0.75, RequestIntervalMs: 100, IdleTimeoutMs: 60_000, MaxPools: 4, MaxPeers: 8}
}

// gateway is a process of the model, with a clock that runs at its own rate from its own zero.
type gateway struct {
	book   *Allocator
	life   uint32
	rate   float64
	zero   float64
	need   float64
	dead   bool
	paused bool
	inbox  []Message
}

// fleet is the model: the plainest there is of a network and of what the parts in force add up to.
type fleet struct {
	now   float64
	gates []*gateway
	wire  []Message // on its way; Peer is the receiver, from the sender
	from  []uint16
	lives uint32
	worst float64
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		g := &gateway{rate: 1, zero: float64(i) * 12345}
		if i%2 == 1 {
			g.rate = 1.019
		} else {
			g.rate = 0.981
		}
		f.gates = append(f.gates, g)
		f.start(i)
	}
	f.now = 2 * settings(0, 0).GrantHoldMs() // what earlier lives may have lent is over
	return f
}

func (f *fleet) start(i int) {
	f.lives++
	g := f.gates[i]
	b, err := New(settings(uint16(i), f.lives))
	if err != nil {
		panic(err)
	}
	var peers []uint16
	for p := range f.gates {
		if p != i {
			peers = append(peers, uint16(p))
		}
	}
	g.book, g.life, g.dead, g.paused, g.inbox, g.need = b, f.lives, false, false, nil, 0
	g.book.Step(f.clock(g), nil, nil)
	g.book.SetPeers(peers)
}

func (f *fleet) clock(g *gateway) float64 { return g.zero + f.now*g.rate }

// step lets a gateway take what it has, and its traffic's need.
func (f *fleet) step(i int) {
	g := f.gates[i]
	if g.dead || g.paused {
		return
	}
	in := g.inbox
	g.inbox = nil
	var peers []uint16
	for p := range f.gates {
		if p != i {
			peers = append(peers, uint16(p))
		}
	}
	g.book.SetPeers(peers)
	var demands []Demand
	if g.need >= 0 {
		demands = []Demand{{Pool: potID, Gateways: len(f.gates), Fraction: g.need}}
	}
	out, _ := g.book.Step(f.clock(g), demands, in)
	for _, m := range out {
		f.wire, f.from = append(f.wire, m), append(f.from, uint16(i))
	}
}

// deliver brings a message to its inbox; keep leaves it on its way, to come again.
func (f *fleet) deliver(at int, keep bool) {
	m, from := f.wire[at], f.from[at]
	if !keep {
		f.wire, f.from = slices.Delete(f.wire, at, at+1), slices.Delete(f.from, at, at+1)
	}
	g := f.gates[m.Peer]
	if m.Peer = from; !g.dead {
		g.inbox = append(g.inbox, m)
	}
}

// check adds up what could be used now: a process that is paused asks before it sends, so it holds what its books say
// when it wakes. Dead ones use nothing.
func (f *fleet) check() error {
	sum := 0.0
	for _, g := range f.gates {
		if !g.dead {
			if p := g.book.pots[potID]; p != nil {
				sum += g.book.AvailableFraction(f.clock(g), potID)
			} else {
				own := 1 / float64(len(f.gates))
				if f.clock(g) < g.book.startMs+g.book.set.GrantHoldMs() {
					own *= 1 - g.book.set.MaxGrantedFraction
				}
				sum += own
			}
		}
	}
	if f.worst = max(f.worst, sum); sum > 1+1e-9 {
		return fmt.Errorf("at %.0f ms %.4f of the whole is in force", f.now, sum)
	}
	return nil
}

// apply plays one move; the moves of a fleet are numbered, and those that say nothing now change nothing.
func (f *fleet) apply(move int) {
	n := len(f.gates)
	switch {
	case move < n: // it steps; its need is what the order of steps makes it
		f.step(move)
	case move < 2*n: // its need turns over, and it steps
		g := f.gates[move-n]
		switch { // all, some, none
		case g.need >= 1:
			g.need = 0.6
		case g.need > 0:
			g.need = 0
		default:
			g.need = 1
		}
		f.step(move - n)
	case move < 3*n: // it dies, or starts anew
		if g := f.gates[move-2*n]; g.dead {
			f.start(move - 2*n)
		} else {
			g.dead = true
		}
	case move < 4*n: // it is paused, or wakes with all that has come
		g := f.gates[move-3*n]
		g.paused = !g.paused
	case move == 4*n:
		f.now += 130
	case move == 4*n+1:
		f.now += settings(0, 0).LeaseMs / 2
	case move == 4*n+2: // the oldest message comes
		if len(f.wire) > 0 {
			f.deliver(0, false)
		}
	case move == 4*n+3: // the newest comes, and stays
		if len(f.wire) > 0 {
			f.deliver(len(f.wire)-1, true)
		}
	case move == 4*n+4: // the oldest is lost
		if len(f.wire) > 0 {
			f.wire, f.from = f.wire[1:], f.from[1:]
		}
	}
}

func moves(n int) int { return 4*n + 5 }

var depth = flag.Int("depth", 4, "how many moves every order of which is played")

// Every order of so many moves of two gateways, behind several beginnings in which one has lent to the other: at no
// point is more than the whole in force.
func TestEveryOrder(t *testing.T) {
	const n = 2
	depth := *depth
	turn0, turn1, pass, half, oldest, newest := n+0, n+1, 4*n, 4*n+1, 4*n+2, 4*n+3
	holds := []int{turn0, 1, oldest, 1, oldest, 0} // 0 holds what 1 has lent
	begun := func(more ...int) []int { return append(slices.Clone(holds), more...) }
	beginnings := [][]int{
		{},
		{turn0, turn1, 1, 2},          // both have traffic
		{turn0, 1, oldest, 1, oldest}, // 0 asks, 1 has lent, the grant has come
		holds,
		{turn0, 1, oldest, 1, newest, 0, half}, // the same, half of the lease is over, and a copy is on its way
		begun(half, 0, oldest, 1),              // renewed, the second grant is on its way
		begun(pass, turn0),                     // some of it given back, which is on its way
		begun(pass, 0, oldest, 1, pass, turn0), // a grant is on its way, and behind it a return
		begun(pass, turn0, pass, turn0, pass, turn0, newest, 1, newest, 0), // two returns are late, and more was lent since
		{turn0, 2 * n, oldest, 1, half, 2 * n, turn0},                      // a grant to an earlier life is on its way
	}
	played := 0
	for _, begin := range beginnings {
		order := make([]int, depth)
		for {
			f := newFleet(n)
			for _, m := range begin {
				f.apply(m)
			}
			for at, m := range order {
				f.apply(m)
				if err := f.check(); err != nil {
					t.Fatalf("begin %v, moves %v: %v", begin, order[:at+1], err)
				}
			}
			played++
			i := depth - 1
			for ; i >= 0; i-- {
				if order[i]++; order[i] < moves(n) {
					break
				}
				order[i] = 0
			}
			if i < 0 {
				break
			}
		}
	}
	t.Logf("%d orders of %d moves", played, depth)
}

// Long random orders of fleets of two to six, and the same as a fuzz test.
func TestRandomOrders(t *testing.T) {
	worst, lentAtAll := 0.0, 0
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(2 + int(seed%5))
		for range 1500 {
			move := rnd.IntN(moves(len(f.gates)))
			if rnd.IntN(3) == 0 {
				move = 4*len(f.gates) + 2 // most messages come
			}
			f.apply(move)
			if err := f.check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if lent, _ := f.gates[0].book.LentAndBorrowed(potID); lent > 0 {
				lentAtAll++
			}
		}
		worst = max(worst, f.worst)
	}
	t.Logf("worst sum %.6f, %d moments with something lent", worst, lentAtAll)
	if lentAtAll < 1000 {
		t.Error("too little was lent to show anything")
	}
}

func FuzzOrders(f *testing.F) {
	f.Add([]byte{3, 2, 4, 1, 14, 1, 14, 0, 13, 0, 14, 1, 10})
	f.Add([]byte{2, 4, 3, 10, 1, 10, 8, 9, 9, 8, 0, 11})
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) == 0 {
			return
		}
		f := newFleet(2 + int(text[0])%5)
		for _, m := range text[1:min(len(text), 2000)] {
			f.apply(int(m) % moves(len(f.gates)))
			if err := f.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// settle plays a quiet network for a while: all that is sent comes.
func (f *fleet) settle(ms float64) {
	for end := f.now + ms; f.now < end; f.now += 25 {
		for i := range f.gates {
			f.step(i)
		}
		for len(f.wire) > 0 {
			f.deliver(0, false)
		}
	}
}

func (f *fleet) held(i int) float64 {
	g := f.gates[i]
	return g.book.AvailableFraction(f.clock(g), potID)
}

// Parts go to where the traffic is, come back when it turns, and a dead borrower's come back after its lease.
func TestPartsFollowTraffic(t *testing.T) {
	f := newFleet(3)
	f.gates[0].need, f.gates[1].need, f.gates[2].need = 0.9, 0.02, 0.02
	f.settle(500)
	if got := f.held(0); got < 0.8 {
		t.Errorf("the busy one holds %.3f", got)
	}
	f.gates[0].need, f.gates[1].need = 0.02, 0.9 // the lead changes
	f.settle(500)
	if got := f.held(1); got < 0.8 {
		t.Errorf("the new lead holds %.3f, the old one %.3f", got, f.held(0))
	}
	f.gates[1].dead = true
	f.gates[0].need = 0.9
	own := f.held(0)
	f.settle(settings(0, 0).GrantHoldMs() + 300)
	// What the dead one had borrowed is back. Its own part stays unused, as what would come through it does.
	if got := f.held(0); got < 0.57 || got < own {
		t.Errorf("after a borrower's death %.3f is held, %.3f before", got, own)
	}
	for i := range 3 {
		f.gates[i].need = -1 // no traffic at all
	}
	f.settle(3000)
	if got := f.held(0); math.Abs(got-1.0/3) > 1e-9 {
		t.Errorf("without traffic %.3f is held", got)
	}
}

// A lender whose own traffic comes back has its part again within the stated time.
func TestLenderGetsItsPartBack(t *testing.T) {
	f := newFleet(2)
	f.gates[0].need, f.gates[1].need = 1, 0
	f.settle(700)
	if f.held(1) > 0.2 {
		t.Fatalf("the idle one still holds %.3f", f.held(1))
	}
	f.gates[1].need = 1
	f.settle(settings(0, 0).GrantHoldMs() + 150)
	if got := f.held(1); got < 0.5-1e-9 {
		t.Errorf("the lender holds %.3f of its half", got)
	}
}

// Three hundred gateways, each volume through three of them, with losses and delays: nobody knows which, and those who
// can lend are found within the bound. The sum is kept at every moment.
func TestManyGateways(t *testing.T) {
	const gates, pots, hosts, loss, tick = 300, 20, 3, 0.1, 25.0
	rnd := rand.New(rand.NewPCG(1, 9))
	books := make([]*Allocator, gates)
	var peers []uint16
	for i := range books {
		books[i], _ = New(settings(uint16(i), uint32(i+1)))
		books[i].Step(0, nil, nil)
		peers = append(peers, uint16(i))
	}
	for i, b := range books {
		b.SetPeers(slices.DeleteFunc(slices.Clone(peers), func(p uint16) bool { return int(p) == i }))
	}
	through := make([][]int, pots)
	for p := range through {
		through[p] = rnd.Perm(gates)[:hosts]
	}
	start := settings(0, 0).GrantHoldMs() + tick
	bound := settings(0, 0).LenderSearchBoundMs(gates)
	wire := map[int][]Message{} // by tick of arrival; Peer is the receiver, Pot as it is
	from := map[int][]uint16{}
	found := make([]float64, pots)
	sent := 0
	for n := 0; float64(n)*tick < start+3*bound; n++ {
		now := start + float64(n)*tick
		in := map[int][]Message{}
		for i, m := range wire[n] {
			to := int(m.Peer)
			m.Peer = from[n][i]
			in[to] = append(in[to], m)
		}
		delete(wire, n)
		delete(from, n)
		demands := map[int][]Demand{}
		for p, hs := range through {
			for k, h := range hs {
				need := 0.01
				if k == 0 {
					need = 0.9
				}
				demands[h] = append(demands[h], Demand{Pool: uint64(p), Gateways: hosts, Fraction: need})
			}
		}
		for i, b := range books {
			if len(in[i]) == 0 && len(demands[i]) == 0 {
				continue
			}
			out, _ := b.Step(now, demands[i], in[i])
			for _, m := range out {
				if sent++; rnd.Float64() >= loss {
					at := n + 1 + rnd.IntN(2)
					wire[at], from[at] = append(wire[at], m), append(from[at], uint16(i))
				}
			}
		}
		for p, hs := range through {
			sum := 0.0
			for _, h := range hs {
				sum += books[h].AvailableFraction(now, uint64(p))
			}
			if sum > 1+1e-9 {
				t.Fatalf("at %.0f ms %.4f of volume %d is in force", now, sum, p)
			}
			if found[p] == 0 && books[hs[0]].AvailableFraction(now, uint64(p)) > 0.8 {
				found[p] = now - start
			}
		}
	}
	slices.Sort(found)
	t.Logf("both lenders found after %.0f ms in the median, %.0f at the most; bound without loss %.0f; %d messages", found[pots/2], found[pots-1], bound, sent)
	if found[0] == 0 || found[pots/2] > bound+4*tick {
		t.Errorf("found after %v, bound %v", found, bound)
	}
}

// Books are bounded by their settings, whoever asks.
func TestBooksAreBounded(t *testing.T) {
	b, err := New(settings(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, nil, nil)
	now := 5000.0
	for i := range 200 {
		b.Step(now, []Demand{{Pool: uint64(i), Gateways: 2}}, []Message{
			{Kind: LeaseRequest, Pool: uint64(i % 4), Peer: uint16(1 + i), SenderIncarnation: uint32(i), Seq: 1, Fraction: 0.01},
			{Kind: LeaseGrant, Pool: uint64(i % 4), Peer: uint16(1 + i), RecipientIncarnation: 1, Seq: uint32(i), Fraction: 1},
			{Kind: LeaseRequest, Pool: uint64(i % 4), Peer: 1, Seq: 9, Fraction: math.NaN()},
			{Kind: 77, Pool: 1, Peer: 3}})
	}
	if len(b.pots) > 4 || len(b.order) > 4 {
		t.Errorf("%d pots", len(b.pots))
	}
	for id, p := range b.pots {
		if len(p.loans) > 8 || len(p.debts) > 16 || len(p.known) > 8 || len(p.asks) > 8 {
			t.Errorf("pot %d: %d loans, %d debts, %d known, %d asks", id, len(p.loans), len(p.debts), len(p.known), len(p.asks))
		}
		if len(p.debts) > 0 {
			t.Error("a grant that nobody asked for counts")
		}
	}
	for _, bad := range []func(*Settings){func(s *Settings) { s.LeaseMs = 0 }, func(s *Settings) { s.ClockDrift = math.NaN() },
		func(s *Settings) { s.MaxGrantedFraction = 1 }, func(s *Settings) { s.RequestIntervalMs = 900 }, func(s *Settings) { s.MaxPools = 0 }, func(s *Settings) { s.IdleTimeoutMs = 0 }} {
		s := settings(0, 1)
		bad(&s)
		if _, err := New(s); err == nil {
			t.Errorf("taken: %+v", s)
		}
	}
}
