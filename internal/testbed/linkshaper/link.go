// Package linkshaper makes a good connection a poor one: limited rate, delay, jitter, losses as the waits that they cause on
// TCP, stalls of seconds, resets in the middle of a message, and links that drop everything without notice to either side.
//
// The package owns the links. A [Link] runs two goroutines for each direction, and timers for its faults; they end with the
// link, when either connection ends or the link is reset. Nobody waits for them: a blocked Write ends when its connection is
// closed. The same seed shapes a link in the same way, as far as the same bytes are sent at the same times.
package linkshaper

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxSegmentSize      = 1460 // bytes
	maxSegmentsInFlight = 48   // in one direction
	shortResponseSize   = 512  // bytes of the response that TransferTime allows for
)

// Shaper makes links. It is safe for concurrent use.
type Shaper struct {
	Profile
	Seed uint64

	mu    sync.Mutex
	links uint64 // made so far
}

// Link is a shaped connection. Its methods are safe for concurrent use.
type Link struct {
	profile        Profile
	client, server net.Conn
	closed         chan struct{}
	closeOnce      sync.Once

	mu         sync.Mutex // guards the fields below
	schedule   schedule
	blackholed bool // drops everything
	reset      bool
	timers     []*time.Timer
}

// Join starts a link between two connections, which runs until either ends, and returns it.
func (s *Shaper) Join(client, server net.Conn) *Link {
	s.mu.Lock()
	s.links++
	random := rand.New(rand.NewPCG(s.Seed, s.links))
	s.mu.Unlock()
	l := &Link{profile: s.Profile, client: client, server: server, closed: make(chan struct{}),
		schedule: newSchedule(s.Profile, random, time.Now())}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.ResetInterval > 0 {
		l.timers = append(l.timers, time.AfterFunc(l.schedule.exponential(s.ResetInterval), l.resetBoth))
	}
	if s.BlackholeInterval > 0 {
		l.timers = append(l.timers, time.AfterFunc(l.schedule.exponential(s.BlackholeInterval), l.blackhole))
	}
	go l.forward(toServer, client, server)
	go l.forward(toClient, server, client)
	return l
}

// TransferTime returns how long a message of some bytes and a short response take at least if the link has no fault.
func (l *Link) TransferTime(bytes int) time.Duration {
	return 2*(l.profile.Delay+l.profile.Jitter) + l.profile.transmissionTime(bytes+shortResponseSize)
}

// FaultySince reports whether the link has had a fault since t, for which neither side is to blame.
func (l *Link) FaultySince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed || l.reset || l.schedule.faultySince(t)
}

// resetBoth ends both connections at once, if they are TCP connections by a reset.
func (l *Link) resetBoth() {
	l.mu.Lock()
	l.reset = true
	l.mu.Unlock()
	for _, conn := range []net.Conn{l.client, l.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // It fails for a closed connection only.
		}
	}
	l.close()
}

// blackhole has the link drop everything. Both sides are reset much later.
func (l *Link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blackholed = true
	l.timers = append(l.timers, time.AfterFunc(l.profile.BlackholeDuration, l.resetBoth))
}

// close closes both connections and stops the timers.
func (l *Link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.client.Close()
		l.server.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, timer := range l.timers {
			timer.Stop()
		}
	})
}

func (l *Link) isBlackholed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed
}

// segment is data on its way.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

// forward carries one direction until either connection ends. The end of a connection does not pass a link that drops
// everything either.
func (l *Link) forward(dir direction, from, to net.Conn) {
	inFlight := make(chan segment, maxSegmentsInFlight)
	go l.readSegments(dir, from, inFlight)
	if !l.deliver(inFlight, to) {
		return
	}
	if !l.isBlackholed() {
		l.close()
	}
}

// readSegments reads from a connection until it ends, and schedules what it reads.
func (l *Link) readSegments(dir direction, from net.Conn, inFlight chan<- segment) {
	defer close(inFlight)
	buf := make([]byte, maxSegmentSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.mu.Lock()
			arrivesAt := l.schedule.arrival(dir, n)
			l.mu.Unlock()
			select {
			case inFlight <- segment{append([]byte(nil), buf[:n]...), arrivesAt}:
			case <-l.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes segments when they arrive, until there are no more or the connection ends. It returns false if the link was
// closed.
func (l *Link) deliver(inFlight <-chan segment, to net.Conn) bool {
	for s := range inFlight {
		if !l.waitUntil(s.arrivesAt) {
			return false
		}
		if l.isBlackholed() {
			continue
		}
		if _, err := to.Write(s.data); err != nil {
			break
		}
	}
	return true
}

// waitUntil waits until t. It returns false if the link was closed before.
func (l *Link) waitUntil(t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}
