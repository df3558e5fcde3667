package lifecycle

import "gaugerelay/internal/scheduler"

// ResponseKind is the kind of a final response.
type ResponseKind uint8

// The kinds of final response.
const (
	// Served means that a server has responded.
	Served ResponseKind = iota
	// Rejected means that the request was not executed: a retry is harmless.
	Rejected
	// Failed promises nothing on whether the request was executed.
	Failed
	// DuplicateID means that the request was not accepted, because an open request has its ClientID.
	DuplicateID

	// The following kinds go to devices only.

	// Conflict means that the content differs from that of the exchange that the request names. It was not executed.
	Conflict
	// Continue means that a block of an upload is buffered.
	Continue
	// Incomplete means that a block does not follow on the buffered bytes of its upload.
	Incomplete
	// TooLarge means that the body exceeds the limits for uploads.
	TooLarge
	// Superseded means that newer connections wait for the response: this one is to be closed.
	Superseded

	responseKindCount = iota
)

// responseKindNames are the names that String returns.
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
	// RetryAfterMs is when to retry a rejected request. 0 means no advice.
	RetryAfterMs float64
	// Reason is the reason for a rejection or failure.
	Reason scheduler.Reason
	// Body is the AttemptResult.Body of a served request.
	Body any

	// The following fields are for the Deduplicator.

	// MayHaveExecuted reports whether an attempt may have been executed. FirstAttemptMs is then when the first of these
	// attempts was sent, and Shard the shard of its server. Otherwise Shard is -1.
	MayHaveExecuted bool
	FirstAttemptMs  float64
	Shard           int

	// The following fields are for devices.

	// BufferedBytes is how much of an upload is buffered.
	BufferedBytes int
	// Cached reports that the response existed before this copy of the request arrived.
	Cached bool
	// ETag identifies the content of Body.
	ETag uint64
	// IdleTimeoutMs is how long a connection may be silent before it counts as dead. 0 means that it is not known.
	IdleTimeoutMs float64
	// BlockSize is the recommended size of blocks in bytes. 0 means no recommendation.
	BlockSize int
}
