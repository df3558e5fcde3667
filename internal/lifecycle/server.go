package lifecycle

import (
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// Server is an entry of the endpoint list. Its exported fields are never modified: an update contains new entries, and attempts
// may still hold the old ones. Entries of the same server at the same address share their closed state.
type Server struct {
	Name, Addr, Zone, Kind string
	Shard                  int
	// Size is the relative size of the server.
	Size float64
	// StartedMs is when the server's process last started, in milliseconds. 0 means long ago.
	StartedMs float64
	State     scheduler.ServerState

	closed *atomic.Bool
	id     scheduler.ServerID
}

// Closed reports whether an endpoint update has reported the server as draining, removed or moved to another address. An Upstream
// checks it before the first byte of an attempt, which must be sent within the grace period of a drain. It is safe for concurrent
// use.
func (s *Server) Closed() bool { return s.closed != nil && s.closed.Load() }

// ID returns the id of the server in the scheduler. It is 0 until the entry is passed to Manager.UpdateEndpoints.
func (s *Server) ID() scheduler.ServerID { return s.id }

// schedulerServer converts the entry to the scheduler's type.
func (s *Server) schedulerServer() scheduler.Server {
	return scheduler.Server{ID: s.id, State: s.State, Shard: s.Shard, Kind: s.Kind, Zone: s.Zone,
		StartedAt: clock.Duration(s.StartedMs), Size: s.Size}
}
