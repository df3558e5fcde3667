package dedup

import "gaugerelay/internal/dedup/exchange"

// counters maps the names of the counters to the statistics that they report. Counters whose names end in _now are gauges:
// they rise and fall.
var counters = [...]struct {
	name  string
	value func(*exchange.Stats) int
}{
	{"device_copies", func(s *exchange.Stats) int { return s.Transmissions }},
	{"device_runs", func(s *exchange.Stats) int { return s.Executions }},
	{"device_copies_joined", func(s *exchange.Stats) int { return s.Joined }},
	{"device_answers_kept", func(s *exchange.Stats) int { return s.ServedFromCache }},
	{"device_runs_again", func(s *exchange.Stats) int { return s.RepeatedExecutions }},
	{"device_conflicts", func(s *exchange.Stats) int { return s.Conflicts }},
	{"device_busy", func(s *exchange.Stats) int { return s.Busy }},
	{"device_late", func(s *exchange.Stats) int { return s.TooLate }},
	{"device_doubt_failed", func(s *exchange.Stats) int { return s.UnknownOutcomeFailed }},
	{"device_uploads", func(s *exchange.Stats) int { return s.UploadsStarted }},
	{"device_uploads_dropped", func(s *exchange.Stats) int { return s.UploadsDropped }},
	{"device_evicted", func(s *exchange.Stats) int { return s.Evicted }},
	{"device_exchanges_now", func(s *exchange.Stats) int { return s.Exchanges }},
	{"device_devices_now", func(s *exchange.Stats) int { return s.Devices }},
	{"device_bytes_now", func(s *exchange.Stats) int { return s.StoredBytes }},
	{"device_undelivered_now", func(s *exchange.Stats) int { return s.Undelivered }},
}

// updateCounters adds the changes of the store's statistics since the previous call to the counters.
func (c *Coordinator) updateCounters() {
	stats := c.store.Stats()
	counted := c.countedStats
	if stats == counted {
		return
	}
	c.countedStats = stats
	if stats.StoredBytes != counted.StoredBytes {
		c.options.Memory.Resize(stats.StoredBytes)
	}
	for _, counter := range &counters {
		if change := counter.value(&stats) - counter.value(&counted); change != 0 {
			c.options.Metrics.Add(counter.name, int64(change))
		}
	}
}
