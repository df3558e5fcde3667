package fakestorage

import (
	"sync"
	"time"
)

// Shard is the state that the servers of one shard share: the idempotency keys that they have received. It is safe for
// concurrent use.
type Shard struct {
	Name        string
	DedupWindow time.Duration // time, counted from the first write with a key, in which further writes with that key are not executed

	mu     sync.Mutex
	writes map[string]firstWrite // latest executed write of each idempotency key
}

// firstWrite is the write that began the current deduplication window of an idempotency key.
type firstWrite struct {
	at     time.Time
	digest string
}

// deduplicate records a write and returns the digest of the body that was executed for its key. If the key was already received
// within the window, repeated is true and executed is the digest of the first write.
func (s *Shard) deduplicate(key, digest string, now time.Time) (repeated bool, executed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writes == nil {
		s.writes = map[string]firstWrite{}
	}
	if first, ok := s.writes[key]; ok && now.Sub(first.at) < s.DedupWindow {
		return true, first.digest
	}
	s.writes[key] = firstWrite{now, digest}
	return false, digest
}
