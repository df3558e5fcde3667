package datagram

// replayWindowSize is the number of datagrams before the latest one that a ReplayWindow distinguishes.
const replayWindowSize = 64

// ReplayWindow detects duplicates among the datagrams of one sender. Each message tolerates duplicates; detecting them
// here avoids work and allows counting them. The zero value has seen no datagram. It is not safe for concurrent use.
type ReplayWindow struct {
	incarnation uint32
	latest      uint64
	earlier     uint64 // bit i: datagram latest-1-i has been received
}

// Replayed records the datagram with the given number and reports whether it was received before. Datagrams that are too
// old for the window count as received. Another incarnation than before empties the window.
func (w *ReplayWindow) Replayed(incarnation uint32, number uint64) bool {
	switch {
	case incarnation != w.incarnation:
		*w = ReplayWindow{incarnation: incarnation, latest: number}
		return false
	case number > w.latest:
		w.advance(number)
		return false
	case number == w.latest || w.latest-number > replayWindowSize:
		return true
	}
	bit := uint64(1) << (w.latest - number - 1)
	replayed := w.earlier&bit != 0
	w.earlier |= bit
	return replayed
}

// advance moves the window to a new latest datagram.
func (w *ReplayWindow) advance(number uint64) {
	distance := number - w.latest
	w.latest = number
	if distance > replayWindowSize {
		w.earlier = 0
		return
	}
	w.earlier = w.earlier<<distance | 1<<(distance-1)
}
