// Package shaper makes a good connection a poor one: rate, delay, jitter, losses as the waits that they cause on TCP,
// stalls of seconds, resets in mid-byte, and links that go dark with neither side told. The same seed shapes the
// same way, as far as what goes over the link comes at the same times.
package linkshaper

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Profile is a kind of link. Zero fields do nothing.
type Profile struct {
	Name               string
	BytesPerMs         float64
	Delay, Jitter      time.Duration // one way
	Loss               float64       // part of the segments
	StallInterval      time.Duration // mean time between stalls
	StallMin, StallMax time.Duration // the shortest and the longest
	ResetInterval      time.Duration // mean time to a reset
	BlackholeInterval  time.Duration // mean time to the link's going dark
	BlackholeDuration  time.Duration // after which the far side is reset
}

// The usual kinds.
var (
	Good     = Profile{Name: "good", BytesPerMs: 1000, Delay: 10 * time.Millisecond, Jitter: 2 * time.Millisecond}
	Middling = Profile{Name: "middling", BytesPerMs: 100, Delay: 60 * time.Millisecond, Jitter: 30 * time.Millisecond,
		Loss: 0.01, StallInterval: 8 * time.Second, StallMin: 200 * time.Millisecond, StallMax: time.Second,
		ResetInterval: 12 * time.Second, BlackholeInterval: time.Minute, BlackholeDuration: 30 * time.Second}
	Bad = Profile{Name: "bad", BytesPerMs: 20, Delay: 150 * time.Millisecond, Jitter: 100 * time.Millisecond,
		Loss: 0.04, StallInterval: 3 * time.Second, StallMin: 300 * time.Millisecond, StallMax: 4 * time.Second,
		ResetInterval: 4 * time.Second, BlackholeInterval: 15 * time.Second, BlackholeDuration: 30 * time.Second}
)

const (
	segment   = 1460
	queued    = 48 // segments on their way in one direction
	leastWait = 200 * time.Millisecond
)

// Shaper makes links. It is safe for concurrent use.
type Shaper struct {
	Profile
	Seed uint64

	mu sync.Mutex
	n  uint64
}

// Link is a shaped connection.
type Link struct {
	p              Profile
	client, server net.Conn

	mu     sync.Mutex
	rnd    *rand.Rand
	free   [2]time.Time // when the wire is free again
	due    [2]time.Time // of the last segment: TCP keeps the order
	stalls []stall
	lossAt time.Time // when the latest lost segment got there after all
	dark   bool
	cut    bool
	done   chan struct{}
	once   sync.Once
	timers []*time.Timer
}

type stall struct{ from, to time.Time }

// Join runs a link between two connections until either ends. It returns at once.
func (s *Shaper) Join(client, server net.Conn) *Link {
	s.mu.Lock()
	s.n++
	rnd := rand.New(rand.NewPCG(s.Seed, s.n))
	s.mu.Unlock()
	now := time.Now()
	l := &Link{p: s.Profile, client: client, server: server, rnd: rnd, done: make(chan struct{}),
		stalls: []stall{{now, now}}}
	if s.ResetInterval > 0 {
		l.timers = append(l.timers, time.AfterFunc(l.exp(s.ResetInterval), func() { l.reset() }))
	}
	if s.BlackholeInterval > 0 {
		l.timers = append(l.timers, time.AfterFunc(l.exp(s.BlackholeInterval), func() { l.goDark() }))
	}
	go l.pump(0, client, server)
	go l.pump(1, server, client)
	return l
}

func (l *Link) exp(mean time.Duration) time.Duration {
	return time.Duration(l.rnd.ExpFloat64() * float64(mean))
}

// reset ends both sides at once, wherever they are.
func (l *Link) reset() {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	for _, c := range []net.Conn{l.client, l.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	l.close()
}

// goDark lets nothing through any more, and tells nobody; the gateway's side is reset much later.
func (l *Link) goDark() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = true
	l.timers = append(l.timers, time.AfterFunc(l.p.BlackholeDuration, func() { l.reset() }))
}

func (l *Link) close() {
	l.once.Do(func() {
		close(l.done)
		l.client.Close()
		l.server.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, t := range l.timers {
			t.Stop()
		}
	})
}

// TransferTime is how long a message and a short answer to it take at the least, when the link does nothing odd.
func (l *Link) TransferTime(bytes int) time.Duration {
	d := 2 * (l.p.Delay + l.p.Jitter)
	if l.p.BytesPerMs > 0 {
		d += time.Duration(float64(bytes+512) / l.p.BytesPerMs * float64(time.Millisecond))
	}
	return d
}

// FaultySince tells whether the link has done anything since a time for which no side can be blamed.
func (l *Link) FaultySince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dark || l.cut {
		return true
	}
	if l.lossAt.After(since) {
		return true
	}
	for _, s := range l.stalls[1:] {
		if s.to.After(since) && s.from.Before(time.Now()) {
			return true
		}
	}
	return false
}

type piece struct {
	data []byte
	due  time.Time
}

// pump carries one direction.
func (l *Link) pump(dir int, from, to net.Conn) {
	way := make(chan piece, queued)
	go func() {
		defer close(way)
		buf := make([]byte, segment)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case way <- piece{append([]byte(nil), buf[:n]...), l.schedule(dir, n)}:
				case <-l.done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range way {
		if wait := time.Until(p.due); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-l.done:
				t.Stop()
				return
			}
		}
		l.mu.Lock()
		dark := l.dark
		l.mu.Unlock()
		if dark {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	l.mu.Lock()
	dark := l.dark
	l.mu.Unlock()
	if !dark { // the news of an end does not pass a dark link either
		l.close()
	}
}

// schedule tells when a segment gets to the other end.
func (l *Link) schedule(dir, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now()
	if l.free[dir].After(at) {
		at = l.free[dir]
	}
	if l.p.BytesPerMs > 0 {
		at = at.Add(time.Duration(float64(n) / l.p.BytesPerMs * float64(time.Millisecond)))
	}
	l.free[dir] = at
	at = at.Add(l.p.Delay)
	if l.p.Jitter > 0 {
		at = at.Add(time.Duration(l.rnd.Float64() * float64(l.p.Jitter)))
	}
	if l.rnd.Float64() < l.p.Loss { // it comes by its retransmission
		at = at.Add(max(leastWait, 4*l.p.Delay))
		l.lossAt = at
	}
	if l.p.StallInterval > 0 {
		for last := l.stalls[len(l.stalls)-1]; !last.to.After(at); last = l.stalls[len(l.stalls)-1] {
			from := last.to.Add(l.exp(l.p.StallInterval))
			l.stalls = append(l.stalls, stall{from, from.Add(l.p.StallMin + time.Duration(l.rnd.Float64()*float64(l.p.StallMax-l.p.StallMin)))})
		}
		for _, s := range l.stalls {
			if !at.Before(s.from) && at.Before(s.to) {
				at = s.to
			}
		}
	}
	if at.Before(l.due[dir]) {
		at = l.due[dir]
	}
	l.due[dir] = at
	return at
}
