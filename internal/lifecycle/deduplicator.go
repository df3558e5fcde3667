package lifecycle

// Deduplicator handles device requests. A device may transmit the same request several times; the Deduplicator submits a request
// for each execution that is needed. Its methods are called on the Manager's goroutine; nowMs is the current time in milliseconds.
type Deduplicator interface {
	// Submit handles a transmission of a device request. Its field Device must be set.
	Submit(nowMs float64, request *Request)
	// Cancel handles the cancellation of a request, including one that was never passed to Submit.
	Cancel(nowMs float64, request *Request)
	// ResponseWritten records that the response to a request was written to its connection.
	ResponseWritten(nowMs float64, request *Request, link LinkSample)
	// LinkMeasured records a measurement of a device's link.
	LinkMeasured(nowMs float64, device string, link LinkSample)
	// Drain stops the admission of new exchanges.
	Drain(nowMs float64)
}

// DeviceRequest describes one transmission of a device request and identifies the exchange that it belongs to.
type DeviceRequest struct {
	// ID identifies the device, and Key identifies the exchange among those of the device.
	ID, Key string
	// HeadDigest is the digest of the request without its body.
	HeadDigest [32]byte
	// BodyDigest is the digest of the body. It is set for a complete body only.
	BodyDigest [32]byte
	// Body is the complete body or, if Block is set, the bytes of the block.
	Body []byte
	// Block is the position of Body in an upload that is sent in blocks. It is nil for a complete body.
	Block *Block
	// AgeMs is how long ago the device first sent the request. A negative value means unknown.
	AgeMs float64
	// PreviousGateway is the name of the gateway that the device sent earlier transmissions to. The empty string means unknown.
	PreviousGateway string
	// Link holds what the connection has measured since its previous LinkSample was taken.
	Link LinkSample
	// BuildPayload returns the Request.Payload for an execution of the exchange. id is the id under which servers know that
	// execution; each execution has a different one.
	BuildPayload func(id string, body []byte) any

	// TransmissionID is the number that the Deduplicator has assigned to this transmission. 0 means that it was not submitted.
	TransmissionID uint64
}

// Block is the position of a block in an upload.
type Block struct {
	// Tag identifies the upload.
	Tag string
	// Offset is the position of the block's first byte in the upload.
	Offset int
	// More reports that further blocks follow.
	More bool
	// Total is the size of the upload in bytes. A negative value means unknown.
	Total int
}

// LinkSample holds what a connection to a device has measured since its last sample. A zero field means no measurement.
type LinkSample struct {
	RoundTripMs float64
	// Bytes is the number of bytes that were delivered within TransferMs.
	Bytes      int
	TransferMs float64
	// MaxGapMs is the longest time between two consecutive bytes of a message.
	MaxGapMs float64
}
