// Package metrics holds the gateway's counters and gauges and writes them in the format of GET /metrics.
//
// The package runs no goroutine. All of it is safe for concurrent use.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Registry is a set of named counters. A counter is created by its first use. Counters are written in the order of their
// creation.
type Registry struct {
	mu       sync.Mutex
	names    []string // names of the counters, in the order of their creation
	counters map[string]*atomic.Int64
	gauges   []gauge
}

// gauge is a value that is read when the metrics are written.
type gauge struct {
	name string
	read func() int64
}

// New returns an empty registry.
func New() *Registry { return &Registry{counters: map[string]*atomic.Int64{}} }

// Counter returns the counter with the given name, and creates it at 0 if there is none. Callers that update a counter often
// should keep the result, since the call locks the registry.
func (r *Registry) Counter(name string) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counter := r.counters[name]
	if counter == nil {
		counter = &atomic.Int64{}
		r.counters[name] = counter
		r.names = append(r.names, name)
	}
	return counter
}

// Add adds n to the counter with the given name. Like Counter, it creates the counter if there is none.
func (r *Registry) Add(name string, n int64) { r.Counter(name).Add(n) }

// Get returns the value of the counter with the given name. Like Counter, it creates the counter if there is none.
func (r *Registry) Get(name string) int64 { return r.Counter(name).Load() }

// AddGauge adds a value that WriteText reads by calling read, behind the counters. Names of gauges end in "_now".
func (r *Registry) AddGauge(name string, read func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges = append(r.gauges, gauge{name, read})
}

// WriteText writes a line "name value" for each counter and each gauge. Write errors are ignored, because the client may have disconnected.
func (r *Registry) WriteText(w io.Writer) {
	for _, gauge := range r.writeCounters(w) {
		_, _ = fmt.Fprintf(w, "%s %d\n", gauge.name, gauge.read())
	}
}

// writeCounters writes the counters and returns the gauges. These are read without the lock, since their functions may acquire locks
// under which counters are incremented.
func (r *Registry) writeCounters(w io.Writer) []gauge {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.names {
		_, _ = fmt.Fprintf(w, "%s %d\n", name, r.counters[name].Load())
	}
	return r.gauges
}

// Snapshot returns the current values of all counters by name.
func (r *Registry) Snapshot() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := make(map[string]int64, len(r.counters))
	for name, counter := range r.counters {
		values[name] = counter.Load()
	}
	return values
}
