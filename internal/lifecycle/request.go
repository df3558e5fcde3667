package lifecycle

import (
	"sync/atomic"

	"gaugerelay/internal/scheduler"
)

// Request is a client request. The frontend that received it sets the exported fields before it submits the request.
type Request struct {
	// ClientID is the id by which the client and the servers identify the request. It is unique among the open requests. The
	// empty string means that the request has no such id.
	ClientID string
	// Class and Plan are names from the scheduler's settings.
	Class, Plan string
	// Volume is the id of the volume that the request belongs to.
	Volume uint64
	// Key is the key of the data that the request accesses, or scheduler.NoKey.
	Key uint64
	// IdempotencyKey is the key by which servers recognize repetitions of the request. The empty string means that there is none.
	IdempotencyKey string
	// RemainingMs is the time from the submission of the request to the client's deadline.
	RemainingMs float64
	// ClientDelayMs is the time that the request took to arrive, which counts against the client's time. 0 means unknown.
	ClientDelayMs float64
	// Units is the size of the request in the units of the scheduler.
	Units float64
	// Shard is the shard that holds the data, or -1 for a new object, which any shard may take.
	Shard int
	// Gateways is the number of gateways that receive requests of the volume. 0 means all.
	Gateways int
	// IsRetry reports that the client marked the request as a retry.
	IsRetry bool
	// IsFirstAttempt reports that the request is known not to be a retry. If it is not set, the scheduler estimates the age of the
	// request from its remaining time.
	IsFirstAttempt bool

	// Device identifies the exchange of a device request. It is nil for other requests.
	Device *DeviceRequest

	// Upstream carries out the attempts of the request.
	Upstream Upstream
	// Payload is what Upstream sends. It is opaque to this package.
	Payload any
	// Respond is called with the one final response, unless the request is canceled first. It is called on the Manager's
	// goroutine and must not block.
	Respond func(Response)
	// ClientDisconnected reports whether the client has disconnected, possibly before Cancel is called for that reason. It must
	// be safe for concurrent use. nil means that this cannot be determined.
	ClientDisconnected func() bool

	id       scheduler.RequestID
	canceled atomic.Bool
}

// Cancel marks the request as canceled: its client no longer waits for the response. It may be called at any time from any
// goroutine. It takes effect at once, so that an attempt that still waits for a connection does not start.
func (r *Request) Cancel() { r.canceled.Store(true) }

// Canceled reports whether the request was canceled or its client has disconnected. It may be called from any goroutine.
func (r *Request) Canceled() bool {
	return r.canceled.Load() || r.ClientDisconnected != nil && r.ClientDisconnected()
}

// WithoutExchange returns a request of no device that reads what r, a read of a device, reads. It has the given id and remaining time, has
// not been submitted, and has no Respond.
func (r *Request) WithoutExchange(id string, remainingMs float64) *Request {
	return &Request{ClientID: id, Class: r.Class, Plan: r.Plan, Volume: r.Volume, Key: r.Key, RemainingMs: remainingMs, Units: r.Units,
		Shard: r.Shard, Gateways: r.Gateways, IsRetry: r.IsRetry, IsFirstAttempt: true, Upstream: r.Upstream,
		Payload: r.Device.BuildPayload(id, nil)}
}
