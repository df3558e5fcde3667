package httpclient

import "sync"

const (
	// unsolicitedDelayFactor is the factor by which the reuse delay of a server is longer that has recently sent unsolicited data.
	unsolicitedDelayFactor = 3
	// unsolicitedMemoryMs is how long the reuse delay stays longer after the latest unsolicited data.
	unsolicitedMemoryMs = 30_000
	// maxUnsolicitedSenders bounds the number of servers that are remembered.
	maxUnsolicitedSenders = 4096
)

// unsolicitedSenders holds the servers that have recently sent data that no request awaited, such as a second copy of a response. A
// server that sends copies may send some later than the usual reuse delay. The zero value is ready for use. The methods may be called
// from any goroutine.
type unsolicitedSenders struct {
	mu    sync.Mutex
	until map[string]float64 // time until which the reuse delay is longer, by address
}

// record records that unsolicited data from a server was found at nowMs. If too many servers are remembered, it forgets all others.
func (s *unsolicitedSenders) record(addr string, nowMs float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil || len(s.until) >= maxUnsolicitedSenders {
		s.until = map[string]float64{}
	}
	s.until[addr] = nowMs + unsolicitedMemoryMs
}

// delayFactor returns the factor of the reuse delay for connections to a server.
func (s *unsolicitedSenders) delayFactor(addr string, nowMs float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[addr]
	switch {
	case !ok:
		return 1
	case nowMs >= until:
		delete(s.until, addr)
		return 1
	}
	return unsolicitedDelayFactor
}
