package lifecycle

import (
	"sync/atomic"

	"gaugerelay/internal/scheduler"
)

// Request is a client request. The frontend that received it fills in the exported fields before it submits the request.
type Request struct {
	// ClientID is the name by which clients and servers know the request. At most one open request has a given ClientID. The
	// empty string means that the request has no such name.
	ClientID string
	// Class and Plan are names from the scheduler's settings.
	Class, Plan string
	// Volume is the volume that the request draws on.
	Volume uint64
	// Key is the piece of data that the request works on, or scheduler.NoKey.
	Key uint64
	// RemainingMs is the time until the client's deadline, from the submission on.
	RemainingMs float64
	// ClientDelayMs is how much of the client's time had passed when the request arrived. 0 means that it is not known.
	ClientDelayMs float64
	// Units is the size of the request.
	Units float64
	// Shard is the shard that holds the data, or -1 for a new object, which any server may take.
	Shard int
	// Gateways is the number of gateways through which the volume's requests come.
	Gateways int
	// IsRetry reports that the client marked the request as a retry.
	IsRetry bool
	// IsFirstAttempt reports that the request is known not to be a retry, however little time it has left.
	IsFirstAttempt bool

	// Device identifies the exchange of a device request. It is nil for other requests.
	Device *DeviceRequest

	// Upstream carries out the attempts of the request.
	Upstream Upstream
	// Payload is what Upstream sends. It is opaque to this package.
	Payload any
	// Respond receives the one final response, unless the request is canceled first. It is called on the Manager's goroutine
	// and must not block.
	Respond func(Response)
	// ClientDisconnected reports whether the client has disconnected, even if nothing has noticed it yet. It must be safe for
	// concurrent use. nil means that it cannot be known.
	ClientDisconnected func() bool

	id       scheduler.RequestID
	canceled atomic.Bool
}

// Cancel marks the request as one whose response nobody waits for. It may be called at any time from any goroutine, and takes
// effect at once: an attempt that waits for its connection may be about to start.
func (r *Request) Cancel() { r.canceled.Store(true) }

// Canceled reports whether nobody waits for the response. It may be called from any goroutine.
func (r *Request) Canceled() bool {
	return r.canceled.Load() || r.ClientDisconnected != nil && r.ClientDisconnected()
}
