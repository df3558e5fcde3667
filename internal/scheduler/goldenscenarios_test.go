package scheduler

import "time"

// goldenScenario is one kind of deployment that the golden test replays.
type goldenScenario struct {
	name     string
	settings Settings
	// polls is set if the gateway polls for the endpoint list; otherwise the list is pushed.
	polls bool
	// quota is set if gateways lease shares of volume limits to each other and report latencies and ejections.
	quota bool
	// outage is set if most polls of the endpoint list fail and the list expires.
	outage bool
}

// goldenScenarios returns the scenarios of the golden test.
func goldenScenarios() []goldenScenario {
	return []goldenScenario{
		{name: "polled", settings: goldenPolledSettings(), polls: true},
		{name: "pushed", settings: goldenPushedSettings()},
		{name: "ordered", settings: goldenOrderedSettings(), polls: true},
		{name: "quota", settings: goldenQuotaSettings(), quota: true},
		{name: "outage", settings: goldenOutageSettings(), polls: true, outage: true},
	}
}

// goldenPolledSettings returns settings with a class of each kind of idempotency, a retry budget and slow start over many gateways.
func goldenPolledSettings() Settings {
	return Settings{
		Gateways: 40, Shards: 12, MeanUnits: 2, MaxUnits: 8, FairShareWeight: 0.35, SurplusWeight: 0.08,
		PollEndpoints: true, MaxPollInterval: 8 * time.Second, MaxAttempts: 3, AllowCancel: true, MaxRetryAfter: 900 * ms,
		ResponseGrace: 30 * ms, DrainGrace: 300 * ms, InitialCapacity: 0.25, SlowStartDuration: 15 * time.Second,
		OverloadMultiple: 2.5, OverloadWindow: time.Second, SlowStartUnits: 30, KeyCooldown: 200 * ms,
		RetryBudgetMin: 3, RetryBudgetRatio: 0.15, RetryBudgetWindow: 10 * time.Second, UsagePeriod: time.Second,
		ReportsForeignUnits: true, MinStepInterval: 2 * ms,
		Classes: []Class{
			{Name: "read", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, LateFraction: 0.2},
			{Name: "write", LatencyObjective: 900 * ms, Deadline: 4 * time.Second, PriorityWeight: 3,
				Idempotency: IdempotentWithKey, DedupScope: DedupShard,
				DedupWindow: 2500 * ms, Write: true},
			{Name: "once", LatencyObjective: 700 * ms, Deadline: 3 * time.Second, PriorityWeight: 1,
				Idempotency: NotIdempotent, Write: true},
		},
		Plans: []Plan{
			{Name: "base", Rate: 12, Weight: 1, PriorityFactor: 1},
			{Name: "reserved", Rate: 20, Weight: 2, PriorityFactor: 1.5, Reserve: 25},
			{Name: "limited", Rate: 10, Weight: 1, PriorityFactor: 0.5, Limit: 30, LimitBurst: 60, LimitOverdraft: 8},
		},
	}
}

// goldenPushedSettings returns settings with few gateways, no retry budget, no cancellation and deduplication within a zone.
func goldenPushedSettings() Settings {
	settings := goldenPolledSettings()
	settings.Gateways, settings.Shards = 4, 8
	settings.PollEndpoints, settings.MaxPollInterval = false, 0
	settings.RetryBudgetWindow, settings.AllowCancel, settings.MaxAttempts = 0, false, 4
	settings.SlowStartUnits, settings.InitialCapacity = 0, 0.1
	settings.Classes[1].DedupScope = DedupZone
	settings.ReportsForeignUnits = false
	return settings
}

// goldenOrderedSettings returns settings with per-key order and deduplication at all servers.
func goldenOrderedSettings() Settings {
	settings := goldenPolledSettings()
	settings.Gateways, settings.MaxPollInterval = 3, 2*time.Second
	settings.Classes[1].DedupScope, settings.Classes[1].OrderedByKey = DedupAll, true
	settings.Classes[2].OrderedByKey = true
	settings.Plans = settings.Plans[:1]
	return settings
}

// goldenQuotaSettings returns settings in which gateways lease shares of volume limits to each other.
func goldenQuotaSettings() Settings {
	settings := goldenPushedSettings()
	settings.QuotaLeases, settings.InitialQuotaShare = true, 0.5
	return settings
}

// goldenOutageSettings returns settings with so many gateways that, by the estimate of fleetPollTime, discovery needs 18 s
// for one poll of each. That is longer than maxPollCycle.
func goldenOutageSettings() Settings {
	settings := goldenPolledSettings()
	settings.Gateways, settings.MeanUnits = 300, 0
	return settings
}
