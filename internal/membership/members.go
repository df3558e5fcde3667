package membership

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

type member struct {
	state       State
	incarnation uint64
	life        uint32
	sinceMs     float64  // of the suspicion
	asked       int      // how often it was asked for its word on it
	by          []uint16 // who suspects it, at most Confirm+1
}

// probe is the one that is on its way.
type probe struct {
	target  uint16
	seq     uint32
	startMs float64
	relayed bool
	open    bool
	nacks   int // still expected
}

// relay is a probe that another member has asked for.
type relay struct {
	peer, target uint16
	theirs, ours uint32
	untilMs      float64
}

type news struct {
	member uint16
	told   int
}

// Memberlist is what one gateway knows of the fleet. Its size is that of the fleet and of the probes that others ask for.
type Memberlist struct {
	set     Settings
	rnd     *rand.Rand
	all     []member
	begun   bool
	lastMs  float64
	nextMs  float64 // of the next probe
	round   []uint16
	probes  int
	probe   probe
	relays  []relay
	seq     uint32
	slow    int
	news    []news // what others are to be told, at most one of a member
	changes []StateChange
	out     []Message
	leaving bool
}

// mostRelays bounds the probes that others may have asked for at once.
const mostRelays = 64

// New returns the book of a gateway that has just started and holds all others for alive, or an error if the settings
// cannot be used.
func New(set Settings) (*Memberlist, error) {
	if set.MemberCount < 1 || set.MemberCount > 1<<16 || int(set.Self) >= set.MemberCount {
		return nil, fmt.Errorf("members: number %d of %d", set.Self, set.MemberCount)
	}
	if !(set.ProbePeriodMs > 0) || !(set.ProbeTimeoutMs > 0) || set.ProbeTimeoutMs > set.ProbePeriodMs/2 || !(set.MinSuspicionPeriods > 0) ||
		!(set.MaxSuspicionFactor >= 1) || set.ExpectedConfirmations < 0 || set.MaxHealthScore < 0 || set.MaxUpdatesPerMessage < 1 || !(set.RetransmitFactor > 0) ||
		set.DeadProbeEvery < 1 || set.IndirectProbes < 0 {
		return nil, fmt.Errorf("members: a period of %v ms with a time-out of %v, or bounds out of range", set.ProbePeriodMs, set.ProbeTimeoutMs)
	}
	b := &Memberlist{set: set, rnd: rand.New(rand.NewPCG(set.Seed, 11)), all: make([]member, set.MemberCount)}
	b.all[set.Self].life = set.ProcessIncarnation
	return b, nil
}

// State is what is held of a member.
func (b *Memberlist) State(m uint16) State { return b.all[m].state }

// AliveMembers lists the members that are not held for dead or gone, without this one.
func (b *Memberlist) AliveMembers() (alive []uint16) {
	for i, m := range b.all {
		if uint16(i) != b.set.Self && m.state <= Suspect {
			alive = append(alive, uint16(i))
		}
	}
	return alive
}

// SuspicionBoundsMs bounds how long a suspicion lasts, from one that enough members confirm to one that nobody does.
func (set Settings) SuspicionBoundsMs() (least, most float64) {
	least = set.MinSuspicionPeriods * max(1, math.Log10(float64(set.MemberCount))) * set.ProbePeriodMs
	return least, set.MaxSuspicionFactor * least
}

// DetectionBoundMs bounds the time from a member's death until a member whose links work holds it for dead: the round in which
// it has just been asked, the next one, both with one probe in DeadEvery for the dead, and the longest suspicion.
func (set Settings) DetectionBoundMs() float64 {
	_, most := set.SuspicionBoundsMs()
	rounds := 2 * float64(set.MemberCount-1) * float64(set.DeadProbeEvery+1) / float64(set.DeadProbeEvery)
	return (math.Ceil(rounds)+1)*set.ProbePeriodMs*float64(1+set.MaxHealthScore) + most
}

// NextStepMs is when Step is to be called at the latest.
func (b *Memberlist) NextStepMs() float64 {
	next := b.nextMs
	if b.leaving {
		return next
	}
	if b.probe.open && !b.probe.relayed {
		next = min(next, b.probe.startMs+b.wait(b.set.ProbeTimeoutMs))
	}
	for _, r := range b.relays {
		next = min(next, r.untilMs)
	}
	for i := range b.all {
		if m := &b.all[i]; m.state == Suspect {
			next = min(next, m.sinceMs+b.hearing(m))
		}
	}
	return next
}

// wait is a time, as long as this member's own slowness makes it.
func (b *Memberlist) wait(ms float64) float64 { return ms * float64(1+b.slow) }

// hearings is how often a suspect is asked for its word, at a half, three quarters and so on of its suspicion. The word
// that it is alive may not have come here by way of others: with losses some member always misses it.
const hearings = 4

// hearing is when a suspect is asked next, or its suspicion is over.
func (b *Memberlist) hearing(m *member) float64 {
	if m.asked >= hearings {
		return b.suspicion(m)
	}
	return b.suspicion(m) * (1 - math.Exp2(-float64(m.asked+1)))
}

func (b *Memberlist) suspicion(m *member) float64 {
	least, most := b.set.SuspicionBoundsMs()
	if b.set.ExpectedConfirmations == 0 {
		return least
	}
	part := math.Log(float64(max(1, len(m.by)))) / math.Log(float64(b.set.ExpectedConfirmations+1))
	return max(least, most-(most-least)*part)
}

// Step takes what came at one moment and returns what to send and whose state has changed. Time must not run backwards.
func (b *Memberlist) Step(nowMs float64, in []Message) (out []Message, changes []StateChange) {
	b.out, b.changes = nil, nil
	switch {
	case !b.begun:
		b.begun, b.nextMs = true, nowMs+b.rnd.Float64()*b.set.ProbePeriodMs
	case nowMs > b.NextStepMs()+b.set.ProbePeriodMs:
		b.overslept(nowMs, nowMs-b.lastMs)
	}
	b.lastMs = nowMs
	for _, m := range in {
		b.take(nowMs, m)
	}
	b.advance(nowMs)
	return b.out, b.changes
}

// overslept guards against a pause of this process, in which it heard of nobody: that is no evidence against others.
// Suspicions last longer by the pause, and the probe that was on its way is forgotten.
func (b *Memberlist) overslept(nowMs, ms float64) {
	for i := range b.all {
		b.all[i].sinceMs += ms
	}
	b.probe.open, b.relays = false, nil
	b.nextMs = nowMs
	b.slow = min(b.slow+1, b.set.MaxHealthScore)
}

// Leave makes this gateway tell that it goes; it holds nobody for dead any more.
func (b *Memberlist) Leave() {
	b.leaving = true
	b.all[b.set.Self].state = Left
	b.tell(b.set.Self)
}

func (b *Memberlist) take(nowMs float64, m Message) {
	if int(m.Peer) >= len(b.all) || m.Peer == b.set.Self || int(m.Target) >= len(b.all) {
		return
	}
	for _, r := range m.Updates[:min(len(m.Updates), b.set.MaxUpdatesPerMessage+2)] {
		b.hear(nowMs, r)
	}
	switch m.Kind {
	case Ping:
		if m.Target == b.set.Self {
			b.send(Message{Kind: Ack, Peer: m.Peer, Seq: m.Seq, Target: b.set.Self})
		}
	case PingRequest:
		if m.Target == b.set.Self || len(b.relays) >= mostRelays {
			return
		}
		b.seq++
		b.relays = append(b.relays, relay{m.Peer, m.Target, m.Seq, b.seq, nowMs + b.wait(b.set.ProbeTimeoutMs)})
		b.send(Message{Kind: Ping, Peer: m.Target, Seq: b.seq, Target: m.Target})
	case Ack:
		b.relays = slices.DeleteFunc(b.relays, func(r relay) bool {
			if r.ours == m.Seq && r.target == m.Peer {
				b.send(Message{Kind: Ack, Peer: r.peer, Seq: r.theirs, Target: r.target})
				return true
			}
			return false
		})
		if p := &b.probe; p.open && m.Seq == p.seq && m.Target == p.target {
			p.open = false
			b.slow = max(0, b.slow-1)
		}
	case Nack:
		if p := &b.probe; p.open && m.Seq == p.seq && p.nacks > 0 {
			p.nacks--
		}
	}
}

// hear takes in what is told of a member.
func (b *Memberlist) hear(nowMs float64, r Update) {
	if int(r.Member) >= len(b.all) || r.State > Left {
		return
	}
	m := &b.all[r.Member]
	if r.Member == b.set.Self {
		b.ofSelf(m, r)
		return
	}
	switch c := cmp.Or(cmp.Compare(r.Incarnation, m.incarnation), cmp.Compare(r.State, m.state)); {
	case c < 0:
		return
	case c == 0:
		if r.State == Suspect && len(m.by) <= b.set.ExpectedConfirmations && !slices.Contains(m.by, r.SuspectedBy) {
			m.by = append(m.by, r.SuspectedBy)
			b.tell(r.Member) // a further member suspects it
		}
		return
	}
	b.put(nowMs, r.Member, r)
}

// ofSelf contradicts what is wrongly said of this gateway.
func (b *Memberlist) ofSelf(m *member, r Update) {
	old := r.Incarnation < m.incarnation || r.State == Alive && r.ProcessIncarnation == b.set.ProcessIncarnation
	if old || r.State == m.state && r.Incarnation == m.incarnation && r.State != Alive {
		return
	}
	if r.State == Alive { // another process goes by this number, or an earlier one of it did
		b.changes = append(b.changes, StateChange{Member: b.set.Self, State: Alive, ProcessIncarnation: r.ProcessIncarnation, IdentityConflict: true})
	} else if !b.leaving {
		b.slow = min(b.slow+1, b.set.MaxHealthScore)
	}
	m.incarnation = r.Incarnation + 1
	b.tell(b.set.Self)
}

func (b *Memberlist) put(nowMs float64, id uint16, r Update) {
	m := &b.all[id]
	was, life := m.state, m.life
	m.state, m.incarnation = r.State, r.Incarnation
	m.by, m.asked = m.by[:0], 0
	switch r.State {
	case Suspect:
		m.sinceMs, m.by = nowMs, append(m.by, r.SuspectedBy)
	case Alive:
		m.life = r.ProcessIncarnation
	}
	b.tell(id)
	if was != m.state || life != m.life {
		b.changes = append(b.changes, StateChange{Member: id, State: m.state, ProcessIncarnation: m.life})
	}
}

// tell puts what is known of a member first among what others are told.
func (b *Memberlist) tell(id uint16) {
	b.news = slices.DeleteFunc(b.news, func(n news) bool { return n.member == id })
	b.news = append(b.news, news{member: id})
}

// advance does what is due.
func (b *Memberlist) advance(nowMs float64) {
	b.relays = slices.DeleteFunc(b.relays, func(r relay) bool {
		if nowMs >= r.untilMs {
			b.send(Message{Kind: Nack, Peer: r.peer, Seq: r.theirs, Target: r.target})
			return true
		}
		return false
	})
	for i := range b.all {
		m := &b.all[i]
		for m.state == Suspect && nowMs >= m.sinceMs+b.hearing(m) && !b.leaving {
			if m.asked >= hearings {
				b.put(nowMs, uint16(i), Update{State: Dead, Incarnation: m.incarnation})
				break
			}
			m.asked++
			b.seq++
			b.send(Message{Kind: Ping, Peer: uint16(i), Seq: b.seq, Target: uint16(i)})
		}
	}
	if p := &b.probe; p.open && !p.relayed && nowMs >= p.startMs+b.wait(b.set.ProbeTimeoutMs) {
		p.relayed = true
		for _, peer := range b.some(b.set.IndirectProbes, p.target) {
			p.nacks++
			b.send(Message{Kind: PingRequest, Peer: peer, Seq: p.seq, Target: p.target})
		}
	}
	if nowMs < b.nextMs {
		return
	}
	if b.leaving {
		b.nextMs = nowMs + b.set.ProbePeriodMs
		return
	}
	if p := &b.probe; p.open {
		p.open = false
		b.hear(nowMs, Update{Member: p.target, State: Suspect, Incarnation: b.all[p.target].incarnation, SuspectedBy: b.set.Self})
		// Relays that are well say so. What they do not say is evidence against this member's own links.
		b.slow = min(b.slow+p.nacks, b.set.MaxHealthScore)
	}
	b.nextMs = nowMs + b.wait(b.set.ProbePeriodMs)
	if target, ok := b.pick(); ok {
		b.seq++
		b.probe = probe{target: target, seq: b.seq, startMs: nowMs, open: true}
		b.send(Message{Kind: Ping, Peer: target, Seq: b.seq, Target: target})
	}
}

// pick is whom to probe: all others in turn, in an order drawn anew for each round, and now and then one held for dead.
func (b *Memberlist) pick() (uint16, bool) {
	b.probes++
	if b.probes%b.set.DeadProbeEvery == 0 {
		var dead []uint16
		for i, m := range b.all {
			if m.state >= Dead && uint16(i) != b.set.Self {
				dead = append(dead, uint16(i))
			}
		}
		if len(dead) > 0 {
			return dead[b.rnd.IntN(len(dead))], true
		}
	}
	for range 2 {
		for len(b.round) > 0 {
			last := len(b.round) - 1
			id := b.round[last]
			b.round = b.round[:last]
			if b.all[id].state <= Suspect {
				return id, true
			}
		}
		b.round = b.AliveMembers()
		b.rnd.Shuffle(len(b.round), func(i, j int) { b.round[i], b.round[j] = b.round[j], b.round[i] })
	}
	return 0, false
}

// some draws members that are alive, other than one.
func (b *Memberlist) some(n int, but uint16) []uint16 {
	alive := slices.DeleteFunc(b.AliveMembers(), func(id uint16) bool { return id == but || b.all[id].state != Alive })
	b.rnd.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// send adds what others are to be told: this gateway's own state, what is said of the receiver if it is not well spoken
// of, so that it can contradict, then what has been told the least.
func (b *Memberlist) send(m Message) {
	m.Updates = append(m.Updates, b.rumour(b.set.Self))
	if b.all[m.Peer].state != Alive {
		m.Updates = append(m.Updates, b.rumour(m.Peer))
	}
	most := int(math.Ceil(b.set.RetransmitFactor * math.Log10(float64(len(b.all)+1))))
	slices.SortStableFunc(b.news, func(x, y news) int { return cmp.Compare(x.told, y.told) })
	for i := range b.news {
		if len(m.Updates) >= b.set.MaxUpdatesPerMessage {
			break
		}
		if n := &b.news[i]; n.member != m.Peer && n.member != b.set.Self {
			m.Updates = append(m.Updates, b.rumour(n.member))
			n.told++
		}
	}
	b.news = slices.DeleteFunc(b.news, func(n news) bool { return n.told >= most || n.member == b.set.Self })
	b.out = append(b.out, m)
}

func (b *Memberlist) rumour(id uint16) Update {
	m := &b.all[id]
	r := Update{Member: id, State: m.state, Incarnation: m.incarnation, ProcessIncarnation: m.life}
	if m.state == Suspect && len(m.by) > 0 {
		r.SuspectedBy = m.by[b.rnd.IntN(len(m.by))]
	}
	return r
}
