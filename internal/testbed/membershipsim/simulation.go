package membershipsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/peer/datagram"
)

// Options configure a Simulation.
type Options struct {
	MemberCount int
	// LossRate is the probability that a message is lost.
	LossRate float64
	// MinDelayMs is the shortest delay of a message. A uniformly distributed random delay of up to JitterMs is added.
	MinDelayMs, JitterMs float64
	Seed                 uint64
}

// Simulation is a simulated fleet. Its members are numbered from 0.
type Simulation struct {
	// NowMs is the simulated time.
	NowMs float64
	// Datagrams and Bytes are the numbers of datagrams and bytes that all members have sent.
	Datagrams, Bytes int
	// FalseDeaths is the number of times that a member declared another one dead although the other one was running and the link
	// to it was not partitioned.
	FalseDeaths int

	options         Options
	random          *rand.Rand
	members         []*member
	queue           eventQueue
	isPartitioned   func(from, to int) bool // whether the link from one member to the other loses all messages
	lastIncarnation uint32                  // process incarnation of the member started last
	codec           *datagram.Codec
}

// member is a simulated process.
type member struct {
	list     *membership.Memberlist
	crashed  bool
	paused   bool
	timerMs  float64              // time of the earliest queued timer event; infinite if there is none
	received []membership.Message // messages that arrived while the member was paused
	// deadSinceMs holds for each other member the time at which this member declared it dead, or NaN if this member does not
	// regard it as dead.
	deadSinceMs []float64
}

// isRunning reports whether the member is neither crashed nor paused.
func (m *member) isRunning() bool { return !m.crashed && !m.paused }

// New starts a simulation of a fleet. At the start, each member regards all others as alive.
func New(options Options) *Simulation {
	s := &Simulation{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 51)),
		codec:   datagram.NewCodec(nil),
	}
	s.Partition(nil)
	for number := range options.MemberCount {
		s.members = append(s.members, &member{})
		s.StartMember(number)
	}
	return s
}

// Settings returns the settings of the member with the given number. Their process incarnation is the one that StartMember
// assigned last, to whichever member.
func (s *Simulation) Settings(number int) membership.Settings {
	seed := s.options.Seed<<20 + uint64(s.lastIncarnation)
	return membership.DefaultSettings(uint16(number), s.options.MemberCount, s.lastIncarnation, seed)
}

// StartMember replaces a member by a new process, which has no state and a new process incarnation.
func (s *Simulation) StartMember(number int) {
	s.lastIncarnation++
	list, err := membership.New(s.Settings(number))
	if err != nil {
		panic(fmt.Sprintf("membershipsim: default settings rejected: %v", err))
	}
	m := &member{list: list, timerMs: math.Inf(1), deadSinceMs: make([]float64, s.options.MemberCount)}
	for other := range m.deadSinceMs {
		m.deadSinceMs[other] = math.NaN()
	}
	s.members[number] = m
	s.step(number, nil)
}

// Kill crashes a member. It stays down until StartMember replaces it.
func (s *Simulation) Kill(number int) { s.members[number].crashed = true }

// Pause suspends a member. Messages that arrive during the pause are kept.
func (s *Simulation) Pause(number int) { s.members[number].paused = true }

// Resume resumes a paused member, which immediately receives the messages that arrived during the pause.
func (s *Simulation) Resume(number int) {
	m := s.members[number]
	m.paused = false
	received := m.received
	m.received = nil
	s.step(number, received)
}

// Partition makes every link for which isPartitioned returns true lose all messages. A nil function repairs all links.
func (s *Simulation) Partition(isPartitioned func(from, to int) bool) {
	if isPartitioned == nil {
		isPartitioned = func(int, int) bool { return false }
	}
	s.isPartitioned = isPartitioned
}

// Run advances the simulated time by ms milliseconds and processes the events of that time.
func (s *Simulation) Run(ms float64) {
	endMs := s.NowMs + ms
	for {
		e, ok := s.queue.popUntil(endMs)
		if !ok {
			break
		}
		s.NowMs = e.atMs
		s.process(e)
	}
	s.NowMs = endMs
}

// process handles one event.
func (s *Simulation) process(e event) {
	m := s.members[e.member]
	switch {
	case m.crashed:
	case e.isTimer:
		if e.atMs < m.timerMs {
			return // The member's timer has since been set to a later time.
		}
		m.timerMs = math.Inf(1)
		if !m.paused {
			s.step(e.member, nil)
		}
	case m.paused:
		m.received = append(m.received, e.message)
	default:
		s.step(e.member, []membership.Message{e.message})
	}
}

// step runs one step of a member's protocol, sends its messages and schedules its next step.
func (s *Simulation) step(number int, received []membership.Message) {
	m := s.members[number]
	outgoing, changes := m.list.Step(s.NowMs, received)
	for _, change := range changes {
		s.recordChange(number, change)
	}
	for _, message := range outgoing {
		s.send(number, message)
	}
	if next := max(m.list.NextStepMs(), s.NowMs+1); next < m.timerMs {
		m.timerMs = next
		s.queue.push(event{atMs: next, member: number, isTimer: true})
	}
}

// recordChange records that the member with the given number has changed its view of the state of another member.
func (s *Simulation) recordChange(number int, change membership.StateChange) {
	if change.IdentityConflict {
		return
	}
	m, subject := s.members[number], int(change.Member)
	if change.State != membership.Dead {
		m.deadSinceMs[subject] = math.NaN()
		return
	}
	m.deadSinceMs[subject] = s.NowMs
	if s.members[subject].isRunning() && !s.isPartitioned(number, subject) {
		s.FalseDeaths++
	}
}

// send counts a message as sent and queues its arrival, unless the message is lost.
func (s *Simulation) send(from int, message membership.Message) {
	to := int(message.Peer)
	s.countDatagrams(from, message)
	if s.random.Float64() < s.options.LossRate || s.isPartitioned(from, to) {
		return
	}
	message.Peer = uint16(from)
	arrivalMs := s.NowMs + s.options.MinDelayMs + s.options.JitterMs*s.random.Float64()
	s.queue.push(event{atMs: arrivalMs, member: to, message: message})
}

// countDatagrams adds the datagrams that carry a message to the totals.
func (s *Simulation) countDatagrams(from int, message membership.Message) {
	packet := datagram.Packet{From: uint16(from), Membership: []membership.Message{message}}
	var lastNumber uint64
	for _, b := range s.codec.Encode(packet, &lastNumber) {
		s.Datagrams++
		s.Bytes += len(b)
	}
}

// CountState returns the number of other running members that regard a member as being in the given state.
func (s *Simulation) CountState(number int, state membership.State) (count int) {
	for other, m := range s.members {
		if other != number && m.isRunning() && m.list.State(uint16(number)) == state {
			count++
		}
	}
	return count
}
