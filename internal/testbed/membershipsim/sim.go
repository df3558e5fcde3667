// Package membersim plays fleets of any size in one process, on a clock of its own: members of internal/decide/members
// on a network that delays and loses, with deaths, pauses, halves and returns. It measures what the bounds promise.
package membershipsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/peer/datagram"
)

// Options are a play.
type Options struct {
	Members         int
	Loss            float64
	DelayMs, MoreMs float64 // of a message: at the least, and drawn beside
	Seed            uint64
}

// Sim is a fleet.
type Sim struct {
	NowMs float64
	Bytes int
	Sent  int
	False int // times that a member was held for dead that was not

	opt    Options
	rnd    *rand.Rand
	all    []*node
	events queue
	cut    func(from, to int) bool
	lives  uint32
	codec  *datagram.Codec
}

type node struct {
	book      *membership.Memberlist
	dead      bool
	paused    bool
	wake      float64 // the latest that was asked for
	inbox     []membership.Message
	deadSince []float64 // of each other: when this one came to hold it for dead; NaN: it does not
}

type event struct {
	at   float64
	no   int
	to   int
	wake bool
	m    membership.Message
}

type queue struct {
	all []event
	no  int
}

func (q *queue) Len() int { return len(q.all) }
func (q *queue) Less(i, j int) bool {
	return q.all[i].at < q.all[j].at || q.all[i].at == q.all[j].at && q.all[i].no < q.all[j].no
}
func (q *queue) Swap(i, j int) { q.all[i], q.all[j] = q.all[j], q.all[i] }
func (q *queue) Push(x any)    { q.all = append(q.all, x.(event)) }
func (q *queue) Pop() any {
	x := q.all[len(q.all)-1]
	q.all = q.all[:len(q.all)-1]
	return x
}

// New starts a fleet.
func New(o Options) *Sim {
	s := &Sim{opt: o, rnd: rand.New(rand.NewPCG(o.Seed, 51)), cut: func(int, int) bool { return false }, codec: datagram.NewCodec(nil)}
	for i := range o.Members {
		s.all = append(s.all, &node{})
		s.Start(i)
	}
	return s
}

// Settings are those of a member.
func (s *Sim) Settings(i int) membership.Settings {
	return membership.DefaultSettings(uint16(i), s.opt.Members, s.lives, s.opt.Seed<<20+uint64(s.lives))
}

// Start starts a member anew, with nothing that it knew.
func (s *Sim) Start(i int) {
	s.lives++
	book, err := membership.New(s.Settings(i))
	if err != nil {
		panic(err) // they are this package's own
	}
	n := &node{book: book, wake: math.Inf(1), deadSince: make([]float64, s.opt.Members)}
	for j := range n.deadSince {
		n.deadSince[j] = math.NaN()
	}
	s.all[i] = n
	s.step(i, nil)
}

// Kill ends a member.
func (s *Sim) Kill(i int) { s.all[i].dead = true }

// Pause stops a member, or lets it go on with all that has come.
func (s *Sim) Pause(i int, paused bool) {
	n := s.all[i]
	if n.paused = paused; !paused {
		in := n.inbox
		n.inbox = nil
		s.step(i, in)
	}
}

// Cut tells which links carry nothing; nil: all are well.
func (s *Sim) Cut(f func(from, to int) bool) {
	if f == nil {
		f = func(int, int) bool { return false }
	}
	s.cut = f
}

// Run goes on for a time.
func (s *Sim) Run(ms float64) {
	end := s.NowMs + ms
	for s.events.Len() > 0 && s.events.all[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.NowMs = e.at
		n := s.all[e.to]
		switch {
		case n.dead:
		case e.wake:
			if e.at < n.wake {
				continue // another was asked for since
			}
			n.wake = math.Inf(1)
			if !n.paused {
				s.step(e.to, nil)
			}
		case n.paused:
			n.inbox = append(n.inbox, e.m)
		default:
			s.step(e.to, []membership.Message{e.m})
		}
	}
	s.NowMs = end
}

func (s *Sim) push(e event) {
	s.events.no++
	e.no = s.events.no
	heap.Push(&s.events, e)
}

func (s *Sim) step(i int, in []membership.Message) {
	n := s.all[i]
	out, changes := n.book.Step(s.NowMs, in)
	for _, c := range changes {
		if c.IdentityConflict {
			continue
		}
		if c.State != membership.Dead {
			n.deadSince[c.Member] = math.NaN()
			continue
		}
		n.deadSince[c.Member] = s.NowMs
		if other := s.all[c.Member]; !other.dead && !other.paused && !s.cut(i, int(c.Member)) {
			s.False++
		}
	}
	for _, m := range out {
		to := int(m.Peer)
		var count uint64
		for _, b := range s.codec.Encode(datagram.Packet{From: uint16(i), Membership: []membership.Message{m}}, &count) {
			s.Sent++
			s.Bytes += len(b)
		}
		if s.rnd.Float64() < s.opt.Loss || s.cut(i, to) {
			continue
		}
		m.Peer = uint16(i)
		s.push(event{at: s.NowMs + s.opt.DelayMs + s.opt.MoreMs*s.rnd.Float64(), to: to, m: m})
	}
	if next := max(n.book.NextStepMs(), s.NowMs+1); next < n.wake {
		n.wake = next
		s.push(event{at: next, to: i, wake: true})
	}
}

// Held tells how many of the members that run hold a member for being in a state.
func (s *Sim) Held(i int, state membership.State) (n int) {
	for j, other := range s.all {
		if j != i && !other.dead && !other.paused && other.book.State(uint16(i)) == state {
			n++
		}
	}
	return n
}

// Running is how many members run, without one.
func (s *Sim) Running(but int) (n int) {
	for j, other := range s.all {
		if j != but && !other.dead && !other.paused {
			n++
		}
	}
	return n
}

// Report is what a play has measured.
type Report struct {
	DetectP50, DetectP99 float64 // from a death to a member's knowing of it, in ms
	BoundMs              float64
	Unknown              int     // pairs of a death and a member that did not know of it within the bound
	Open                 int     // the same where the play ended before the bound
	FalsePerHour         float64 // times that one that runs was held for dead, in a gateway's hour
	False                int
	DatagramsPerS        float64 // a gateway's
	BytesPerS            float64
}

// Measure lets a fleet run for a time, with some deaths in the middle of it.
func Measure(o Options, ms float64, deaths int) Report {
	s := New(o)
	s.Run(ms / 3)
	killed := map[int]float64{}
	for range min(deaths, o.Members/2) {
		i := s.rnd.IntN(o.Members)
		if s.all[i].dead {
			continue
		}
		s.Kill(i)
		killed[i] = s.NowMs
		s.Run(ms / 3 / float64(deaths))
	}
	bound := s.Settings(0).DetectionBoundMs()
	s.Run(max(ms/3, min(bound, 4*ms)))
	rep := Report{BoundMs: bound, False: s.False}
	var times []float64
	for i, at := range killed {
		for j, n := range s.all {
			if j == i || n.dead {
				continue
			}
			switch t := n.deadSince[i] - at; {
			case math.IsNaN(t) && s.NowMs-at < bound:
				rep.Open++
			case math.IsNaN(t) || t > bound:
				rep.Unknown++
			default:
				times = append(times, t)
			}
		}
	}
	slices.Sort(times)
	if n := len(times); n > 0 {
		rep.DetectP50, rep.DetectP99 = times[n/2], times[n*99/100]
	}
	hours := s.NowMs / 3_600_000 * float64(o.Members)
	rep.FalsePerHour = float64(s.False) / hours
	rep.DatagramsPerS, rep.BytesPerS = float64(s.Sent)/hours/3600, float64(s.Bytes)/hours/3600
	return rep
}

// String is a line of a table.
func (r Report) String() string {
	return fmt.Sprintf("detected p50 %5.0f p99 %5.0f ms (bound %7.0f, not within it %d, not at the end %d)  false %.3f a gateway's hour  %5.1f datagrams/s %6.0f bytes/s",
		r.DetectP50, r.DetectP99, r.BoundMs, r.Unknown, r.Open, r.FalsePerHour, r.DatagramsPerS, r.BytesPerS)
}
