package exchange

import (
	"container/list"

	"gaugerelay/internal/scheduler"
)

// uploadEvictionAgeMs is for how long an upload must have received no block before it is evicted.
const uploadEvictionAgeMs = 1000

// ensureCapacity evicts exchanges until so many more exchanges and bytes fit into the limits, and reports whether they
// do. What may have executed is never evicted while it may be repeated, or the next copy would run on another server.
func (s *Store) ensureCapacity(exchanges, bytes int) bool {
	for len(s.exchanges)+exchanges > s.settings.MaxExchanges || s.stats.StoredBytes+bytes > s.settings.MaxStoredBytes {
		victim := s.evictionVictim()
		if victim == nil {
			return false
		}
		s.stats.Evicted++
		if victim.class.Idempotency != scheduler.Idempotent && (victim.mayHaveExecuted || victim.failureReported) {
			s.evictedUntilMs = max(s.evictedUntilMs, victim.createdMs, victim.latestAttemptMs)
		}
		s.forget(victim)
	}
	return true
}

// evictionVictim returns the exchange to evict next: reads that ended, then uploads that receive no blocks, then writes
// whose deduplication window is over. It returns nil if there is none.
func (s *Store) evictionVictim() *storedExchange {
	if read := s.endedReads.Front(); read != nil {
		return read.Value.(*storedExchange)
	}
	if element := s.openUploads.Front(); element != nil {
		upload := element.Value.(*storedExchange)
		if s.nowMs-upload.lastActivityMs >= uploadEvictionAgeMs {
			return upload
		}
	}
	if write := s.endedWrites.Front(); write != nil {
		return write.Value.(*storedExchange)
	}
	return nil
}

// updateEvictable puts an exchange into the eviction list that its state asks for, if any. An upload moves to the end
// of its list each time.
func (s *Store) updateEvictable(exchange *storedExchange) {
	wanted := s.evictionListOf(exchange)
	if exchange.evictionList == wanted && wanted != &s.openUploads {
		return
	}
	s.protectFromEviction(exchange)
	if wanted != nil {
		exchange.evictionList, exchange.evictionElement = wanted, wanted.PushBack(exchange)
	}
}

// evictionListOf returns the list of exchanges that are evicted like this one; nil if it must not be evicted.
func (s *Store) evictionListOf(exchange *storedExchange) *list.List {
	switch {
	case exchange.state == stateForgotten || exchange.state == stateRunning:
		return nil
	case exchange.state == stateReceiving:
		return &s.openUploads
	case exchange.class.Idempotency == scheduler.Idempotent:
		return &s.endedReads
	case !exchange.mayHaveExecuted,
		exchange.class.Idempotency == scheduler.IdempotentWithKey && exchange.retainUntilMs() <= s.nowMs:
		return &s.endedWrites
	}
	return nil
}

// protectFromEviction takes an exchange out of its eviction list, for instance while capacity is freed for itself.
func (s *Store) protectFromEviction(exchange *storedExchange) {
	if exchange.evictionList != nil {
		exchange.evictionList.Remove(exchange.evictionElement)
		exchange.evictionList, exchange.evictionElement = nil, nil
	}
}
