package lifecycle

import (
	"time"

	"gaugerelay/internal/scheduler"
)

// Scheduler decides which actions follow from events. *scheduler.Scheduler implements it.
type Scheduler interface {
	Step(now time.Duration, events []scheduler.Event) []scheduler.Action
}

// Environment is what a Manager needs from the rest of the program. Its methods are called on the Manager's goroutine and must
// not block.
type Environment interface {
	// SetTimer schedules a call to Manager.TimerFired at a time in milliseconds. It replaces the pending timer.
	SetTimer(atMs float64)
	// WatchEndpoints starts a watch of the endpoint list, whose updates are passed to Manager.UpdateEndpoints.
	WatchEndpoints()
	// ProbeServer starts a probe of a server. Its result is passed to Manager.ProbeEnded once.
	ProbeServer(server *Server)
	// Log logs a line for operators.
	Log(text string)
	// Count increments a counter.
	Count(name string)
	// Trace logs an event of a single request or attempt. It is called only if Options.TraceRequests is set.
	Trace(name string, fields ...any)
}

// Peers coordinates this gateway with the others. Its methods are called on the Manager's goroutine; nowMs is the current time
// in milliseconds.
type Peers interface {
	// BeginStep is called at the start of each step. It returns the events that the scheduler must get before all others, for
	// instance because a lease has expired.
	BeginStep(nowMs float64) []scheduler.Event
	// ReportDemand records how much of a volume's limit this gateway could use.
	ReportDemand(nowMs float64, demand scheduler.QuotaDemand)
	// EndpointsChanged records the servers in this gateway's endpoint list, sorted by id, and the servers that were removed from
	// it since the last call.
	EndpointsChanged(nowMs float64, servers, removed []*Server)
	// AttemptEnded records how an attempt at a server ended.
	AttemptEnded(nowMs float64, server *Server, status scheduler.Status, latencyMs float64)
	// QuotaExpiresMs returns the earliest expiry of the leases on a volume's quota. 0 means that no lease is held.
	QuotaExpiresMs(volume scheduler.VolumeID) float64
}
