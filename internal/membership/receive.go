package membership

import (
	"cmp"
	"slices"
)

// mandatoryUpdates is the number of updates that a sender adds regardless of MaxUpdatesPerMessage: its own state and the
// state of the receiver.
const mandatoryUpdates = 2

// receive processes one message. Messages from or about unknown members are dropped.
func (l *Memberlist) receive(nowMs float64, m Message) {
	if int(m.Peer) >= len(l.members) || m.Peer == l.settings.Self || int(m.Target) >= len(l.members) {
		return
	}
	for _, u := range m.Updates[:min(len(m.Updates), l.settings.MaxUpdatesPerMessage+mandatoryUpdates)] {
		l.applyUpdate(nowMs, u)
	}
	switch m.Kind {
	case Ping:
		if m.Target == l.settings.Self {
			l.send(Message{Kind: Ack, Peer: m.Peer, Seq: m.Seq, Target: l.settings.Self})
		}
	case PingRequest:
		l.startRelay(nowMs, m)
	case Ack:
		l.receiveAck(m)
	case Nack:
		l.receiveNack(m)
	}
}

func (l *Memberlist) receiveAck(m Message) {
	l.finishRelays(Ack, func(r relay) bool { return r.seq == m.Seq && r.target == m.Peer })
	if p := &l.probe; p.pending() && m.Seq == p.seq && m.Target == p.target {
		p.phase = probeFinished
		l.lowerHealthScore()
	}
}

func (l *Memberlist) receiveNack(m Message) {
	if p := &l.probe; p.pending() && m.Seq == p.seq && p.expectedNacks > 0 {
		p.expectedNacks--
	}
}

// applyUpdate merges an update into the view of this member. It drops an update that is about an unknown member or has an
// unknown state.
func (l *Memberlist) applyUpdate(nowMs float64, u Update) {
	if int(u.Member) >= len(l.members) || u.State > Left {
		return
	}
	if u.Member == l.settings.Self {
		l.refute(u)
		return
	}
	m := &l.members[u.Member]
	switch order := cmp.Or(cmp.Compare(u.Incarnation, m.incarnation), cmp.Compare(u.State, m.state)); {
	case order > 0:
		l.setState(nowMs, u)
	case order == 0 && u.State == Suspect:
		l.confirmSuspicion(m, u)
	}
}

// confirmSuspicion records that a further member suspects a suspect.
func (l *Memberlist) confirmSuspicion(suspect *member, u Update) {
	if len(suspect.suspectedBy) > l.settings.ExpectedConfirmations || slices.Contains(suspect.suspectedBy, u.SuspectedBy) {
		return
	}
	suspect.suspectedBy = append(suspect.suspectedBy, u.SuspectedBy)
	l.enqueueBroadcast(u.Member)
}

// refute raises the incarnation of this member if an update about it is wrong.
func (l *Memberlist) refute(u Update) {
	self := &l.members[l.settings.Self]
	outdated := u.Incarnation < self.incarnation || u.State == Alive && u.ProcessIncarnation == l.settings.ProcessIncarnation
	if outdated || u.State == self.state && u.Incarnation == self.incarnation && u.State != Alive {
		return
	}
	if u.State == Alive { // another process uses the index of this member, or an earlier process used it
		l.changes = append(l.changes, StateChange{
			Member:             l.settings.Self,
			State:              Alive,
			ProcessIncarnation: u.ProcessIncarnation,
			IdentityConflict:   true,
		})
	} else if !l.leaving {
		l.raiseHealthScore(1)
	}
	self.incarnation = u.Incarnation + 1
	l.enqueueBroadcast(l.settings.Self)
}

// setState replaces the state of another member and reports the change.
func (l *Memberlist) setState(nowMs float64, u Update) {
	m := &l.members[u.Member]
	previousState, previousProcess := m.state, m.processIncarnation
	m.state, m.incarnation = u.State, u.Incarnation
	m.suspectedBy, m.directPings = m.suspectedBy[:0], 0
	switch u.State {
	case Suspect:
		m.suspectedAtMs = nowMs
		m.suspectedBy = append(m.suspectedBy, u.SuspectedBy)
	case Alive:
		m.processIncarnation = u.ProcessIncarnation
	}
	l.enqueueBroadcast(u.Member)
	if previousState != m.state || previousProcess != m.processIncarnation {
		l.changes = append(l.changes, StateChange{Member: u.Member, State: m.state, ProcessIncarnation: m.processIncarnation})
	}
}
