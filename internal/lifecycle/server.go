package lifecycle

import (
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// Server is an entry of the endpoint list. Its exported fields do not change: an update brings a new entry, and attempts may
// still hold the old one. Entries of the same server at the same address share their closed state.
type Server struct {
	Name, Addr, Zone, Kind string
	Shard                  int
	// Size is the relative size of the server.
	Size float64
	// StartedMs is when the server's process last started. 0 means long ago.
	StartedMs float64
	State     scheduler.ServerState

	closed *atomic.Bool
	id     scheduler.ServerID
}

// Closed reports whether the endpoint list has since reported the server as draining, removed or moved. An Upstream checks it
// before the first byte of an attempt, because the grace of a drain ends with that byte. It is safe for concurrent use.
func (s *Server) Closed() bool { return s.closed != nil && s.closed.Load() }

// ID returns the id by which the scheduler knows the server. It is 0 before the entry was passed to Manager.UpdateEndpoints.
func (s *Server) ID() scheduler.ServerID { return s.id }

// schedulerServer returns the entry as the scheduler knows it.
func (s *Server) schedulerServer() scheduler.Server {
	return scheduler.Server{ID: s.id, State: s.State, Shard: s.Shard, Kind: s.Kind, Zone: s.Zone,
		StartedAt: clock.Duration(s.StartedMs), Size: s.Size}
}
