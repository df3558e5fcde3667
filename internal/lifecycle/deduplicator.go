package lifecycle

// Deduplicator handles the requests of devices, which may arrive several times, and submits those that are to run. Its methods
// are called on the Manager's goroutine; nowMs is the current time in milliseconds.
type Deduplicator interface {
	// Submit handles a request of which Request.Device is set.
	Submit(nowMs float64, request *Request)
	// Cancel handles the cancellation of a request, which may not have been submitted.
	Cancel(nowMs float64, request *Request)
	// ResponseWritten records that the response to a request was written to its connection.
	ResponseWritten(nowMs float64, request *Request, link LinkSample)
	// LinkMeasured records a measurement of a device's link.
	LinkMeasured(nowMs float64, device string, link LinkSample)
	// Drain ends the admission of new exchanges.
	Drain(nowMs float64)
}

// DeviceRequest identifies the exchange that a device request is a copy of.
type DeviceRequest struct {
	// ID is the device, and Key its name for the exchange.
	ID, Key string
	// HeadDigest is the digest of the request without its body.
	HeadDigest [32]byte
	// BodyDigest is the digest of the body. It is set for a complete body only.
	BodyDigest [32]byte
	// Body is the complete body, or the bytes of Block.
	Body []byte
	// Block is set for a part of an upload.
	Block *Block
	// AgeMs is how long ago the device first sent the request. A negative value means that the device did not say.
	AgeMs float64
	// PreviousGateway names the gateway that the device sent earlier copies to. The empty string means that it did not say.
	PreviousGateway string
	// Link is what the connection has measured since its last sample.
	Link LinkSample
	// BuildPayload returns the Request.Payload for a run of the exchange. Servers know each run by an id of its own.
	BuildPayload func(id string, body []byte) any

	// CopyID is the Deduplicator's number of the copy. 0 means that it was not submitted.
	CopyID uint64
}

// Block is the position of a part in its upload.
type Block struct {
	// Tag identifies the upload.
	Tag string
	// Offset is the position of the first byte.
	Offset int
	// More reports that further blocks follow.
	More bool
	// Total is the size of the upload. A negative value means that the device did not say.
	Total int
}

// LinkSample is what a connection to a device has measured since its last sample. A zero field means no measurement.
type LinkSample struct {
	RoundTripMs float64
	// Bytes were delivered within TransferMs.
	Bytes      int
	TransferMs float64
	// MaxGapMs is the longest time without a byte within a message.
	MaxGapMs float64
}
