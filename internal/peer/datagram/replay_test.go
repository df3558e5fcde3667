package datagram

import "testing"

// TestReplayWindow checks that a datagram counts as replayed if its sequence number was received before or is too old. A number is
// too old if it is more than 64 (replayWindowSize) below the latest one. A new incarnation starts with an empty window.
func TestReplayWindow(t *testing.T) {
	var window ReplayWindow
	for i, c := range []struct {
		incarnation uint32
		seq         uint64
		replayed    bool
	}{
		{1, 5, false}, {1, 5, true}, {1, 4, false}, {1, 4, true}, {1, 7, false}, {1, 6, false}, {1, 5, true}, {1, 90, false},
		{1, 7, true}, {1, 27, false}, {1, 27, true}, {1, 1000, false}, {1, 999, false}, {1, 90, true}, {2, 1, false},
		{2, 1, true},
	} {
		if got := window.Replayed(c.incarnation, c.seq); got != c.replayed {
			t.Errorf("datagram %d, with sequence number %d of incarnation %d: Replayed returned %v, want the opposite",
				i, c.seq, c.incarnation, got)
		}
	}
}
