// Package linkshaper simulates poor links between two connections: limited bandwidth, delay, jitter, packet loss (as the
// retransmission delay that it causes on TCP), stalls of up to several seconds, resets in the middle of a message, and black
// holes, which drop all data without notice to either side.
//
// The package owns the links. A [Link] runs two goroutines for each direction, and timers for its faults. They end with the
// link: when the link is reset, or when either connection ends while the link is not a black hole. Nothing waits for them. A blocked
// Write ends when its connection is closed. The same seed shapes a link in the same way if the same bytes are sent at the same times.
package linkshaper

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxSegmentSize      = 1460 // largest payload of a segment in bytes
	maxSegmentsInFlight = 48   // largest number of segments in flight in each direction
	shortResponseSize   = 512  // size in bytes of the response that TransferTime includes
)

// Shaper creates links with one profile. It is safe for concurrent use.
type Shaper struct {
	Profile
	Seed uint64

	mu    sync.Mutex
	links uint64 // number of links created so far
}

// Link is a shaped connection. Its methods are safe for concurrent use.
type Link struct {
	profile        Profile
	client, server net.Conn
	closed         chan struct{}
	closeOnce      sync.Once

	mu         sync.Mutex // guards the fields below
	schedule   schedule
	blackholed bool // whether the link drops all data
	reset      bool // whether the link has reset both connections
	timers     []*time.Timer
}

// Join starts and returns a link between two connections. The link runs until either connection ends.
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

// TransferTime returns the time that a message of the given size and a short response take on the link without faults, with the
// largest jitter in both directions.
func (l *Link) TransferTime(bytes int) time.Duration {
	return 2*(l.profile.Delay+l.profile.Jitter) + l.profile.transmissionTime(bytes+shortResponseSize)
}

// FaultySince reports whether a fault of the link has affected its traffic since t. If so, a message that did not arrive is not the
// fault of the client or the server.
func (l *Link) FaultySince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed || l.reset || l.schedule.faultySince(t)
}

// resetBoth closes both connections at once, TCP connections by a reset (RST).
func (l *Link) resetBoth() {
	l.mu.Lock()
	l.reset = true
	l.mu.Unlock()
	for _, conn := range []net.Conn{l.client, l.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // SetLinger fails only on a closed connection.
		}
	}
	l.close()
}

// blackhole makes the link drop all data from now on. Both connections are reset after the profile's BlackholeDuration.
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

// segment is a piece of data in flight.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

// forward carries the data of one direction until either connection ends, and then closes the link. A black hole also drops the
// end of a connection: the other connection stays open until the reset that
// ends the black hole.
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

// readSegments reads segments from a connection until it ends, and schedules their arrival.
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

// deliver writes each segment at its arrival time, or drops it if the link is a black hole, until inFlight is closed or a write
// fails. It returns false if the link was closed before that.
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

// waitUntil waits until t. It returns false if the link was closed before t.
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
