package sftpserver

import (
	"errors"
	"sync"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/sftpwire"
)

const (
	// connBytes is the memory of a connection without commands: buffers and the stacks of the library's workers.
	connBytes = 48 << 10
	// packetTypeRead is the type of a READ, whose response takes as much memory as the largest packet.
	packetTypeRead = 5
	// slowPacketTime is how long a packet may take to arrive before the connection may be closed because memory is short.
	slowPacketTime = 250 * time.Millisecond
	// memoryWait is how long a packet waits for memory before its connection is closed, and memoryPoll the time between two attempts.
	memoryWait = 2500 * time.Millisecond
	memoryPoll = 10 * time.Millisecond
	// furtherFraction is the fraction of the memory for clients up to which a connection gets memory for a packet while it has commands
	// without a response. The rest is for the first commands of others.
	furtherFraction = 0.5
)

var errNoMemory = errors.New("no memory for the next SFTP packet")

// packetMemory counts the memory of the commands of a connection, from the length of their packets on until their responses have been
// written.
type packetMemory struct {
	account *memorybudget.Account
	metrics *metrics.Registry
	ended   <-chan struct{} // closed when the client has disconnected

	mu        sync.Mutex
	sizes     []int     // bytes reserved for each packet without a response, oldest first
	responses int       // number of responses that have been written
	since     time.Time // time at which the incomplete packet began to arrive; zero if there is none
	arrived   int       // bytes of that packet that have arrived
	evicted   bool

	begun int // number of packets for which memory has been reserved; used only by the reading goroutine
}

// received reserves memory for the packet whose header has just arrived, if one has. While there is none, it waits, so that the client is
// slowed down. It waits for at most memoryWait after the client has got the responses to its earlier commands. bytes is the number of bytes that were just read; they belong to one packet, since the library
// reads the length of a packet first.
func (m *packetMemory) received(tracker *packetTracker, bytes int) error {
	m.recordArrival(tracker, bytes)
	if tracker.begunPackets == m.begun {
		return nil
	}
	m.begun = tracker.begunPackets
	size := tracker.packetSize
	if tracker.packetType == packetTypeRead {
		size += sftpwire.MaxPacket
	}
	if !m.reserve(size) {
		m.metrics.Add(packetsWithoutMemory, 1)
		return errNoMemory
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sizes = append(m.sizes, size)
	return nil
}

// recordArrival records the progress of the packet that the tracker is in.
func (m *packetMemory) recordArrival(tracker *packetTracker, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isInside, _ := tracker.truncated()
	switch {
	case !isInside:
		m.since, m.arrived = time.Time{}, 0
	case m.since.IsZero():
		m.since, m.arrived = time.Now(), bytes
	default:
		m.arrived += bytes
	}
}

// reserve reserves memory, or waits for it. It returns false if there is none in time, or if the connection is evicted or ends meanwhile: the
// others get its memory only after that. A connection whose client does not read its responses waits for the client.
func (m *packetMemory) reserve(bytes int) bool {
	waitUntil := time.Now().Add(memoryWait)
	for {
		isWaiting := m.hasUnanswered()
		if isWaiting {
			waitUntil = time.Now().Add(memoryWait)
		}
		if isWaiting && m.account.ReserveUpTo(furtherFraction, bytes) || !isWaiting && m.account.ReserveBulk(bytes) {
			return true
		}
		if m.isEvicted() || time.Now().After(waitUntil) {
			return false
		}
		select {
		case <-m.ended:
			return false
		case <-time.After(memoryPoll):
		}
	}
}

// hasUnanswered reports whether packets with memory have no response yet.
func (m *packetMemory) hasUnanswered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sizes) > 0
}

func (m *packetMemory) isEvicted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evicted
}

// responded releases the memory of the packets whose responses have been written.
func (m *packetMemory) responded(responses int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ; m.responses < responses && len(m.sizes) > 0; m.responses++ {
		m.account.Release(m.sizes[0])
		m.sizes = m.sizes[1:]
	}
}

// rate returns the rate at which an incomplete packet arrives, in bytes per millisecond. isSlow is false if there is none, or if it has
// been arriving for less than slowPacketTime.
func (m *packetMemory) rate(now time.Time) (rate float64, isSlow bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := now.Sub(m.since)
	if m.since.IsZero() || m.evicted || age < slowPacketTime {
		return 0, false
	}
	return float64(m.arrived) / clock.Ms(age), true
}

// Slowest implements memorybudget.Evictor: of the connections with an incomplete packet, it returns the one that makes the least progress.
func (s *Server) Slowest() (slowest memorybudget.Candidate, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		rate, isSlow := c.memory.rate(now)
		if isSlow && (!ok || rate < slowest.BytesPerMs) {
			slowest, ok = memorybudget.Candidate{Account: c.memory.account, BytesPerMs: rate, End: c.evict}, true
		}
	}
	return slowest, ok
}

// evict closes the connection because memory is short.
func (c *conn) evict() (evicted bool) {
	c.memory.mu.Lock()
	evicted = !c.memory.evicted
	c.memory.evicted = true
	c.memory.mu.Unlock()
	if evicted {
		c.memory.metrics.Add(connectionsEvicted, 1)
		go c.abort() // in a goroutine, since closing may block
	}
	return evicted
}
