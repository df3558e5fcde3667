package lifecycle

import "gaugerelay/internal/scheduler"

// Upstream carries out attempts over one wire protocol.
type Upstream interface {
	// Start starts an attempt without blocking. The Upstream calls Manager.Complete once for each attempt, canceled ones included.
	// cancel may be called at any time.
	Start(attempt Attempt) (cancel func())
}

// Attempt is one attempt of a request at a server.
type Attempt struct {
	Request *Request
	// Number counts the attempts of the request from 0.
	Number int
	Server *Server
	// DeadlineMs is the time from which on the response is not awaited any more.
	DeadlineMs float64
	// StartDeadlineMs is the time from which on the first byte must not be sent, because something that the attempt depends on,
	// such as a quota lease, expires then. 0 means that there is no such time.
	StartDeadlineMs float64
	// Authorizer holds the hooks that Authorize calls, and the time limit of the endpoint list. nil means neither hooks nor a limit.
	Authorizer *Authorizer
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Status scheduler.Status
	// VolumeUsage is the usage of the volume as a fraction of its plan's rate. It is valid if HasVolumeUsage is set.
	VolumeUsage    float64
	HasVolumeUsage bool
	// ForeignUnits and LoadReport have the meaning of the fields of scheduler.AttemptEnded with the same names.
	ForeignUnits float64
	LoadReport   []float64
	// Body becomes Response.Body if Status is scheduler.StatusOK.
	Body any
}
