package dedup

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
)

// responseKinds are the kinds of response by those of the exchange store.
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

// copyID returns the store's id of a copy.
func copyID(request *lifecycle.Request) exchange.CopyID {
	return exchange.CopyID(request.Device.CopyID)
}

// copyReceived returns the event of a copy with its entire body, given the body's digest and size.
func (c *Coordinator) copyReceived(request *lifecycle.Request, bodyDigest [sha256.Size]byte, size int) exchange.CopyReceived {
	device := request.Device
	digest := sha256.Sum256(append(device.HeadDigest[:], bodyDigest[:]...))
	return exchange.CopyReceived{
		Copy:          copyID(request),
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

// blockReceived returns the event of a block of an upload.
func (c *Coordinator) blockReceived(request *lifecycle.Request) exchange.BlockReceived {
	device := request.Device
	return exchange.BlockReceived{
		Copy:          copyID(request),
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

// resendHistory returns what a device says about earlier copies of a request.
func (c *Coordinator) resendHistory(request *lifecycle.Request) exchange.ResendHistory {
	previous := request.Device.PreviousGateway
	return exchange.ResendHistory{
		IsRetry:     request.IsRetry,
		SameGateway: previous != "" && previous == c.options.GatewayName,
		AgeMs:       request.Device.AgeMs,
	}
}

// linkSample converts the measurement of a link to the store's form.
func linkSample(sample lifecycle.LinkSample) exchange.LinkSample {
	return exchange.LinkSample{RoundTripMs: sample.RoundTripMs, Bytes: sample.Bytes, TransferMs: sample.TransferMs,
		MaxGapMs: sample.MaxGapMs}
}
