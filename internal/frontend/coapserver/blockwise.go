package coapserver

import "gaugerelay/internal/coapwire"

const (
	maxResponseOverhead = 64 // bytes that a served response has beside its payload, at most
	minBlockSize        = 16 // bytes (RFC 7959, 2.2)
)

// peerLimits is what a device can receive, and what suits its link.
type peerLimits struct {
	maxPayload         int  // bytes
	blockwise          bool // the device supports block-wise transfer
	bert               bool // the device accepts several blocks of 1 KiB in a message (RFC 8323, 6)
	preferredBlockSize int  // bytes; 0: not known
}

// peerLimits returns the present limits of the device.
func (c *conn) peerLimits() peerLimits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peerLimits{
		maxPayload:         c.peerMaxMessageSize - maxResponseOverhead,
		blockwise:          c.peerBlockwise,
		bert:               c.peerBlockwise && c.peerMaxMessageSize > coapwire.DefaultMaxMessageSize,
		preferredBlockSize: c.preferredBlockSize,
	}
}

// fitsInOneMessage reports whether a body of a length is sent in one message: if the device can receive it, and the link is
// not better served with blocks.
func (l peerLimits) fitsInOneMessage(length int) bool {
	if length > l.maxPayload {
		return false
	}
	return l.preferredBlockSize == 0 || length <= l.preferredBlockSize || !l.blockwise
}

// responseBlock returns the block to send for the one that a request asks for, at the same offset, and how many bytes of
// the body it may hold. The block's More is not set.
func (l peerLimits) responseBlock(requested coapwire.Block) (block coapwire.Block, length int) {
	if requested.BERT && l.bert {
		length = l.bertLength()
		return coapwire.Block{Offset: requested.Offset, Size: requested.Size, BERT: true}, length
	}
	size := requested.Size
	for size > minBlockSize && l.isTooLarge(size) {
		size /= 2
	}
	return coapwire.Block{Offset: requested.Offset, Size: size}, size
}

// bertLength returns how many bytes to send in a message with BERT: a multiple of its unit, and at least one.
func (l peerLimits) bertLength() int {
	length := l.maxPayload
	if l.preferredBlockSize > 0 {
		length = max(l.preferredBlockSize, coapwire.BERTBlockSize)
	}
	units := min(l.maxPayload, length) / coapwire.BERTBlockSize
	return max(1, units) * coapwire.BERTBlockSize
}

// isTooLarge reports whether a block of a size is more than the device can receive or the link is well served with.
func (l peerLimits) isTooLarge(size int) bool {
	return size > l.maxPayload || l.preferredBlockSize >= minBlockSize && size > l.preferredBlockSize
}
