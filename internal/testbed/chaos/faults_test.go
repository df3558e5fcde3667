package chaos

import (
	"strings"
	"testing"
)

func TestParseFaults(t *testing.T) {
	if names, err := ParseFaults("kill,pause"); err != nil || strings.Join(names, " ") != "kill pause" {
		t.Errorf("ParseFaults(\"kill,pause\") = %v, error %v, want kill and pause without an error", names, err)
	}
	if _, err := ParseFaults("kill,nothing"); err == nil {
		t.Error("ParseFaults with the unknown fault \"nothing\" returned no error, want one")
	}
}

// TestSeedDrawsSameFaults checks that a seed draws the same faults on all machines and in all versions, so that a run can be
// reproduced.
func TestSeedDrawsSameFaults(t *testing.T) {
	schedule := newFaultSchedule(1, nil)
	if len(schedule.pool) != 29 {
		t.Errorf("sum of the weights of all faults = %d, want 29", len(schedule.pool))
	}
	for i, want := range []struct {
		name      string
		ownNumber uint64 // first random number from scheduledFault.random
	}{
		{"server-behavior", 0x69d48dac159e75eb},
		{"server-behavior", 0xc7d0f112436934de},
		{"watches-reset", 0xb9fc6f75aedbde0b},
		{"stop", 0x411d4ee4172efd4a},
		{"reload", 0x8a218d31fe11ca8d},
		{"server-behavior", 0xafcaa29d286cc236},
		{"kill", 0x9b424d80aa1e2486},
		{"replace", 0x4fbac433ca98b3d6},
		{"discovery-down", 0x84d9223b7166a38e},
		{"server-behavior", 0xd001490c2cc2bc80},
		{"replace", 0x16221d71f920ce1d},
		{"kill", 0xa23010a920e79d4d},
	} {
		if next := schedule.next(); next.name != want.name || next.random.Uint64() != want.ownNumber {
			t.Errorf("fault %d is %s, want %s whose first own random number is the recorded one", i, next.name, want.name)
		}
	}
}
