package membership

import (
	"cmp"
	"math"
	"slices"
)

// broadcast is a pending gossip transmission of a member's state.
type broadcast struct {
	member        uint16
	transmissions int // number of messages that have carried the state
}

// enqueueBroadcast schedules the current state of a member for gossip. It replaces an earlier broadcast about that member.
func (l *Memberlist) enqueueBroadcast(index uint16) {
	l.broadcasts = slices.DeleteFunc(l.broadcasts, func(b broadcast) bool { return b.member == index })
	l.broadcasts = append(l.broadcasts, broadcast{member: index})
}

// send adds updates to a message and queues it. The updates are, in this order: the state of this member; the state of the
// receiver unless that is Alive, so that the receiver can refute it; and the broadcasts with the fewest transmissions.
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

// dropFinishedBroadcasts removes broadcasts that were sent often enough. It also removes the broadcast about this member
// itself, because every message carries the state of its sender anyway.
func (l *Memberlist) dropFinishedBroadcasts() {
	limit := int(math.Ceil(l.settings.RetransmitFactor * math.Log10(float64(len(l.members)+1))))
	l.broadcasts = slices.DeleteFunc(l.broadcasts, func(b broadcast) bool {
		return b.transmissions >= limit || b.member == l.settings.Self
	})
}

// updateFor returns an update with the current state of a member. If the member is a suspect, the update also
// names one of the members that suspect it, chosen at random.
func (l *Memberlist) updateFor(index uint16) Update {
	m := &l.members[index]
	u := Update{Member: index, State: m.state, Incarnation: m.incarnation, ProcessIncarnation: m.processIncarnation}
	if m.state == Suspect && len(m.suspectedBy) > 0 {
		u.SuspectedBy = m.suspectedBy[l.random.IntN(len(m.suspectedBy))]
	}
	return u
}
