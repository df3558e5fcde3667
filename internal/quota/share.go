package quota

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// needMs is how long a demand counts after it was told.
const needMs = 1000

// headroom is how much more than it uses a gateway keeps or asks for.
const headroom = 1.15

// strangers is how many gateways that have not answered for a pot yet are asked at once.
const strangers = 4

// grain is the least part that is worth a message, of a gateway's own part.
const grain = 0.05

// loan is a part lent to one life of a borrower.
type loan struct {
	peer    uint16
	life    uint32
	seq     uint32
	part    float64
	untilMs float64
}

// debt is a part held of one life of a lender.
type debt struct {
	peer    uint16
	life    uint32
	seq     uint32
	part    float64
	untilMs float64
}

// ask is one that waits for its grant.
type ask struct {
	peer uint16
	seq  uint32
	atMs float64
}

type pot struct {
	id       uint64
	own      float64 // this gateway's even part
	hosts    int
	need     float64
	needAtMs float64
	loans    []loan
	debts    []debt
	asks     []ask    // at most one a lender: a later one replaces it
	known    []uint16 // those that have answered for this pot: its traffic comes through them, too
	turn     int      // which of the others are asked next
	askedMs  float64
	seq      uint32
	told     float64 // what was last told to be held
}

// Allocator is the parts of one gateway.
type Allocator struct {
	set     Settings
	startMs float64
	begun   bool
	pots    map[uint64]*pot
	order   []uint64 // of pots, in the order of their first demand
	peers   []uint16 // that may be asked
}

// New returns the books of a gateway that has just started, or an error if the settings cannot be used.
func New(set Settings) (*Allocator, error) {
	if !(set.LeaseMs > 0) || !(set.ClockDrift >= 0 && set.ClockDrift < 0.5) || !(set.MaxGrantedFraction >= 0 && set.MaxGrantedFraction < 1) || !(set.RequestIntervalMs > 0) ||
		set.MaxPools < 1 || set.MaxPeers < 1 {
		return nil, fmt.Errorf("share: a lease of %v ms, a drift of %v, a part of %v to lend, %v ms between asks, %d pots and %d peers",
			set.LeaseMs, set.ClockDrift, set.MaxGrantedFraction, set.RequestIntervalMs, set.MaxPools, set.MaxPeers)
	}
	if set.RequestIntervalMs >= set.LeaseMs/2 || !(set.IdleTimeoutMs >= needMs) {
		return nil, errors.New("share: leases that end before they can be renewed, or pots forgotten while they are in use")
	}
	return &Allocator{set: set, pots: map[uint64]*pot{}}, nil
}

// GrantHoldMs is how long a lender holds a part as lent after the ask that it was lent for, on its own clock. The borrower
// uses it for LeaseMs of its clock from an earlier moment on. A clock that runs slow by the drift shows LeaseMs after
// LeaseMs/(1-Drift); one that runs fast by it shows 1+Drift of that.
func (set Settings) GrantHoldMs() float64 {
	return set.LeaseMs * (1 + set.ClockDrift) / (1 - set.ClockDrift)
}

// SetPeers tells whom to ask for parts.
func (b *Allocator) SetPeers(peers []uint16) { b.peers = slices.Clone(peers) }

// Step takes what came at one moment and returns what to send and which parts have changed. Time must not run backwards.
// A gateway calls it before it uses any part, since leases end by time alone.
func (b *Allocator) Step(nowMs float64, demands []Demand, in []Message) (out []Message, parts []Share) {
	if !b.begun {
		b.begun, b.startMs = true, nowMs
	}
	for _, d := range demands {
		b.demand(nowMs, d)
	}
	for _, m := range in {
		if m.Peer == b.set.Self || !(m.Fraction >= 0 && m.Fraction <= 1) {
			continue // it would lend to itself, or what cannot be
		}
		switch m.Kind {
		case LeaseRequest:
			if reply, ok := b.lend(nowMs, m); ok {
				out = append(out, reply)
			}
		case LeaseGrant:
			b.borrow(nowMs, m)
		case LeaseReturn:
			b.takeBack(m)
		case LeaseRecall:
			if p := b.pots[m.Pool]; p != nil && m.RecipientIncarnation == b.set.Incarnation {
				out = b.giveBack(p, m, out)
			}
		}
	}
	for _, id := range b.order {
		p := b.pots[id]
		b.expire(p, nowMs)
		out = append(out, b.balance(p, nowMs)...)
		if held := b.held(p, nowMs); held != p.told {
			p.told = held
			parts = append(parts, Share{p.id, held})
		}
	}
	b.forget(nowMs)
	return out, parts
}

// AvailableFraction is what this gateway holds of a pot.
func (b *Allocator) AvailableFraction(nowMs float64, id uint64) float64 {
	p := b.pots[id]
	if p == nil {
		return 0
	}
	b.expire(p, nowMs)
	return b.held(p, nowMs)
}

// FirstLeaseExpiryMs is when the first of what is borrowed of a pot is over; 0: nothing is.
func (b *Allocator) FirstLeaseExpiryMs(id uint64) (until float64) {
	if p := b.pots[id]; p != nil {
		for _, d := range p.debts {
			if until == 0 || d.untilMs < until {
				until = d.untilMs
			}
		}
	}
	return until
}

// Pools lists the pots with a book, in the order of their first demand.
func (b *Allocator) Pools() []uint64 { return slices.Clone(b.order) }

// LentAndBorrowed is what this gateway has lent of a pot, and Borrowed what it holds of others.
func (b *Allocator) LentAndBorrowed(id uint64) (lent, borrowed float64) {
	if p := b.pots[id]; p != nil {
		return p.lent(), p.borrowed()
	}
	return 0, 0
}

// NextStepMs is when a lease ends or asks are due; Step is to be called by then.
func (b *Allocator) NextStepMs(nowMs float64) float64 {
	next := math.Inf(1)
	for _, id := range b.order {
		p := b.pots[id]
		for _, d := range p.debts {
			next = min(next, d.untilMs)
		}
		for _, l := range p.loans {
			next = min(next, l.untilMs)
		}
		if len(p.debts) > 0 || len(p.loans) > 0 || len(b.peers) > 0 && p.short(nowMs, b.held(p, nowMs)) > 0 {
			next = min(next, max(nowMs, p.askedMs)+b.set.RequestIntervalMs)
		}
	}
	if hold := b.startMs + b.set.GrantHoldMs(); len(b.order) > 0 && nowMs < hold {
		next = min(next, hold)
	}
	return next
}

func (p *pot) lent() (sum float64) {
	for _, l := range p.loans {
		sum += l.part
	}
	return sum
}

func (p *pot) borrowed() (sum float64) {
	for _, d := range p.debts {
		sum += d.part
	}
	return sum
}

// held is what the gateway may use now.
func (b *Allocator) held(p *pot, nowMs float64) float64 {
	own := p.own
	if nowMs < b.startMs+b.set.GrantHoldMs() {
		own *= 1 - b.set.MaxGrantedFraction // an earlier life may have lent the rest
	}
	return max(0, own-p.lent()) + p.borrowed()
}

// uses is what the pot's traffic here is given as far as there is enough.
func (p *pot) uses(nowMs float64) float64 {
	if nowMs-p.needAtMs > needMs {
		return 0
	}
	return min(1, p.need*headroom)
}

// short is what the pot's traffic here could use beyond what is held, if it is worth a message.
func (p *pot) short(nowMs, held float64) float64 {
	if lacks := p.uses(nowMs) - held; lacks > grain*p.own {
		return lacks
	}
	return 0
}

func (b *Allocator) demand(nowMs float64, d Demand) {
	p := b.pots[d.Pool]
	if d.Gateways < 1 || !(d.Fraction >= 0) {
		return
	}
	own := 1 / float64(d.Gateways)
	if p == nil {
		if len(b.order) >= b.set.MaxPools {
			return // it stays with its even part
		}
		p = &pot{id: d.Pool, own: own, hosts: d.Gateways, askedMs: math.Inf(-1)}
		b.pots[d.Pool] = p
		b.order = append(b.order, d.Pool)
	}
	if own < p.own { // told of more gateways: each one's part is less, and stays so
		p.own, p.hosts = own, d.Gateways
	}
	p.need, p.needAtMs = d.Fraction, nowMs
	if d.Resync {
		p.told = math.NaN() // no part is like it
	}
}

// lend answers an ask. What a borrower has been given is never less in a later grant while it lasts: the borrower may
// still use it.
func (b *Allocator) lend(nowMs float64, m Message) (Message, bool) {
	p := b.pots[m.Pool]
	if p == nil || nowMs-p.needAtMs > b.set.IdleTimeoutMs {
		return Message{}, false // its traffic does not come through here, so no part of it is here
	}
	b.expire(p, nowMs)
	i := slices.IndexFunc(p.loans, func(l loan) bool { return l.peer == m.Peer && l.life == m.SenderIncarnation })
	if i >= 0 && int32(m.Seq-p.loans[i].seq) < 0 {
		return Message{}, false // older than what is booked
	}
	have := 0.0
	if i >= 0 {
		have = p.loans[i].part
	}
	reply := Message{Kind: LeaseGrant, Pool: m.Pool, Peer: m.Peer, SenderIncarnation: b.set.Incarnation, RecipientIncarnation: m.SenderIncarnation, Seq: m.Seq, Fraction: have}
	if i >= 0 && m.Seq == p.loans[i].seq {
		return reply, true // the same ask again: the same answer, and no longer
	}
	used := p.uses(nowMs)
	if i >= 0 && used > p.own-p.lent() {
		return Message{}, false // it is needed here: the loan ends in its time
	}
	free := b.held(p, nowMs) - p.borrowed() - max(used, p.own*(1-b.set.MaxGrantedFraction))
	reply.Fraction = have + max(0, min(m.Fraction-have, free))
	if reply.Fraction == 0 {
		return reply, true // nothing to book: it is told so
	}
	if i < 0 {
		if len(p.loans) >= b.set.MaxPeers {
			reply.Fraction = 0
			return reply, true
		}
		p.loans = append(p.loans, loan{peer: m.Peer, life: m.SenderIncarnation})
		i = len(p.loans) - 1
	}
	l := &p.loans[i]
	l.seq, l.part, l.untilMs = m.Seq, reply.Fraction, nowMs+b.set.GrantHoldMs()
	return reply, true
}

// borrow takes in a grant. Only one that answers the latest ask counts, by the time of that ask.
func (b *Allocator) borrow(nowMs float64, m Message) {
	p := b.pots[m.Pool]
	if p == nil || m.RecipientIncarnation != b.set.Incarnation {
		return
	}
	i := slices.IndexFunc(p.asks, func(a ask) bool { return a.peer == m.Peer && a.seq == m.Seq })
	if i < 0 {
		return
	}
	if !slices.Contains(p.known, m.Peer) && len(p.known) < b.set.MaxPeers {
		p.known = append(p.known, m.Peer)
	}
	until := p.asks[i].atMs + b.set.LeaseMs
	p.asks = slices.Delete(p.asks, i, i+1)
	if nowMs >= until {
		return
	}
	j := slices.IndexFunc(p.debts, func(d debt) bool { return d.peer == m.Peer && d.life == m.SenderIncarnation })
	if j < 0 {
		if m.Fraction == 0 || len(p.debts) >= 2*b.set.MaxPeers {
			return
		}
		p.debts = append(p.debts, debt{peer: m.Peer, life: m.SenderIncarnation})
		j = len(p.debts) - 1
	}
	p.debts[j].seq, p.debts[j].part, p.debts[j].untilMs = m.Seq, m.Fraction, until
}

// giveBack ends what a lender calls back, at once: it is the lender's own. A borrower that does not hear of it, or
// is not one of this package, has it until its lease is over.
func (b *Allocator) giveBack(p *pot, m Message, out []Message) []Message {
	for i := range p.debts {
		if d := &p.debts[i]; d.peer == m.Peer && d.life == m.SenderIncarnation && d.part > m.Fraction {
			out = append(out, b.lower(p, d, m.Fraction))
		}
	}
	return out
}

// lower makes a debt less, and says so behind that.
func (b *Allocator) lower(p *pot, d *debt, part float64) Message {
	p.seq++
	d.part, d.seq = part, p.seq
	p.asks = slices.DeleteFunc(p.asks, func(a ask) bool { return a.peer == d.peer })
	return Message{Kind: LeaseReturn, Pool: p.id, Peer: d.peer, SenderIncarnation: b.set.Incarnation, RecipientIncarnation: d.life, Seq: p.seq, Fraction: part}
}

// takeBack ends what the borrower says that it no longer holds.
func (b *Allocator) takeBack(m Message) {
	p := b.pots[m.Pool]
	if p == nil || m.RecipientIncarnation != b.set.Incarnation {
		return
	}
	for i := range p.loans {
		if l := &p.loans[i]; l.peer == m.Peer && l.life == m.SenderIncarnation && int32(m.Seq-l.seq) > 0 {
			l.seq, l.part = m.Seq, min(l.part, m.Fraction)
		}
	}
}

// expire ends what is over by time.
func (b *Allocator) expire(p *pot, nowMs float64) {
	p.loans = slices.DeleteFunc(p.loans, func(l loan) bool { return nowMs >= l.untilMs })
	p.debts = slices.DeleteFunc(p.debts, func(d debt) bool { return nowMs >= d.untilMs })
	p.asks = slices.DeleteFunc(p.asks, func(a ask) bool { return nowMs >= a.atMs+b.set.LeaseMs })
}

// balance asks for what is short, renews what is used, and gives back what is not.
func (b *Allocator) balance(p *pot, nowMs float64) (out []Message) {
	if nowMs < p.askedMs+b.set.RequestIntervalMs || len(b.peers) == 0 {
		return nil
	}
	held := b.held(p, nowMs)
	short := p.short(nowMs, held)
	spare := held - max(p.uses(nowMs), held-p.borrowed())
	for i := range p.debts { // what is not used goes back, the latest lender's first
		d := &p.debts[len(p.debts)-1-i]
		if less := min(d.part, spare); less > grain*p.own {
			out, spare = append(out, b.lower(p, d, d.part-less)), spare-less
			p.askedMs = nowMs
		}
	}
	p.debts = slices.DeleteFunc(p.debts, func(d debt) bool { return d.part <= 0 })
	if len(out) > 0 {
		return out
	}
	lacks := p.uses(nowMs) - max(0, p.own-p.lent())
	for _, l := range p.loans {
		if less := min(l.part, lacks); less > grain*p.own {
			out = append(out, Message{Kind: LeaseRecall, Pool: p.id, Peer: l.peer, SenderIncarnation: b.set.Incarnation, RecipientIncarnation: l.life, Fraction: l.part - less})
			lacks -= less
			p.askedMs = nowMs
		}
	}
	for _, peer := range b.whom(p) {
		have, ends := 0.0, math.Inf(1)
		for _, d := range p.debts {
			if d.peer == peer {
				have, ends = have+d.part, min(ends, d.untilMs)
			}
		}
		if short == 0 && !(have > 0 && ends-nowMs < b.set.LeaseMs/2) {
			continue
		}
		p.seq++
		p.asks = slices.DeleteFunc(p.asks, func(a ask) bool { return a.peer == peer })
		p.asks = append(p.asks, ask{peer, p.seq, nowMs})
		out = append(out, Message{Kind: LeaseRequest, Pool: p.id, Peer: peer, SenderIncarnation: b.set.Incarnation, Seq: p.seq, Fraction: min(1, have+short)})
		p.askedMs = nowMs
	}
	return out
}

// LenderSearchBoundMs bounds the time until a gateway that could lend has been asked, among so many and with no loss.
func (set Settings) LenderSearchBoundMs(gateways int) float64 {
	return math.Ceil(float64(gateways-1)/strangers) * set.RequestIntervalMs
}

// whom lists those to ask for parts of a pot: the gateways that its traffic comes through as far as they are known, and
// a few of the others in turn until all are.
func (b *Allocator) whom(p *pot) []uint16 {
	var peers []uint16
	for _, peer := range p.known {
		if slices.Contains(b.peers, peer) { // others are dead, or gone
			peers = append(peers, peer)
		}
	}
	for range min(strangers, len(b.peers)) {
		if len(p.known) >= p.hosts-1 {
			break
		}
		if peer := b.peers[p.turn%len(b.peers)]; !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
		p.turn++
	}
	return peers
}

// forget drops pots that nobody has asked for and that owe nothing, so that their number stays that of those in use.
func (b *Allocator) forget(nowMs float64) {
	b.order = slices.DeleteFunc(b.order, func(id uint64) bool {
		p := b.pots[id]
		idle := nowMs-p.needAtMs > b.set.IdleTimeoutMs && len(p.loans) == 0 && len(p.debts) == 0
		if idle {
			delete(b.pots, id)
		}
		return idle
	})
}
