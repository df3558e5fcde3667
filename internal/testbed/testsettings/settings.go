// Package testsettings provides settings like those of the platform, for tests and for programs of the testbed, which must
// not import package testing.
package testsettings

import (
	"time"

	"gaugerelay/internal/scheduler"
)

// Settings returns settings like those of the platform for one gateway: three classes ("pull", "push" and "bulk-read") and
// two plans ("basic", which has a limit, and "business"). Each call returns a new copy, which the caller may change.
func Settings(shards int) scheduler.Settings {
	const ms = time.Millisecond
	return scheduler.Settings{Gateways: 1, Shards: shards, MeanUnits: 2, MaxUnits: 6, FairShareWeight: 0.3, SurplusWeight: 0.05,
		MaxAttempts: 3, AllowHedging: true, AllowCancel: true, AllowProbes: true, MaxRetryAfter: 500 * ms, ResponseGrace: 8 * ms,
		DrainGrace: time.Second, InitialCapacity: 0.28, SlowStartDuration: 15 * time.Second, OverloadMultiple: 2.5,
		OverloadWindow: 3 * time.Second, SlowStartUnits: 51, MinStepInterval: 2 * ms, MaxPollInterval: 10 * time.Second,
		Classes: []scheduler.Class{
			{Name: "pull", LatencyObjective: 300 * ms, Deadline: 1500 * ms, PriorityWeight: 2},
			{Name: "push", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 2, Write: true, Idempotency: scheduler.IdempotentWithKey,
				DedupScope: scheduler.DedupShard, DedupWindow: 3 * time.Second},
			{Name: "bulk-read", LatencyObjective: 1500 * ms, Deadline: 5 * time.Second, PriorityWeight: 1},
		},
		Plans: []scheduler.Plan{
			{Name: "basic", Rate: 4.1, Reserve: 2, Weight: 1, PriorityFactor: 0.96, Limit: 33, LimitBurst: 53, LimitOverdraft: 6},
			{Name: "business", Rate: 8.2, Reserve: 8.2, Weight: 2, PriorityFactor: 0.9}}}
}
