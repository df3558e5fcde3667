package gateway

import (
	"math"
	"runtime/metrics"
	"strings"
	"testing"

	"gaugerelay/internal/workbudget"
)

// Waits that are long must be counted once, with the longest of each interval.
func TestProcessorMonitorCountsWaitsOfTheInterval(t *testing.T) {
	m := &processorMonitor{}
	buckets := []float64{math.Inf(-1), 0, 0.001, 0.05, 2, math.Inf(1)} // seconds
	for _, step := range []struct {
		counts []uint64
		want   waits
	}{
		{[]uint64{0, 10, 10, 9, 0}, waits{}}, // waits before the start of the monitor
		{[]uint64{1, 500, 10, 9, 0}, waits{}},
		{[]uint64{1, 500, 11, 9, 0}, waits{longestMs: 1}},
		{[]uint64{1, 500, 11, 12, 1}, waits{long: 4, longestMs: 2000}},
		{[]uint64{1, 500, 11, 12, 1}, waits{}},
	} {
		got := m.observe(&metrics.Float64Histogram{Counts: step.counts, Buckets: buckets})
		if got != step.want {
			t.Errorf("with the counts %v the waits are %+v, want %+v", step.counts, got, step.want)
		}
	}
}

// The runtime must have the histogram that the monitor reads.
func TestRuntimeCountsWaitsForAProcessor(t *testing.T) {
	if histogram := readWaits(); len(histogram.Counts) == 0 {
		t.Error("the runtime's histogram of waits is empty")
	}
}

func TestFormatUsages(t *testing.T) {
	text := formatUsages([]workbudget.Usage{{Client: "127.0.0.1:1", Work: 1500}, {Client: "127.0.0.2:2", Work: 20}})
	if want := "127.0.0.1:1=1.5ms 127.0.0.2:2=0.0ms"; strings.TrimSpace(text) != want {
		t.Errorf("the text is %q, want %q", text, want)
	}
}
