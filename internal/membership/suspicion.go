package membership

import "math"

// maxDirectPings is the number of times that a suspect is pinged directly: after 1/2, 3/4, 7/8 and 15/16 of its suspicion
// timeout. With message loss, there is always some member that the gossiped refutation of a suspect does not reach. A direct
// ping from that member tells the suspect of the suspicion, and the answer to the ping refutes it.
const maxDirectPings = 4

// suspicionTimeoutMs returns the time after which a suspect is declared dead unless it refutes the suspicion. The more
// members suspect it, the shorter the time.
func (l *Memberlist) suspicionTimeoutMs(suspect *member) float64 {
	shortest, longest := l.settings.SuspicionBoundsMs()
	if l.settings.ExpectedConfirmations == 0 {
		return shortest
	}
	confirmed := math.Log(float64(max(1, len(suspect.suspectedBy)))) / math.Log(float64(l.settings.ExpectedConfirmations+1))
	return max(shortest, longest-(longest-shortest)*confirmed)
}

// suspectActionAtMs returns the time at which a suspect is pinged directly again or, after the last ping, declared dead.
func (l *Memberlist) suspectActionAtMs(suspect *member) float64 {
	timeoutMs := l.suspicionTimeoutMs(suspect)
	if suspect.directPings < maxDirectPings {
		timeoutMs *= 1 - math.Exp2(-float64(suspect.directPings+1))
	}
	return suspect.suspectedAtMs + timeoutMs
}

// checkSuspects pings suspects directly and declares those dead whose suspicion timeout has expired.
func (l *Memberlist) checkSuspects(nowMs float64) {
	for i := range l.members {
		index, m := uint16(i), &l.members[i]
		for m.state == Suspect && nowMs >= l.suspectActionAtMs(m) && !l.leaving {
			if m.directPings >= maxDirectPings {
				l.setState(nowMs, Update{Member: index, State: Dead, Incarnation: m.incarnation})
				break
			}
			m.directPings++
			l.send(Message{Kind: Ping, Peer: index, Seq: l.nextSeq(), Target: index})
		}
	}
}
