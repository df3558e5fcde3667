package gateway

import (
	"log/slog"
	"runtime/metrics"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/logevent"
)

const (
	// memoryCheckIntervalMs is the time between two looks at the memory in use, in milliseconds.
	memoryCheckIntervalMs = 500
	// highMemoryFraction is the fraction of the platform's memory limit above which the memory in use is logged.
	highMemoryFraction = 0.7
	bytesPerMB         = 1 << 20
)

// The platform's memory limit is divided as follows. The pages of the program and what the operating system keeps for the process take
// programBytes. The runtime gets the rest but for a margin, which it may exceed its own limit by. Unanswered data of clients gets a part
// of the runtime's memory, since the garbage collector needs room.
const (
	programBytes         = 11 << 20
	runtimeMargin        = 1.0 / 8 // fraction of the platform's limit
	clientMemoryFraction = 0.45    // fraction of the runtime's limit
	minRuntimeBytes      = 8 << 20
)

// RuntimeMemoryLimit returns the memory in bytes that the runtime may use, or 0 for no limit. It is meant for debug.SetMemoryLimit.
func RuntimeMemoryLimit(cfg *config.Config) int64 {
	if cfg.MemoryMB <= 0 {
		return 0
	}
	return max(minRuntimeBytes, int64(cfg.MemoryMB*bytesPerMB*(1-runtimeMargin))-programBytes)
}

// clientMemoryLimit returns the memory in bytes that unanswered data of clients may take, or 0 for no limit.
func clientMemoryLimit(cfg *config.Config) int64 {
	return int64(clientMemoryFraction * float64(RuntimeMemoryLimit(cfg)))
}

// Names of gauges.
const (
	gaugeMemoryUsed  = "memory_used_bytes_now"
	gaugeMemoryLimit = "memory_limit_bytes_now"
	gaugeOpenNow     = "client_connections_open_now"
)

// Names of the runtime's metrics. Their difference is the memory that the runtime has obtained and not returned.
const (
	runtimeMemoryTotal    = "/memory/classes/total:bytes"
	runtimeMemoryReleased = "/memory/classes/heap/released:bytes"
)

// memoryMonitor logs when the memory in use comes close to the platform's limit, beyond which the process is killed without
// another line. It checks on the timers of the clock until it is closed.
type memoryMonitor struct {
	clock      clock.Clock
	limitBytes int64
	closed     atomic.Bool
	events     logevent.Limiter
}

// startMemoryMonitor starts a monitor and adds the gauges of memory. Without a limit it only adds the gauges.
func startMemoryMonitor(g *Gateway, cfg *config.Config) *memoryMonitor {
	m := &memoryMonitor{clock: g.Clock, limitBytes: int64(cfg.MemoryMB * bytesPerMB)}
	g.Metrics.AddGauge(gaugeMemoryUsed, usedMemory)
	g.Metrics.AddGauge(gaugeMemoryLimit, func() int64 { return m.limitBytes })
	if m.limitBytes > 0 {
		m.clock.AfterFunc(memoryCheckIntervalMs, m.check)
	}
	return m
}

// check logs the memory in use if it is high, and schedules the next check.
func (m *memoryMonitor) check() {
	if m.closed.Load() {
		return
	}
	if used := usedMemory(); float64(used) > highMemoryFraction*float64(m.limitBytes) {
		if suppressed, ok := m.events.Allow(logevent.MemoryHigh); ok {
			slog.Warn(logevent.MemoryHigh, logevent.UsedBytes, used, logevent.LimitBytes, m.limitBytes, logevent.Suppressed, suppressed)
		}
	}
	m.clock.AfterFunc(memoryCheckIntervalMs, m.check)
}

// close ends the monitor. It may be called more than once.
func (m *memoryMonitor) close() { m.closed.Store(true) }

// usedMemory returns the memory that the runtime has obtained from the system and not returned, in bytes. The pages of the program
// itself are not included.
func usedMemory() int64 {
	samples := []metrics.Sample{{Name: runtimeMemoryTotal}, {Name: runtimeMemoryReleased}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
