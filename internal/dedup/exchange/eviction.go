package exchange

import (
	"container/list"

	"gaugerelay/internal/scheduler"
)

// uploadEvictionAgeMs is the time without a new block after which an upload may be evicted.
const uploadEvictionAgeMs = 1000

// ensureCapacity evicts exchanges until the given number of additional exchanges and bytes fit into the limits, and reports
// whether they do. A write that may have been executed is not evicted while its deduplication window lasts (see evictionListOf):
// the store must restrict a repeat to servers that drop it, which it can do only while it knows the exchange. A write that is not
// idempotent and may have been executed is not evicted at all.
func (s *Store) ensureCapacity(exchanges, bytes int) bool {
	for len(s.exchanges)+exchanges > s.settings.MaxExchanges || s.stats.StoredBytes+bytes > s.settings.MaxStoredBytes {
		victim := s.evictionVictim()
		if victim == nil {
			return false
		}
		s.stats.Evicted++
		if victim.class.Idempotency != scheduler.Idempotent && (victim.mayHaveExecuted || victim.failureReported) {
			s.latestEvictedActivityMs = max(s.latestEvictedActivityMs, victim.createdMs, victim.latestAttemptMs)
		}
		s.forget(victim)
	}
	return true
}

// evictionVictim returns the exchange to evict next: first ended reads, then uploads that got no block for uploadEvictionAgeMs,
// then ended writes that were not executed or whose deduplication window has ended. It returns nil if there is none.
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

// updateEvictable moves an exchange to the eviction list for its state, if any. Each call moves an upload to the end of its
// list.
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

// evictionListOf returns the eviction list for the state of an exchange, or nil if the exchange must not be evicted.
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

// protectFromEviction removes an exchange from its eviction list, for instance while capacity is freed for this exchange.
func (s *Store) protectFromEviction(exchange *storedExchange) {
	if exchange.evictionList != nil {
		exchange.evictionList.Remove(exchange.evictionElement)
		exchange.evictionList, exchange.evictionElement = nil, nil
	}
}
