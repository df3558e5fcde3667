package datagram

// replayWindowSize is the number of sequence numbers before the latest one that a ReplayWindow remembers.
const replayWindowSize = 64

// ReplayWindow detects duplicates among the datagrams of one sender. Duplicate messages are harmless, but detecting them here
// avoids work and allows counting them. The zero value is an empty window. It is not safe for concurrent use.
type ReplayWindow struct {
	incarnation uint32
	latest      uint64 // greatest sequence number received
	earlier     uint64 // bit i is set if the datagram with sequence number latest-1-i has been received
}

// Replayed records the datagram with the given sequence number and reports whether it was received before. It also returns
// true for a datagram that is too old for the window, which no longer shows whether the datagram was received. A datagram of
// another incarnation resets the window.
func (w *ReplayWindow) Replayed(incarnation uint32, seq uint64) bool {
	switch {
	case incarnation != w.incarnation:
		*w = ReplayWindow{incarnation: incarnation, latest: seq}
		return false
	case seq > w.latest:
		w.advance(seq)
		return false
	case seq == w.latest || w.latest-seq > replayWindowSize:
		return true
	}
	bit := uint64(1) << (w.latest - seq - 1)
	replayed := w.earlier&bit != 0
	w.earlier |= bit
	return replayed
}

// advance moves the window to a new greatest sequence number.
func (w *ReplayWindow) advance(seq uint64) {
	distance := seq - w.latest
	w.latest = seq
	if distance > replayWindowSize {
		w.earlier = 0
		return
	}
	w.earlier = w.earlier<<distance | 1<<(distance-1)
}
