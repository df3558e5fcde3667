package exchange

import (
	"cmp"
	"slices"
)

// block is a block that an upload has received.
type block struct {
	offset, length int
	digest         uint64
}

// upload is a body that is received in blocks, in order, over as many connections as it takes. A complete one is
// remembered with its exchange, without its bytes, so that repeated blocks whose acknowledgements were lost are
// distinguished from blocks of another body.
type upload struct {
	tag      string
	received int // bytes
	total    int // announced size; below zero: unknown
	complete bool
	blocks   []block // by offset
}

// blockMatch is how a block relates to those that an upload has received.
type blockMatch uint8

const (
	blockNew       blockMatch = iota // no block of its offset and length was received
	blockDuplicate                   // it was received before
	blockDifferent                   // one with other content, or with another end of the body, was received
)

// String returns the match in lower case.
func (m blockMatch) String() string { return nameOf(int(m), "new", "duplicate", "different") }

// match compares a block with those that were received. The upload may be nil.
func (u *upload) match(received *BlockReceived) blockMatch {
	if u == nil {
		return blockNew
	}
	i, found := slices.BinarySearchFunc(u.blocks, received.Offset, func(known block, offset int) int {
		return cmp.Compare(known.offset, offset)
	})
	if !found || u.blocks[i].length != received.Length {
		return blockNew
	}
	isLast := u.complete && i == len(u.blocks)-1
	if u.blocks[i].digest == received.Digest && isLast == !received.More {
		return blockDuplicate
	}
	return blockDifferent
}

// onBlock handles a block. Its copy gets a response at once, except for the last one's, which waits for the exchange's.
func (s *Store) onBlock(received *BlockReceived) {
	mayHaveExecuted := s.earlierMayHaveExecuted(received.Idempotency, &received.ResendHistory)
	device := s.admitDevice(received.Device)
	if device == nil {
		s.reject(received.Copy, nil, ResponseBusy, mayHaveExecuted)
		return
	}
	device.link.Observe(received.Link)
	exchange := s.exchangeOfBlock(device, received, mayHaveExecuted)
	if exchange == nil {
		return
	}
	match := exchange.upload.match(received)
	if !s.acceptPosition(exchange, received, match) {
		return
	}
	if match != blockDuplicate && !s.appendBlock(exchange, received, mayHaveExecuted) {
		return
	}
	exchange.lastActivityMs = s.nowMs
	s.updateEvictable(exchange)
	s.armTimer(exchange)
	if !received.More {
		s.emit(AssembleBody{ID: exchange.id, Copy: received.Copy})
		return
	}
	s.respond(received.Copy, Respond{Kind: ResponseContinue, BufferedBytes: exchange.upload.received,
		Advice: s.advice(device)})
}

// exchangeOfBlock returns the exchange that a block belongs to, which it begins with the first block of an upload. If
// there is none it responds to the copy and returns nil.
func (s *Store) exchangeOfBlock(device *trackedDevice, received *BlockReceived, mayHaveExecuted bool) *storedExchange {
	exchange := device.exchanges[received.Key]
	if exchange != nil && exchange.state == stateReceiving && s.nowMs > exchange.deadlineMs {
		s.forget(exchange) // the device gave up, and this is the start of another wait
		exchange = nil
	}
	switch {
	case exchange != nil:
		return exchange
	case received.Offset != 0: // for instance after a restart of this gateway
		s.respondIncomplete(received.Copy, device, 0)
		return nil
	default:
		return s.beginUpload(device, received, mayHaveExecuted)
	}
}

// beginUpload begins an exchange with the first block of its upload, or rejects the copy and returns nil.
func (s *Store) beginUpload(device *trackedDevice, received *BlockReceived, mayHaveExecuted bool) *storedExchange {
	if s.shuttingDown {
		s.reject(received.Copy, device, ResponseBusy, mayHaveExecuted)
		return nil
	}
	if s.tooLate(received.RemainingMs) {
		s.reject(received.Copy, device, ResponseTooLate, mayHaveExecuted)
		return nil
	}
	added := s.addExchange(device, received.Key, received.Length)
	if added == nil {
		s.reject(received.Copy, device, ResponseBusy, mayHaveExecuted)
		return nil
	}
	added.deadlineMs = s.nowMs + device.link.remainingHereMs(received.RemainingMs)
	s.stats.UploadsStarted++
	s.updateEvictable(added)
	s.armTimer(added)
	return added
}

// acceptPosition reports whether a block continues its exchange's upload, and starts a new upload where it begins one.
// Otherwise it responds to the copy.
func (s *Store) acceptPosition(exchange *storedExchange, received *BlockReceived, match blockMatch) bool {
	current := exchange.upload
	switch {
	case current == nil && received.Offset != 0:
		s.respondIncomplete(received.Copy, exchange.device, 0)
		return false
	case current == nil, received.Offset == 0 && (current.tag != received.Tag || match != blockDuplicate):
		// The first body, one under another tag, or, by RFC 7959, a new one under the same tag.
		s.dropUpload(exchange)
		exchange.upload = &upload{tag: received.Tag, total: received.TotalBytes}
		return true
	case current.tag != received.Tag:
		s.respondIncomplete(received.Copy, exchange.device, 0)
		return false
	case match == blockDifferent, current.otherTotal(received.TotalBytes):
		s.abortUpload(exchange, received.Copy, ResponseConflict)
		return false
	case match == blockNew && current.complete:
		// Nothing can be appended. The device begins a new body, which is compared once it is complete.
		s.respondIncomplete(received.Copy, exchange.device, 0)
		return false
	case match == blockNew && received.Offset != current.received:
		s.respondIncomplete(received.Copy, exchange.device, current.received)
		return false
	}
	return true
}

// otherTotal reports whether the announced size of a body differs from the one announced before.
func (u *upload) otherTotal(total int) bool { return total >= 0 && u.total >= 0 && total != u.total }

// appendBlock adds a block to its exchange's upload. Where the limits do not allow it, it responds to the copy and
// returns false.
func (s *Store) appendBlock(exchange *storedExchange, received *BlockReceived, mayHaveExecuted bool) bool {
	current := exchange.upload
	if current.total < 0 {
		current.total = received.TotalBytes
	}
	if s.exceedsLimits(current, received) {
		s.abortUpload(exchange, received.Copy, ResponseTooLarge)
		return false
	}
	exchange.lastActivityMs = s.nowMs
	s.protectFromEviction(exchange)
	fits := s.ensureCapacity(0, received.Length)
	s.updateEvictable(exchange)
	if !fits {
		s.armTimer(exchange)
		s.reject(received.Copy, exchange.device, ResponseBusy, mayHaveExecuted || exchange.mayHaveExecuted)
		return false
	}
	current.blocks = append(current.blocks, block{received.Offset, received.Length, received.Digest})
	current.received, current.complete = received.Offset+received.Length, !received.More
	s.setStoredBytes(exchange, exchange.bodyBytes, exchange.uploadBytes+received.Length, exchange.responseBytes)
	s.emit(AppendBlock{ID: exchange.id, Copy: received.Copy})
	return true
}

// exceedsLimits reports whether a block makes an upload larger than allowed or announced, or ends it before its
// announced size, or is empty without ending it.
func (s *Store) exceedsLimits(current *upload, received *BlockReceived) bool {
	end := received.Offset + received.Length
	if end > s.settings.MaxBodyBytes || current.total > s.settings.MaxBodyBytes {
		return true
	}
	if current.total >= 0 && (end > current.total || !received.More && end != current.total) {
		return true
	}
	return len(current.blocks) >= s.settings.MaxUploadBlocks || received.Length <= 0 && received.More
}

// dropUpload releases what is stored of an upload. A run that has begun retains its body.
func (s *Store) dropUpload(exchange *storedExchange) {
	exchange.upload = nil
	s.setStoredBytes(exchange, exchange.bodyBytes, 0, exchange.responseBytes)
	s.emit(Release{ID: exchange.id, Body: true})
}

// abortUpload ends an upload whose blocks contradict each other or the limits. An exchange that has run is remembered.
func (s *Store) abortUpload(exchange *storedExchange, id CopyID, kind ResponseKind) {
	s.respond(id, Respond{Kind: kind, Advice: s.advice(exchange.device)})
	if exchange.state == stateReceiving {
		s.forget(exchange)
		return
	}
	s.dropUpload(exchange)
}

// respondIncomplete tells a device how many bytes of its upload are stored, from where it must continue.
func (s *Store) respondIncomplete(id CopyID, device *trackedDevice, bufferedBytes int) {
	s.respond(id, Respond{Kind: ResponseIncomplete, BufferedBytes: bufferedBytes, Advice: s.advice(device)})
}
