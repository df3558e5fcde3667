package dedup

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
)

// responseKinds maps the exchange store's kinds of response to those of the request life cycle.
var responseKinds = [...]lifecycle.ResponseKind{
	exchange.ResponseServed:     lifecycle.Served,
	exchange.ResponseRejected:   lifecycle.Rejected,
	exchange.ResponseBusy:       lifecycle.Rejected,
	exchange.ResponseTooLate:    lifecycle.Rejected,
	exchange.ResponseFailed:     lifecycle.Failed,
	exchange.ResponseConflict:   lifecycle.Conflict,
	exchange.ResponseContinue:   lifecycle.Continue,
	exchange.ResponseIncomplete: lifecycle.Incomplete,
	exchange.ResponseTooLarge:   lifecycle.TooLarge,
	exchange.ResponseSuperseded: lifecycle.Superseded,
}

// transmissionID returns the id of a transmission in the exchange store.
func transmissionID(request *lifecycle.Request) exchange.TransmissionID {
	return exchange.TransmissionID(request.Device.TransmissionID)
}

// transmissionReceived returns the event of a transmission with an entire body of the given digest and size.
func (c *Coordinator) transmissionReceived(request *lifecycle.Request, bodyDigest [sha256.Size]byte,
	size int) exchange.TransmissionReceived {
	device := request.Device
	digest := sha256.Sum256(append(device.HeadDigest[:], bodyDigest[:]...))
	return exchange.TransmissionReceived{
		Transmission:  transmissionID(request),
		Device:        device.ID,
		Key:           device.Key,
		Class:         c.classes[request.Class],
		Digest:        exchange.Digest(digest[:len(exchange.Digest{})]),
		BodyBytes:     size,
		RemainingMs:   request.RemainingMs,
		ClientDelayMs: request.ClientDelayMs,
		Shard:         request.Shard,
		ResendHistory: c.resendHistory(request),
		Link:          linkSample(device.Link),
	}
}

// blockReceived returns the event of a transmission with a block of an upload.
func (c *Coordinator) blockReceived(request *lifecycle.Request) exchange.BlockReceived {
	device := request.Device
	return exchange.BlockReceived{
		Transmission:  transmissionID(request),
		Device:        device.ID,
		Key:           device.Key,
		Tag:           device.Block.Tag,
		Offset:        device.Block.Offset,
		Length:        len(device.Body),
		Digest:        xxhash.Sum64(device.Body),
		More:          device.Block.More,
		TotalBytes:    device.Block.Total,
		Idempotency:   c.classes[request.Class].Idempotency,
		ResendHistory: c.resendHistory(request),
		RemainingMs:   request.RemainingMs,
		Link:          linkSample(device.Link),
	}
}

// resendHistory returns what a device reports about earlier transmissions of a request.
func (c *Coordinator) resendHistory(request *lifecycle.Request) exchange.ResendHistory {
	previous := request.Device.PreviousGateway
	return exchange.ResendHistory{
		IsRetry:     request.IsRetry,
		SameGateway: previous != "" && previous == c.options.GatewayName,
		AgeMs:       request.Device.AgeMs,
	}
}

// linkSample converts the measurements of a link to the type of the exchange store.
func linkSample(sample lifecycle.LinkSample) exchange.LinkSample {
	return exchange.LinkSample{RoundTripMs: sample.RoundTripMs, Bytes: sample.Bytes, TransferMs: sample.TransferMs,
		MaxGapMs: sample.MaxGapMs}
}
