package gateway

import (
	"fmt"
	"log/slog"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"

	"gaugerelay/internal/logevent"
	"gaugerelay/internal/workbudget"
)

const (
	// processorCheckIntervalMs is the time between two looks at the waits for a processor, in milliseconds.
	processorCheckIntervalMs = 500
	// longWaitMs is how long a goroutine must have waited for a processor, in milliseconds, for the wait to count as long. The
	// platform's latency objectives are 100 ms or more, and a request waits several times.
	longWaitMs = 20
	// minLongWaits is the number of long waits in an interval from which on the process counts as starved. The runtime samples the waits.
	minLongWaits = 4
	// busiestLogged is the number of connections and of hosts that a record of a starved process names.
	busiestLogged = 3
)

// Names of metrics.
const (
	counterLongWaits   = "processor_long_waits" // sampled by the runtime
	counterStarved     = "processor_starved"    // intervals with minLongWaits or more
	gaugeProcessorWait = "processor_longest_wait_us_now"
)

// runtimeWaits is the runtime's histogram of the time that goroutines have waited for a processor before they ran, in seconds.
const runtimeWaits = "/sched/latencies:seconds"

// processorMonitor counts the waits of goroutines for a processor, and logs which clients have caused the most work when the waits are
// long. It checks on the timers of the clock until it is closed.
type processorMonitor struct {
	gateway *Gateway
	work    *workbudget.Budget
	closed  atomic.Bool
	events  logevent.Limiter

	longestWaitUs atomic.Int64 // of the last interval

	mu       sync.Mutex
	previous []uint64 // counts of the runtime's histogram at the last check
}

// startProcessorMonitor starts a monitor and adds its gauge.
func startProcessorMonitor(g *Gateway) *processorMonitor {
	m := &processorMonitor{gateway: g, work: g.clientWork}
	g.Metrics.AddGauge(gaugeProcessorWait, m.longestWaitUs.Load)
	m.observe(readWaits())
	g.Clock.AfterFunc(processorCheckIntervalMs, m.check)
	return m
}

// check counts the waits since the last check, logs if the process is starved, and schedules the next check.
func (m *processorMonitor) check() {
	if m.closed.Load() {
		return
	}
	waits := m.observe(readWaits())
	m.longestWaitUs.Store(int64(waits.longestMs * microsPerMs))
	m.gateway.Metrics.Add(counterLongWaits, waits.long)
	if waits.long >= minLongWaits {
		m.gateway.Metrics.Add(counterStarved, 1)
		m.report(waits)
	}
	m.gateway.Clock.AfterFunc(processorCheckIntervalMs, m.check)
}

const (
	microsPerMs = 1e3
	msPerSecond = 1e3
)

// waits are the waits for a processor in an interval.
type waits struct {
	long      int64   // number of sampled waits of at least longWaitMs
	longestMs float64 // lower bound of the longest sampled wait
}

// readWaits reads the runtime's histogram.
func readWaits() *metrics.Float64Histogram {
	samples := []metrics.Sample{{Name: runtimeWaits}}
	metrics.Read(samples)
	return samples[0].Value.Float64Histogram()
}

// observe returns the waits since the last call.
func (m *processorMonitor) observe(histogram *metrics.Float64Histogram) waits {
	m.mu.Lock()
	defer m.mu.Unlock()
	var result waits
	for i, count := range histogram.Counts {
		if m.previous == nil || count == m.previous[i] {
			continue
		}
		waitMs := max(0, histogram.Buckets[i]) * msPerSecond
		result.longestMs = max(result.longestMs, waitMs)
		if waitMs >= longWaitMs {
			result.long += int64(count - m.previous[i])
		}
	}
	m.previous = append(m.previous[:0], histogram.Counts...)
	return result
}

// report logs the waits and the busiest clients.
func (m *processorMonitor) report(waits waits) {
	suppressed, ok := m.events.Allow(logevent.ProcessorStarved)
	if !ok {
		return
	}
	connections, hosts := m.work.Busiest(busiestLogged)
	slog.Warn(logevent.ProcessorStarved, logevent.LongWaits, waits.long, logevent.LongestWaitMs, waits.longestMs,
		logevent.BusiestClients, formatUsages(connections), logevent.BusiestHosts, formatUsages(hosts), logevent.Suppressed, suppressed)
}

// formatUsages returns the clients and their work in milliseconds.
func formatUsages(usages []workbudget.Usage) string {
	texts := make([]string, 0, len(usages))
	for _, used := range usages {
		texts = append(texts, fmt.Sprintf("%s=%.1fms", used.Client, float64(used.Work)/microsPerMs))
	}
	return strings.Join(texts, " ")
}

// close ends the monitor. It may be called more than once.
func (m *processorMonitor) close() { m.closed.Store(true) }
