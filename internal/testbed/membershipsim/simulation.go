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
	// MinDelayMs is the shortest delay of a message. A uniformly distributed delay of up to JitterMs is added.
	MinDelayMs, JitterMs float64
	Seed                 uint64
}

// Simulation is a simulated fleet. Its members are numbered from 0.
type Simulation struct {
	// NowMs is the simulated time.
	NowMs float64
	// Datagrams and Bytes count what all members have sent.
	Datagrams, Bytes int
	// FalseDeaths counts how often a member declared a running member dead although its link to it worked.
	FalseDeaths int

	options         Options
	random          *rand.Rand
	members         []*member
	queue           eventQueue
	isPartitioned   func(from, to int) bool
	lastIncarnation uint32
	codec           *datagram.Codec
}

// member is a simulated process.
type member struct {
	list     *membership.Memberlist
	crashed  bool
	paused   bool
	timerMs  float64              // the earliest time for which a timer event is queued; infinite for none
	received []membership.Message // while paused
	// deadSinceMs holds, for each other member, when this one declared it dead, or NaN unless it is declared dead.
	deadSinceMs []float64
}

// isRunning reports whether the member takes part in the protocol.
func (m *member) isRunning() bool { return !m.crashed && !m.paused }

// New starts a Simulation of a fleet whose members assume each other to be alive.
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

// Settings returns the settings that a member would be started with now.
func (s *Simulation) Settings(number int) membership.Settings {
	seed := s.options.Seed<<20 + uint64(s.lastIncarnation)
	return membership.DefaultSettings(uint16(number), s.options.MemberCount, s.lastIncarnation, seed)
}

// StartMember replaces a member by a new process without state.
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

// Kill stops a member for good.
func (s *Simulation) Kill(number int) { s.members[number].crashed = true }

// Pause suspends a member. Messages to it are kept.
func (s *Simulation) Pause(number int) { s.members[number].paused = true }

// Resume continues a paused member, which receives at once the messages that arrived during the pause.
func (s *Simulation) Resume(number int) {
	m := s.members[number]
	m.paused = false
	received := m.received
	m.received = nil
	s.step(number, received)
}

// Partition makes the links lose all messages for which isPartitioned returns true. A nil function repairs all links.
func (s *Simulation) Partition(isPartitioned func(from, to int) bool) {
	if isPartitioned == nil {
		isPartitioned = func(int, int) bool { return false }
	}
	s.isPartitioned = isPartitioned
}

// Run advances the simulated time.
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
			return // superseded by a later timer
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

// step runs the protocol of one member.
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

// recordChange records a state change that a member reports about another one.
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

// send counts a message and, unless it is lost, queues its arrival.
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

func (s *Simulation) countDatagrams(from int, message membership.Message) {
	packet := datagram.Packet{From: uint16(from), Membership: []membership.Message{message}}
	var lastNumber uint64
	for _, b := range s.codec.Encode(packet, &lastNumber) {
		s.Datagrams++
		s.Bytes += len(b)
	}
}

// CountState returns how many other running members regard a member as being in a state.
func (s *Simulation) CountState(number int, state membership.State) (count int) {
	for other, m := range s.members {
		if other != number && m.isRunning() && m.list.State(uint16(number)) == state {
			count++
		}
	}
	return count
}
