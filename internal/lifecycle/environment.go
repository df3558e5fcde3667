package lifecycle

import (
	"time"

	"gaugerelay/internal/scheduler"
)

// Scheduler makes the decisions. *scheduler.Scheduler implements it.
type Scheduler interface {
	Step(now time.Duration, events []scheduler.Event) []scheduler.Action
}

// Environment is what a Manager needs from the rest of the program. Its methods are called on the Manager's goroutine and must
// not block.
type Environment interface {
	// SetTimer schedules a call of Manager.TimerFired at a time in milliseconds. It replaces the pending timer.
	SetTimer(atMs float64)
	// WatchEndpoints starts a watch of the endpoint list, which ends in calls of Manager.UpdateEndpoints.
	WatchEndpoints()
	// ProbeServer starts a probe, which ends in one call of Manager.ProbeEnded.
	ProbeServer(server *Server)
	// Log logs a line for the operators.
	Log(text string)
	// Count increments a counter.
	Count(name string)
	// Trace logs an event of a single request or attempt. It is called only if Options.TraceRequests is set.
	Trace(name string, fields ...any)
}

// Peers coordinates this gateway with the others. Its methods are called on the Manager's goroutine; nowMs is the current time
// in milliseconds.
type Peers interface {
	// BeginStep is called at the start of each step. It returns events that the scheduler has to see first, for instance because
	// a lease has expired.
	BeginStep(nowMs float64) []scheduler.Event
	// ReportDemand records how much of a volume's limit this gateway could use.
	ReportDemand(nowMs float64, demand scheduler.QuotaDemand)
	// EndpointsChanged records the servers in this gateway's endpoint list, in the order of their ids, and those removed from it
	// since the last call.
	EndpointsChanged(nowMs float64, servers, removed []*Server)
	// AttemptEnded records how an attempt at a server ended.
	AttemptEnded(nowMs float64, server *Server, status scheduler.Status, latencyMs float64)
	// QuotaExpiresMs returns when the first lease on a volume's quota expires. 0 means that none is held.
	QuotaExpiresMs(volume scheduler.VolumeID) float64
}
