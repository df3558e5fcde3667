package membership

import (
	"fmt"
	"slices"
)

// maxRelays bounds the unanswered pings that this member has sent on behalf of others.
const maxRelays = 64

// probePhase is the progress of a probe.
type probePhase uint8

const (
	probeFinished probePhase = iota // no probe is pending: the last one has ended, or none has started
	probeDirect                     // the target has been pinged
	probeIndirect                   // other members have been asked to ping the target
)

// String returns the lower-case name of the phase.
func (p probePhase) String() string {
	switch p {
	case probeFinished:
		return "finished"
	case probeDirect:
		return "direct"
	case probeIndirect:
		return "indirect"
	default:
		return fmt.Sprintf("phase(%d)", uint8(p))
	}
}

// probe is the latest probe that this member has started.
type probe struct {
	phase         probePhase
	target        uint16
	seq           uint32
	startMs       float64
	expectedNacks int // number of members that were asked to ping the target and have not sent a Nack
}

// pending reports whether the probe still waits for an acknowledgement.
func (p *probe) pending() bool { return p.phase != probeFinished }

// relay is a ping that this member sends on behalf of another member.
type relay struct {
	requester    uint16
	target       uint16
	requesterSeq uint32 // sequence number of the PingRequest
	seq          uint32 // sequence number of the relayed Ping
	deadlineMs   float64
}

// indirectProbeAtMs returns the time at which other members are asked to ping the target of the pending probe.
func (l *Memberlist) indirectProbeAtMs() float64 {
	return l.probe.startMs + l.scaled(l.settings.ProbeTimeoutMs)
}

// probeIndirectly asks other members to ping the target of the pending probe once the probe's timeout has expired.
func (l *Memberlist) probeIndirectly(nowMs float64) {
	p := &l.probe
	if p.phase != probeDirect || nowMs < l.indirectProbeAtMs() {
		return
	}
	p.phase = probeIndirect
	for _, peer := range l.selectRelays(p.target) {
		p.expectedNacks++
		l.send(Message{Kind: PingRequest, Peer: peer, Seq: p.seq, Target: p.target})
	}
}

// selectRelays returns up to IndirectProbes random members that are alive and not the target.
func (l *Memberlist) selectRelays(target uint16) []uint16 {
	relays := slices.DeleteFunc(l.AliveMembers(), func(index uint16) bool {
		return index == target || l.members[index].state != Alive
	})
	l.shuffle(relays)
	return relays[:min(l.settings.IndirectProbes, len(relays))]
}

// finishProbe ends the probe at the end of its period. If the probe is still pending, its target becomes suspect.
func (l *Memberlist) finishProbe(nowMs float64) {
	p := &l.probe
	if !p.pending() {
		return
	}
	p.phase = probeFinished
	l.applyUpdate(nowMs, Update{
		Member:      p.target,
		State:       Suspect,
		Incarnation: l.members[p.target].incarnation,
		SuspectedBy: l.settings.Self,
	})
	// A member that was asked to ping the target sends a Nack if the target does not acknowledge. A missing Nack suggests that
	// the links of this member fail.
	l.raiseHealthScore(p.expectedNacks)
}

// startProbe pings the next member to probe, if there is one.
func (l *Memberlist) startProbe(nowMs float64) {
	target, ok := l.nextProbeTarget()
	if !ok {
		return
	}
	l.probe = probe{phase: probeDirect, target: target, seq: l.nextSeq(), startMs: nowMs}
	l.send(Message{Kind: Ping, Peer: target, Seq: l.probe.seq, Target: target})
}

// nextProbeTarget returns the next member of the current round. For every DeadProbeEvery-th probe it returns a random member
// that is dead or has left, if there is one. It returns false if there is no member to probe.
func (l *Memberlist) nextProbeTarget() (uint16, bool) {
	l.probeCount++
	if l.probeCount%l.settings.DeadProbeEvery == 0 {
		if dead := l.deadMembers(); len(dead) > 0 {
			return dead[l.random.IntN(len(dead))], true
		}
	}
	if target, ok := l.popProbeOrder(); ok {
		return target, true
	}
	l.probeOrder = l.AliveMembers()
	l.shuffle(l.probeOrder)
	if target, ok := l.popProbeOrder(); ok {
		return target, true
	}
	return 0, false
}

// popProbeOrder removes members from the current round until it finds one that is alive or suspect, and returns that one.
// It returns false if there is none.
func (l *Memberlist) popProbeOrder() (uint16, bool) {
	for len(l.probeOrder) > 0 {
		last := len(l.probeOrder) - 1
		index := l.probeOrder[last]
		l.probeOrder = l.probeOrder[:last]
		if l.members[index].state <= Suspect {
			return index, true
		}
	}
	return 0, false
}

// deadMembers returns the other members that are dead or have left.
func (l *Memberlist) deadMembers() (dead []uint16) {
	for i, m := range l.members {
		if m.state >= Dead && uint16(i) != l.settings.Self {
			dead = append(dead, uint16(i))
		}
	}
	return dead
}

func (l *Memberlist) shuffle(indexes []uint16) {
	l.random.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
}

// startRelay pings the target of a PingRequest. It drops the request if there are already maxRelays relays.
func (l *Memberlist) startRelay(nowMs float64, request Message) {
	if request.Target == l.settings.Self || len(l.relays) >= maxRelays {
		return
	}
	r := relay{
		requester:    request.Peer,
		target:       request.Target,
		requesterSeq: request.Seq,
		seq:          l.nextSeq(),
		deadlineMs:   nowMs + l.scaled(l.settings.ProbeTimeoutMs),
	}
	l.relays = append(l.relays, r)
	l.send(Message{Kind: Ping, Peer: r.target, Seq: r.seq, Target: r.target})
}

// expireRelays sends a Nack for each relayed ping that was not acknowledged in time.
func (l *Memberlist) expireRelays(nowMs float64) {
	l.finishRelays(Nack, func(r relay) bool { return nowMs >= r.deadlineMs })
}

// finishRelays removes the selected relays and sends an answer to each of their requesters.
func (l *Memberlist) finishRelays(answer MessageKind, selected func(relay) bool) {
	l.relays = slices.DeleteFunc(l.relays, func(r relay) bool {
		if !selected(r) {
			return false
		}
		l.send(Message{Kind: answer, Peer: r.requester, Seq: r.requesterSeq, Target: r.target})
		return true
	})
}
