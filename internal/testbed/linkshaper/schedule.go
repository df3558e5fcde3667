package linkshaper

import (
	"math/rand/v2"
	"time"
)

// minRetransmissionDelay is the shortest additional delay of a segment that was lost and retransmitted.
const minRetransmissionDelay = 200 * time.Millisecond

// direction is one of a link's two directions.
type direction int

const (
	toServer direction = iota
	toClient
	directions
)

// stall is a period in which no segment arrives.
type stall struct{ from, to time.Time }

// schedule decides when segments arrive. It is not safe for concurrent use.
type schedule struct {
	profile       Profile
	random        *rand.Rand
	idleAt        [directions]time.Time // when all segments scheduled so far in the direction have been transmitted
	lastArrivalAt [directions]time.Time // latest arrival scheduled for the direction; as on TCP, segments do not overtake each other
	stalls        []stall               // stalls drawn so far, in the order of time, after an empty stall at the start of the link
	lastLossAt    time.Time             // when the latest retransmitted segment arrives
}

func newSchedule(profile Profile, random *rand.Rand, now time.Time) schedule {
	return schedule{profile: profile, random: random, stalls: []stall{{now, now}}}
}

// exponential draws an exponentially distributed duration.
func (s *schedule) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// transmissionTime returns the time that it takes to put the given number of bytes on the link, without the delay.
func (p Profile) transmissionTime(bytes int) time.Duration {
	if p.BytesPerMs <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.BytesPerMs * float64(time.Millisecond))
}

// arrival schedules a segment of size bytes that is sent now, and returns its arrival time.
func (s *schedule) arrival(dir direction, size int) time.Time {
	s.idleAt[dir] = latest(time.Now(), s.idleAt[dir]).Add(s.profile.transmissionTime(size))
	at := s.idleAt[dir].Add(s.profile.Delay)
	if s.profile.Jitter > 0 {
		at = at.Add(time.Duration(s.random.Float64() * float64(s.profile.Jitter)))
	}
	if s.random.Float64() < s.profile.Loss { // The segment is lost, and its retransmission arrives later.
		at = at.Add(max(minRetransmissionDelay, 4*s.profile.Delay))
		s.lastLossAt = at
	}
	if s.profile.StallInterval > 0 {
		at = s.afterStalls(at)
	}
	at = latest(at, s.lastArrivalAt[dir])
	s.lastArrivalAt[dir] = at
	return at
}

// afterStalls returns the end of the stall that is in effect at the given time, or the given time if there is none. It first draws
// further stalls, until one ends after that time.
func (s *schedule) afterStalls(at time.Time) time.Time {
	p := s.profile
	for last := s.stalls[len(s.stalls)-1]; !last.to.After(at); last = s.stalls[len(s.stalls)-1] {
		from := last.to.Add(s.exponential(p.StallInterval))
		duration := p.StallMin + time.Duration(s.random.Float64()*float64(p.StallMax-p.StallMin))
		s.stalls = append(s.stalls, stall{from, from.Add(duration)})
	}
	for _, stall := range s.stalls {
		if !at.Before(stall.from) && at.Before(stall.to) {
			at = stall.to
		}
	}
	return at
}

// faultySince reports whether a retransmitted segment arrives after t, or a stall has been in effect at any time since t.
func (s *schedule) faultySince(t time.Time) bool {
	if s.lastLossAt.After(t) {
		return true
	}
	now := time.Now()
	for _, stall := range s.stalls[1:] {
		if stall.to.After(t) && stall.from.Before(now) {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
