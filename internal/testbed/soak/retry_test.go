package soak

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed/linkshaper"
)

// Devices whose patience is shorter than a node's answer send each push at least twice. With the ledger none of them
// runs twice, over any of the protocols, and all are served; without it they do, which is what the ledger is for.
func TestResentPushesRunOnce(t *testing.T) {
	for _, c := range []struct {
		wires    string
		patience time.Duration
		ledger   bool
	}{{"c", 8 * time.Millisecond, true}, {"h", 8 * time.Millisecond, true}, {"f", 8 * time.Millisecond, true},
		{"h", 8 * time.Millisecond, false}, {"f", 8 * time.Millisecond, false}} {
		rep := inBubble(t, Options{Duration: 8 * time.Second, Seed: 3, Devices: 6, Protocols: c.wires, Deduplication: c.ledger,
			Links: []linkshaper.Profile{{}}, ResponseTimeout: c.patience, WritesOnly: true})
		again := rep.WriteExecutions - rep.Writes
		if c.ledger && (rep.Writes < 60 || again != 0 || rep.ViolationCount() != 0 || rep.ServedInTime != rep.Writes) {
			t.Errorf("%+v: %d writes, %d runs, %d served in time, %v", c, rep.Writes, rep.WriteExecutions, rep.ServedInTime, rep.Violations)
		}
		if !c.ledger && again == 0 {
			t.Errorf("%+v: %d writes, %d runs: the test does not provoke what it is about", c, rep.Writes, rep.WriteExecutions)
		}
		t.Logf("%+v: %d writes, %d runs again", c, rep.Writes, again)
	}
}
