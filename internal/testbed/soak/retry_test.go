package soak

import (
	"fmt"
	"testing"
	"time"

	"gaugerelay/internal/testbed/linkshaper"
)

// TestRetriedWritesExecuteOnce checks that retried writes are executed once. The devices give up a connection after 8 ms without a
// response, and servers respond after 20 ms (serviceTime), so the devices send each write at least twice. With deduplication, no
// write may be executed twice and all must be served, over each protocol. Without deduplication, at least one write must be executed
// twice; this shows that the devices do retry.
func TestRetriedWritesExecuteOnce(t *testing.T) {
	for _, c := range []struct {
		protocol      string
		deduplication bool
	}{{"c", true}, {"h", true}, {"f", true}, {"h", false}, {"f", false}} {
		t.Run(fmt.Sprintf("protocol %s deduplication %v", c.protocol, c.deduplication), func(t *testing.T) {
			report := runInBubble(t, Options{Duration: 8 * time.Second, Seed: 3, Devices: 6, Protocols: c.protocol,
				Deduplication: c.deduplication, Links: []linkshaper.Profile{{}}, ResponseTimeout: 8 * time.Millisecond, WritesOnly: true})
			repeated := report.WriteExecutions - report.Writes
			if c.deduplication && (report.Writes < 60 || repeated != 0 || report.ViolationCount() != 0 || report.ServedInTime != report.Writes) {
				t.Errorf("%d writes, %d executions, %d served in time, violations %v; want 60 or more writes, each executed and served once",
					report.Writes, report.WriteExecutions, report.ServedInTime, report.Violations)
			}
			if !c.deduplication && repeated == 0 {
				t.Errorf("%d writes, %d executions without deduplication; want more executions than writes",
					report.Writes, report.WriteExecutions)
			}
			t.Logf("%d writes, %d repeated executions", report.Writes, repeated)
		})
	}
}
