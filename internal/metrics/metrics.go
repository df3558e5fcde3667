// Package metrics counts what the gateway takes in, sends and answers.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Registry is a group of named counters, printed in the order of their first use. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	names []string
	all   map[string]*atomic.Int64
}

// New returns an empty set.
func New() *Registry { return &Registry{all: map[string]*atomic.Int64{}} }

// Counter returns the counter of that name.
func (s *Registry) Counter(name string) *atomic.Int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.all[name]
	if c == nil {
		c = &atomic.Int64{}
		s.all[name] = c
		s.names = append(s.names, name)
	}
	return c
}

// Add counts n more under a name.
func (s *Registry) Add(name string, n int64) { s.Counter(name).Add(n) }

// Get reads a counter.
func (s *Registry) Get(name string) int64 { return s.Counter(name).Load() }

// WriteText writes one "name value" line a counter.
func (s *Registry) WriteText(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.names {
		fmt.Fprintf(w, "%s %d\n", n, s.all[n].Load())
	}
}

// Snapshot is a copy of the counters.
func (s *Registry) Snapshot() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.all))
	for n, c := range s.all {
		out[n] = c.Load()
	}
	return out
}
