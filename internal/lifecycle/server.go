package lifecycle

import (
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// Server is an entry of the endpoint list. Its exported fields are never modified: an update contains new entries, and attempts
// may still hold the old ones. An entry shares its closed state with the entry that it replaces if the replaced entry is open
// and has the same address.
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

// Closed reports whether an endpoint update has reported the server as draining, removed or moved to another address. It is
// checked right before the first byte of an attempt is sent, because a draining server accepts requests only for a short time
// (scheduler.Settings.DrainGrace). Closed is safe for concurrent use.
func (s *Server) Closed() bool { return s.closed != nil && s.closed.Load() }

// ID returns the id of the server in the scheduler. It is 0 until the entry is passed to Manager.UpdateEndpoints.
func (s *Server) ID() scheduler.ServerID { return s.id }

// schedulerServer converts the entry to the scheduler's type.
func (s *Server) schedulerServer() scheduler.Server {
	return scheduler.Server{ID: s.id, State: s.State, Shard: s.Shard, Kind: s.Kind, Zone: s.Zone,
		StartedAt: clock.Duration(s.StartedMs), Size: s.Size}
}
