package lifecycle

import "gaugerelay/internal/scheduler"

// ResponseKind is the kind of a final response.
type ResponseKind uint8

// The kinds of final response.
const (
	// Served means that a server has responded.
	Served ResponseKind = iota
	// Rejected means that the request was not executed. A retry is safe.
	Rejected
	// Failed means that the request may or may not have been executed.
	Failed
	// DuplicateID means that the request was not accepted, because an open request has the same ClientID.
	DuplicateID

	// The following kinds are used for device requests only.

	// Conflict means that the content of the request differs from that of the exchange that it identifies. The request was
	// not executed.
	Conflict
	// Continue means that a block of an upload was buffered.
	Continue
	// Incomplete means that a block does not begin where the buffered bytes of its upload end.
	Incomplete
	// TooLarge means that the body exceeds the limits for uploads.
	TooLarge
	// Superseded means that newer connections of the device wait for the response, and that this connection must be closed.
	Superseded

	responseKindCount = iota
)

// responseKindNames holds the name of each kind, as String returns it.
var responseKindNames = [responseKindCount]string{
	Served:      "served",
	Rejected:    "rejected",
	Failed:      "failed",
	DuplicateID: "duplicate_id",
	Conflict:    "conflict",
	Continue:    "continue",
	Incomplete:  "incomplete",
	TooLarge:    "too_large",
	Superseded:  "superseded",
}

// String returns the name of the kind, and "unknown" for other values.
func (k ResponseKind) String() string {
	if int(k) < len(responseKindNames) {
		return responseKindNames[k]
	}
	return "unknown"
}

// Response is the final response to a request.
type Response struct {
	Kind ResponseKind
	// RetryAfterMs is the recommended delay before a rejected request is retried. 0 means no recommendation.
	RetryAfterMs float64
	// Reason is the reason for a rejection or failure.
	Reason scheduler.Reason
	// Body is the AttemptResult.Body of a served request.
	Body any

	// The following fields are used by the Deduplicator.

	// MayHaveExecuted reports whether an attempt may have been executed. If it is set, FirstAttemptMs is the time when the first
	// such attempt was sent, and Shard is the shard of its server. Otherwise Shard is -1.
	MayHaveExecuted bool
	FirstAttemptMs  float64
	Shard           int

	// The following fields are used for device requests only.

	// BufferedBytes is the number of bytes of an upload that are buffered.
	BufferedBytes int
	// Cached reports that the response existed before this transmission of the request arrived.
	Cached bool
	// ETag identifies the content of Body.
	ETag uint64
	// IdleTimeoutMs is how long a connection may be silent before it is considered dead. 0 means unknown.
	IdleTimeoutMs float64
	// BlockSize is the recommended block size in bytes. 0 means no recommendation.
	BlockSize int
}
