package lifecycle

import "gaugerelay/internal/scheduler"

// Upstream carries out attempts over one wire protocol.
type Upstream interface {
	// Start starts an attempt without blocking. Each attempt ends in one Manager.Complete. cancel may be called at any time.
	Start(attempt Attempt) (cancel func())
}

// Attempt is one attempt of a request at a server.
type Attempt struct {
	Request *Request
	// Number counts the attempts of the request from 0.
	Number int
	Server *Server
	// DeadlineMs is when to stop waiting for the response.
	DeadlineMs float64
	// StartDeadlineMs is when the first byte must have been sent: what the attempt relies on, such as a quota lease, ends then.
	// 0 means that there is no such time.
	StartDeadlineMs float64
	// Authorizer bounds the use of the endpoint list. nil means that it has no bound.
	Authorizer *Authorizer
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status scheduler.Status
	// VolumeUsage is the use of the volume as a fraction of its plan's rate. It is valid if HasVolumeUsage is set.
	VolumeUsage    float64
	HasVolumeUsage bool
	// ForeignUnits and LoadReport are those of scheduler.AttemptEnded.
	ForeignUnits float64
	LoadReport   []float64
	// Body becomes Response.Body if Status is scheduler.StatusOK.
	Body any
}
