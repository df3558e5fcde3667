package membership

import (
	"cmp"
	"math"
	"slices"
)

// broadcast is the state of a member that is still to be gossiped.
type broadcast struct {
	member        uint16
	transmissions int
}

// enqueueBroadcast schedules the current state of a member for gossip. It replaces an earlier broadcast of that member.
func (l *Memberlist) enqueueBroadcast(number uint16) {
	l.broadcasts = slices.DeleteFunc(l.broadcasts, func(b broadcast) bool { return b.member == number })
	l.broadcasts = append(l.broadcasts, broadcast{member: number})
}

// send adds updates to a message and queues it. The updates are the state of this member, that of the receiver unless it
// is alive, so that it can refute it, and the broadcasts with the fewest transmissions.
func (l *Memberlist) send(m Message) {
	m.Updates = append(m.Updates, l.updateFor(l.settings.Self))
	if l.members[m.Peer].state != Alive {
		m.Updates = append(m.Updates, l.updateFor(m.Peer))
	}
	slices.SortStableFunc(l.broadcasts, func(x, y broadcast) int { return cmp.Compare(x.transmissions, y.transmissions) })
	for i := range l.broadcasts {
		if len(m.Updates) >= l.settings.MaxUpdatesPerMessage {
			break
		}
		if b := &l.broadcasts[i]; b.member != m.Peer && b.member != l.settings.Self {
			m.Updates = append(m.Updates, l.updateFor(b.member))
			b.transmissions++
		}
	}
	l.dropFinishedBroadcasts()
	l.outgoing = append(l.outgoing, m)
}

// dropFinishedBroadcasts removes broadcasts that were sent often enough, and that of this member, whose state is part of
// every message.
func (l *Memberlist) dropFinishedBroadcasts() {
	limit := int(math.Ceil(l.settings.RetransmitFactor * math.Log10(float64(len(l.members)+1))))
	l.broadcasts = slices.DeleteFunc(l.broadcasts, func(b broadcast) bool {
		return b.transmissions >= limit || b.member == l.settings.Self
	})
}

// updateFor returns an update with the current state of a member. For a suspect it names a random member that suspects it.
func (l *Memberlist) updateFor(number uint16) Update {
	m := &l.members[number]
	u := Update{Member: number, State: m.state, Incarnation: m.incarnation, ProcessIncarnation: m.processIncarnation}
	if m.state == Suspect && len(m.suspectedBy) > 0 {
		u.SuspectedBy = m.suspectedBy[l.random.IntN(len(m.suspectedBy))]
	}
	return u
}
