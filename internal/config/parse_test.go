package config

import (
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"
)

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	settings := c.Settings
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.MaxSockets != 1024 || c.MemoryMB != 192 || c.IdleConnTimeoutMs != 30000 ||
		c.ConnectTimeoutMs != 250 || c.KnownEndpoints.Version != 41 || c.KnownEndpoints.Kind != scheduler.CachedSnapshot || c.KnownEndpoints.Servers[0].Shard != 3 {
		t.Errorf("%+v", c)
	}
	push := scheduler.Class{Name: "push", LatencyObjective: 400 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: scheduler.IdempotentWithKey,
		DedupScope: scheduler.DedupShard, DedupWindow: 3 * time.Second, Write: true, PriorityWeight: 2}
	basic := scheduler.Plan{Name: "basic", Rate: 4.1, Reserve: 2, Weight: 1, PriorityFactor: 0.96, Limit: 33, LimitBurst: 53, LimitOverdraft: 6}
	if len(settings.Classes) != 3 || settings.Classes[1] != push || settings.Classes[0].Idempotency != scheduler.Idempotent || settings.Plans[0] != basic {
		t.Errorf("%+v", settings)
	}
	if odd := settings.Classes[2]; odd.Idempotency != scheduler.NotIdempotent || odd.DedupScope != scheduler.DedupShard {
		t.Errorf("class %+v: unknown idempotency and key scope must be read as the strictest values", odd)
	}
	if settings.Gateways != 3 || !settings.PollEndpoints || settings.Shards != 10 || !settings.ReportsForeignUnits || settings.MaxAttempts != 3 ||
		settings.LoadReportFields[0] != "queue" ||
		settings.MaxRetryAfter != 500*time.Millisecond || settings.MaxPollInterval != 10*time.Second ||
		settings.OverloadWindow != 3*time.Second || settings.MinStepInterval != 2*time.Millisecond {
		t.Errorf("%+v", settings)
	}
}

// Very large times are valid and cut to a bound, so that adding them to the current time does not overflow. A count that is
// too large or not whole is an error of one line, which names the key.
func TestParseBoundsLargeValues(t *testing.T) {
	for _, c := range []struct{ old, new, invalid string }{
		{`"DedupWindowMs":3000`, `"DedupWindowMs":1e300`, ""},
		{`"AskWithinMs":10000`, `"AskWithinMs":1e40`, ""},
		{`"ConnIdleMs":30000`, `"ConnIdleMs":1e30`, ""},
		{`"Siblings":3`, `"Siblings":1e300`, "Siblings"},
		{`"NShards":10`, `"NShards":1e7`, "NShards"},
		{`"AttemptsCap":3`, `"AttemptsCap":2.5`, "AttemptsCap"},
		{`"sockets":1024`, `"sockets":1e18`, "sockets"},
	} {
		t.Run(c.new, func(t *testing.T) {
			config, err := Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
			if c.invalid != "" {
				if err == nil || !strings.Contains(err.Error(), c.invalid) || strings.Contains(err.Error(), "\n") {
					t.Errorf("Parse returned the error %v, want an error of one line that names the key", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			const farFuture = time.Duration(2e18) // 63 years after the epoch; adding the settings to it must not overflow
			settings := config.Settings
			window := settings.Classes[1].DedupWindow
			if window <= 0 || settings.MaxPollInterval <= 0 || config.IdleConnTimeoutMs > maxMs ||
				farFuture+window+settings.MaxPollInterval < farFuture {
				t.Errorf("%+v", settings)
			}
		})
	}
}

func TestParseCountsInvalidKnownEntries(t *testing.T) {
	c, err := Parse([]byte(strings.Replace(validConfig, `"servers":[`, `"servers":[{"id":"x","cell":-3},`, 1)))
	if err != nil || c.InvalidKnownEntries != 1 || len(c.KnownEndpoints.Servers) != 1 {
		t.Errorf("parsed %+v, error %v; want one invalid entry and one server", c, err)
	}
}

// Limits that are absent get defaults and are not read as unlimited.
func TestParseDefaults(t *testing.T) {
	c, err := Parse([]byte(`{"settings":{}}`))
	if err != nil || c.ConnectTimeoutMs != defaultConnectTimeoutMs || c.IdleConnTimeoutMs != defaultIdleConnTimeoutMs || c.MaxSockets != defaultMaxSockets {
		t.Errorf("parsed %+v, error %v; want the default limits", c, err)
	}
}
