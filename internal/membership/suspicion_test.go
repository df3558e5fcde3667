package membership

import "testing"

// TestConfirmationsShortenSuspicion checks that confirmations by further members shorten the suspicion timeout, and that
// each member counts once.
func TestConfirmationsShortenSuspicion(t *testing.T) {
	settings := DefaultSettings(0, 10, 9, 1)
	shortest, longest := settings.SuspicionBoundsMs()
	list := newMemberlist(t, 10, 1)
	list.Step(0, nil)
	previous := longest + 1
	for i := range uint16(settings.ExpectedConfirmations + 2) {
		for range 2 {
			list.applyUpdate(0, Update{Member: 5, State: Suspect, SuspectedBy: 1 + i})
		}
		got := list.suspicionTimeoutMs(&list.members[5])
		if i <= uint16(settings.ExpectedConfirmations) && got >= previous || got < shortest {
			t.Errorf("suspicion timeout with %d suspecting members is %v ms, want less than the previous %v ms and at least %v ms",
				i+1, got, previous, shortest)
		}
		previous = got
	}
	if previous != shortest {
		t.Errorf("suspicion timeout with all confirmations is %v ms, want %v ms", previous, shortest)
	}
}
