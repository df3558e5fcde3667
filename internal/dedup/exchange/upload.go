package exchange

import (
	"cmp"
	"slices"
)

// block is a received block of an upload.
type block struct {
	offset, length int
	digest         uint64
}

// upload is a body that is received in blocks, in order, over any number of connections. A complete upload is kept with its
// exchange, though not its bytes. Its list of blocks serves to distinguish blocks that the device repeats, because their
// acknowledgements were lost, from blocks of another body.
type upload struct {
	tag      string
	received int // number of bytes received
	total    int // announced size; negative: unknown
	complete bool
	blocks   []block // received blocks, sorted by offset
}

// blockMatch is the result of comparing a block with the received blocks of an upload.
type blockMatch uint8

const (
	blockNew       blockMatch = iota // no block with the same offset and length was received
	blockDuplicate                   // the same block was received before
	blockDifferent                   // a block with the same offset and length, but other content or another More flag, was received
)

// String returns the match in lower case.
func (m blockMatch) String() string { return nameOf(int(m), "new", "duplicate", "different") }

// match compares a block with the received blocks. The upload may be nil.
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

// onBlock handles a block. The transmission of the last block waits for the response of the exchange; those of other blocks
// get a response immediately.
func (s *Store) onBlock(received *BlockReceived) {
	mayHaveExecuted := s.earlierMayHaveExecuted(received.Idempotency, &received.ResendHistory)
	device := s.findOrAddDevice(received.Device)
	if device == nil {
		s.reject(received.Transmission, nil, ResponseBusy, mayHaveExecuted)
		return
	}
	device.link.Observe(received.Link)
	exchange := s.exchangeForBlock(device, received, mayHaveExecuted)
	if exchange == nil {
		return
	}
	if !s.acceptPosition(exchange, received, exchange.upload.match(received)) {
		return
	}
	// acceptPosition may have started a new upload, which does not have the block even if the earlier one had.
	if exchange.upload.match(received) != blockDuplicate && !s.appendBlock(exchange, received, mayHaveExecuted) {
		return
	}
	exchange.lastActivityMs = s.nowMs
	s.updateEvictable(exchange)
	s.armTimer(exchange)
	if !received.More {
		s.emit(AssembleBody{ID: exchange.id, Transmission: received.Transmission})
		return
	}
	s.respond(received.Transmission, Respond{Kind: ResponseContinue, BufferedBytes: exchange.upload.received,
		Advice: s.advice(device)})
}

// exchangeForBlock returns the exchange of a block. For the first block of an upload it adds the exchange if there is none. If it
// has no exchange to return, it responds to the transmission and returns nil.
func (s *Store) exchangeForBlock(device *trackedDevice, received *BlockReceived, mayHaveExecuted bool) *storedExchange {
	exchange := device.exchanges[received.Key]
	if exchange != nil && exchange.state == stateReceiving && s.nowMs > exchange.deadlineMs {
		s.forget(exchange) // the device stopped waiting for that upload and now starts another
		exchange = nil
	}
	switch {
	case exchange != nil:
		return exchange
	case received.Offset != 0: // the earlier blocks were lost, for instance at a restart of this gateway
		s.respondIncomplete(received.Transmission, device, 0)
		return nil
	default:
		return s.beginUpload(device, received, mayHaveExecuted)
	}
}

// beginUpload adds an exchange for the first block of its upload, or rejects the transmission and returns nil.
func (s *Store) beginUpload(device *trackedDevice, received *BlockReceived, mayHaveExecuted bool) *storedExchange {
	if s.shuttingDown {
		s.reject(received.Transmission, device, ResponseBusy, mayHaveExecuted)
		return nil
	}
	if s.tooLate(received.RemainingMs) {
		s.reject(received.Transmission, device, ResponseTooLate, mayHaveExecuted)
		return nil
	}
	added := s.addExchange(device, received.Key, received.Length)
	if added == nil {
		s.reject(received.Transmission, device, ResponseBusy, mayHaveExecuted)
		return nil
	}
	added.deadlineMs = s.nowMs + device.link.remainingOnArrivalMs(received.RemainingMs)
	s.stats.UploadsStarted++
	s.updateEvictable(added)
	s.armTimer(added)
	return added
}

// acceptPosition reports whether a block continues the upload of its exchange, repeats one of its blocks, or starts a new upload
// as the first block of another body. If none of these holds, acceptPosition responds to the transmission and returns false.
func (s *Store) acceptPosition(exchange *storedExchange, received *BlockReceived, match blockMatch) bool {
	current := exchange.upload
	switch {
	case current == nil && received.Offset != 0:
		s.respondIncomplete(received.Transmission, exchange.device, 0)
		return false
	case current == nil, received.Offset == 0 && (current.tag != received.Tag || match != blockDuplicate):
		// This is the first body, a body with another tag, or, as RFC 7959 allows, a new body with the same tag.
		s.dropUpload(exchange)
		exchange.upload = &upload{tag: received.Tag, total: received.TotalBytes}
		return true
	case current.tag != received.Tag:
		s.respondIncomplete(received.Transmission, exchange.device, 0)
		return false
	case match == blockDifferent, current.contradictsTotal(received.TotalBytes):
		s.abortUpload(exchange, received.Transmission, ResponseConflict)
		return false
	case match == blockNew && current.complete:
		// Nothing can be appended to a complete upload. The device must start a new body, which is compared with that of the
		// exchange once it is complete.
		s.respondIncomplete(received.Transmission, exchange.device, 0)
		return false
	case match == blockNew && received.Offset != current.received:
		s.respondIncomplete(received.Transmission, exchange.device, current.received)
		return false
	}
	return true
}

// contradictsTotal reports whether the announced size of a body differs from the size announced before.
func (u *upload) contradictsTotal(total int) bool {
	return total >= 0 && u.total >= 0 && total != u.total
}

// appendBlock adds a block to the upload of its exchange. If that exceeds the limits, it responds to the transmission and
// returns false.
func (s *Store) appendBlock(exchange *storedExchange, received *BlockReceived, mayHaveExecuted bool) bool {
	current := exchange.upload
	if current.total < 0 {
		current.total = received.TotalBytes
	}
	if s.exceedsLimits(current, received) {
		s.abortUpload(exchange, received.Transmission, ResponseTooLarge)
		return false
	}
	exchange.lastActivityMs = s.nowMs
	s.protectFromEviction(exchange)
	fits := s.ensureCapacity(0, received.Length)
	s.updateEvictable(exchange)
	if !fits {
		s.armTimer(exchange)
		s.reject(received.Transmission, exchange.device, ResponseBusy, mayHaveExecuted || exchange.mayHaveExecuted)
		return false
	}
	current.blocks = append(current.blocks, block{received.Offset, received.Length, received.Digest})
	current.received, current.complete = received.Offset+received.Length, !received.More
	s.setStoredBytes(exchange, exchange.bodyBytes, exchange.uploadBytes+received.Length, exchange.responseBytes)
	s.emit(AppendBlock{ID: exchange.id, Transmission: received.Transmission})
	return true
}

// exceedsLimits reports whether a block makes an upload larger than allowed or announced, ends it before its announced size,
// exceeds the maximum number of blocks, or is empty without being the last one.
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

// dropUpload releases the bytes stored of an upload. An execution that has started retains its body.
func (s *Store) dropUpload(exchange *storedExchange) {
	exchange.upload = nil
	s.setStoredBytes(exchange, exchange.bodyBytes, 0, exchange.responseBytes)
	s.emit(Release{ID: exchange.id, Body: true})
}

// abortUpload ends an upload whose blocks contradict each other or exceed the limits. An exchange that has been executed stays
// in the store.
func (s *Store) abortUpload(exchange *storedExchange, id TransmissionID, kind ResponseKind) {
	s.respond(id, Respond{Kind: kind, Advice: s.advice(exchange.device)})
	if exchange.state == stateReceiving {
		s.forget(exchange)
		return
	}
	s.dropUpload(exchange)
}

// respondIncomplete reports to a device how many bytes of its upload are stored. The device must continue at that offset.
func (s *Store) respondIncomplete(id TransmissionID, device *trackedDevice, bufferedBytes int) {
	s.respond(id, Respond{Kind: ResponseIncomplete, BufferedBytes: bufferedBytes, Advice: s.advice(device)})
}
