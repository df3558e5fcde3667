package soak

import (
	"fmt"
	"testing"
	"time"

	"gaugerelay/internal/testbed/linkshaper"
)

// TestRetriedWritesExecuteOnce checks devices that give up before a server has responded, and so send each write at least
// twice. With deduplication none is executed twice, over any protocol, and all are served. Without it some are, which shows
// that the test provokes what it is about.
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
				t.Errorf("%d writes, %d executions, %d served in time, %v", report.Writes, report.WriteExecutions, report.ServedInTime,
					report.Violations)
			}
			if !c.deduplication && repeated == 0 {
				t.Errorf("%d writes, %d executions: the test does not provoke what it is about", report.Writes, report.WriteExecutions)
			}
			t.Logf("%d writes, %d executed again", report.Writes, repeated)
		})
	}
}
