// Package testsettings holds settings like the platform's own.
package testsettings

import (
	"time"

	"gaugerelay/internal/scheduler"
)

// Settings are like the platform's, for one gateway.
func Settings(shards int) scheduler.Settings {
	const ms = time.Millisecond
	return scheduler.Settings{Siblings: 1, Shards: shards, MeanUnits: 2, MostUnits: 6, FairWorth: 0.3, IdleWorth: 0.05,
		MaxAttempts: 3, MayDuplicate: true, MayCancel: true, MayProbe: true, MaxComeBack: 500 * ms, AnswerGrace: 8 * ms,
		DrainGrace: time.Second, StartCapacity: 0.28, RampTime: 15 * time.Second, FallMultiple: 2.5,
		FallWindow: 3 * time.Second, ColdBears: 51, Tick: 2 * ms, AskWithin: 10 * time.Second,
		Classes: []scheduler.Class{
			{Name: "pull", Aim: 300 * ms, Deadline: 1500 * ms, Worth: 2},
			{Name: "push", Aim: 400 * ms, Deadline: 3 * time.Second, Worth: 2, Write: true, Effect: scheduler.ByKey,
				Scope: scheduler.ScopeCell, DedupWindow: 3 * time.Second},
			{Name: "bulk-read", Aim: 1500 * ms, Deadline: 5 * time.Second, Worth: 1},
		},
		Plans: []scheduler.Plan{
			{Name: "basic", Rate: 4.1, Reserve: 2, Weight: 1, Pays: 0.96, Limit: 33, LimitCap: 53, LimitDebt: 6},
			{Name: "business", Rate: 8.2, Reserve: 8.2, Weight: 2, Pays: 0.9}}}
}
