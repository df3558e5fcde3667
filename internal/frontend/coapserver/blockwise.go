package coapserver

import "gaugerelay/internal/coapwire"

const (
	maxResponseOverhead = 64 // bytes; upper bound on the header and options of a served response
	minBlockSize        = 16 // bytes (RFC 7959, 2.2)
)

// peerLimits holds what a device can receive and which block size suits its link.
type peerLimits struct {
	maxPayload         int  // maximum payload of a served response in bytes
	blockwise          bool // the device supports block-wise transfer
	bert               bool // the device accepts several blocks of 1 KiB in a message (RFC 8323, 6)
	preferredBlockSize int  // block size in bytes that suits the measured link; 0: not known
}

// peerLimits returns the current limits of the device.
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

// fitsInOneMessage reports whether to send a body of the given length in one message. The device must be able to receive it,
// and it must not exceed the preferred block size unless the device does not support block-wise transfer.
func (l peerLimits) fitsInOneMessage(length int) bool {
	if length > l.maxPayload {
		return false
	}
	return l.preferredBlockSize == 0 || length <= l.preferredBlockSize || !l.blockwise
}

// responseBlock returns the block to send when the device requests a block, and how many bytes of the body it may hold. The returned
// block has the requested offset and at most the requested size. The caller sets its field More.
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

// bertLength returns how many payload bytes to send in one BERT message: a positive multiple of coapwire.BERTBlockSize.
func (l peerLimits) bertLength() int {
	length := l.maxPayload
	if l.preferredBlockSize > 0 {
		length = max(l.preferredBlockSize, coapwire.BERTBlockSize)
	}
	units := min(l.maxPayload, length) / coapwire.BERTBlockSize
	return max(1, units) * coapwire.BERTBlockSize
}

// isTooLarge reports whether a block size exceeds what the device can receive or the preferred block size.
func (l peerLimits) isTooLarge(size int) bool {
	return size > l.maxPayload || l.preferredBlockSize >= minBlockSize && size > l.preferredBlockSize
}
