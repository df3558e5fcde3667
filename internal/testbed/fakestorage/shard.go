package fakestorage

import (
	"sync"
	"time"
)

// Shard is the state that the servers of one shard share: the idempotency keys that they have seen. It is safe for
// concurrent use.
type Shard struct {
	Name        string
	DedupWindow time.Duration // for which a repeated key is dropped

	mu     sync.Mutex
	writes map[string]firstWrite // by key
}

// firstWrite is the first write with a key.
type firstWrite struct {
	at     time.Time
	digest string
}

// deduplicate records a write. If its key was seen within the window, it returns true and the digest of the first write's
// body; otherwise false and the write's own.
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
