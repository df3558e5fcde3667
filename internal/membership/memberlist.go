package membership

import "math/rand/v2"

// member is the state that a Memberlist has for one member.
type member struct {
	state              State
	incarnation        uint64
	processIncarnation uint32

	// The following fields are valid if state is Suspect.

	suspectedAtMs float64
	directPings   int      // pings sent to the suspect itself since it became suspect
	suspectedBy   []uint16 // members that suspect this member; at most ExpectedConfirmations+1
}

// Memberlist is the view that one member has of the fleet. It is not safe for concurrent use.
type Memberlist struct {
	settings Settings
	random   *rand.Rand
	members  []member // states of all members, by member index
	leaving  bool

	started     bool
	lastStepMs  float64
	nextProbeMs float64
	probeCount  int
	probeOrder  []uint16 // members still to be probed in this round; the last element is probed next
	probe       probe
	relays      []relay
	lastSeq     uint32
	healthScore int // 0 is healthy; see Settings.MaxHealthScore

	broadcasts []broadcast // pending broadcasts, at most one for each member
	outgoing   []Message   // messages to send in the current step
	changes    []StateChange
}

// New returns the Memberlist of a process that has just started, in which all other members are alive. It returns an error
// that wraps ErrInvalidSettings if the settings are out of range.
func New(settings Settings) (*Memberlist, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	l := &Memberlist{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 11)),
		members:  make([]member, settings.MemberCount),
	}
	l.members[settings.Self].processIncarnation = settings.ProcessIncarnation
	return l, nil
}

// State returns the state of the member with the given index, which must be less than Settings.MemberCount.
func (l *Memberlist) State(index uint16) State { return l.members[index].state }

// AliveMembers returns the indexes of the other members that are alive or suspect, in ascending order.
func (l *Memberlist) AliveMembers() (alive []uint16) {
	for i, m := range l.members {
		if uint16(i) != l.settings.Self && m.state <= Suspect {
			alive = append(alive, uint16(i))
		}
	}
	return alive
}

// NextStepMs returns the time by which Step must be called again. If that time has passed, Step must be called immediately.
func (l *Memberlist) NextStepMs() float64 {
	next := l.nextProbeMs
	if l.leaving {
		return next
	}
	if l.probe.phase == probeDirect {
		next = min(next, l.indirectProbeAtMs())
	}
	for _, r := range l.relays {
		next = min(next, r.deadlineMs)
	}
	for i := range l.members {
		if m := &l.members[i]; m.state == Suspect {
			next = min(next, l.suspectActionAtMs(m))
		}
	}
	return next
}

// Step processes the messages that were received until nowMs and all timers that have expired. It returns the messages
// to send and the resulting state changes. nowMs must not decrease from call to call.
func (l *Memberlist) Step(nowMs float64, received []Message) (outgoing []Message, changes []StateChange) {
	l.outgoing, l.changes = nil, nil
	switch {
	case !l.started:
		l.started = true
		l.nextProbeMs = nowMs + l.random.Float64()*l.settings.ProbePeriodMs
	case nowMs > l.NextStepMs()+l.settings.ProbePeriodMs:
		l.resumeAfterPause(nowMs, nowMs-l.lastStepMs)
	}
	l.lastStepMs = nowMs
	for _, m := range received {
		l.receive(nowMs, m)
	}
	l.runTimers(nowMs)
	return l.outgoing, l.changes
}

// resumeAfterPause handles a pause of this process. Step assumes a pause if it is called more than ProbePeriodMs later than
// NextStepMs required. The process received nothing during the pause, so a missing message does not show that another member
// has failed. Suspicion timeouts are therefore extended by the pause, and pending probes and relays are dropped.
func (l *Memberlist) resumeAfterPause(nowMs, pauseMs float64) {
	for i := range l.members {
		l.members[i].suspectedAtMs += pauseMs
	}
	l.probe.phase = probeFinished
	l.relays = nil
	l.nextProbeMs = nowMs
	l.raiseHealthScore(1)
}

// Leave announces with the next messages that this member shuts down. The member then stops probing other members and
// declaring them dead.
func (l *Memberlist) Leave() {
	l.leaving = true
	l.members[l.settings.Self].state = Left
	l.enqueueBroadcast(l.settings.Self)
}

// runTimers performs the actions that are due.
func (l *Memberlist) runTimers(nowMs float64) {
	l.expireRelays(nowMs)
	l.checkSuspects(nowMs)
	l.probeIndirectly(nowMs)
	if nowMs < l.nextProbeMs {
		return
	}
	if l.leaving {
		l.nextProbeMs = nowMs + l.settings.ProbePeriodMs
		return
	}
	l.finishProbe(nowMs)
	l.nextProbeMs = nowMs + l.scaled(l.settings.ProbePeriodMs)
	l.startProbe(nowMs)
}

// scaled returns a probe period or timeout, lengthened according to the health score.
func (l *Memberlist) scaled(ms float64) float64 { return ms * float64(1+l.healthScore) }

func (l *Memberlist) raiseHealthScore(by int) {
	l.healthScore = min(l.healthScore+by, l.settings.MaxHealthScore)
}

func (l *Memberlist) lowerHealthScore() { l.healthScore = max(0, l.healthScore-1) }

func (l *Memberlist) nextSeq() uint32 {
	l.lastSeq++
	return l.lastSeq
}
