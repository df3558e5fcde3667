// Package platformsettings translates the platform's settings into scheduler.Settings. The platform gives them in two formats: as
// JSON in its configuration file, and as pairs of path and value on the simulator's wire. The settings have the same names in
// both. No other package knows these names.
//
// The package has no state, does no I/O and starts no goroutine.
package platformsettings

import (
	"time"

	"gaugerelay/internal/scheduler"
)

// Source reads settings from one of the formats. A path has one name for each level. The methods return the zero value for a
// setting that is absent or invalid. If several settings are invalid, the Source keeps the error of the one that was read first.
type Source interface {
	Bool(path ...string) bool
	// Count returns a whole number.
	Count(path ...string) int
	// Ms returns a time. The setting is in milliseconds, and its name is the last name of the path with the suffix Ms.
	Ms(path ...string) time.Duration
	Number(path ...string) float64
	Text(path ...string) string

	// Bools returns a list of bools. An invalid element is read as false, without an error.
	Bools(path ...string) []bool
	// Texts returns a list of strings.
	Texts(path ...string) []string
	// Objects returns a list of groups of settings, each as a Source of its own.
	Objects(name string) []Source
}

// idempotencies maps the platform's names to kinds of idempotency.
var idempotencies = map[string]scheduler.Idempotency{
	"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentWithKey, "once": scheduler.NotIdempotent,
}

// dedupScopes maps the platform's names to deduplication scopes.
var dedupScopes = map[string]scheduler.DedupScope{
	"all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupShard,
}

// Read reads all settings and ignores unknown ones. The order of reading must not change, because it determines which of several
// invalid settings is reported.
func Read(source Source) scheduler.Settings {
	var settings scheduler.Settings
	settings.Classes = readClasses(source)
	settings.Plans = readPlans(source)
	readDeployment(&settings, source)
	readAttemptLimits(&settings, source)
	readServerLimits(&settings, source)
	readBudgets(&settings, source)
	return settings
}

// readClasses reads the service classes, which the platform calls lanes.
func readClasses(source Source) (classes []scheduler.Class) {
	writes := source.Bools("FamilyInfo", "ClassWrites")
	for i, lane := range source.Objects("Lanes") {
		class := readClass(lane)
		class.Write = i < len(writes) && writes[i]
		classes = append(classes, class)
	}
	return classes
}

// readClass reads one service class.
func readClass(lane Source) scheduler.Class {
	class := scheduler.Class{
		Name:             lane.Text("Name"),
		LatencyObjective: lane.Ms("Promise"),
		ObjectiveStretch: lane.Number("AimStretch"),
		Deadline:         lane.Ms("Deadline"),
		DedupWindow:      lane.Ms("DedupWindow"),
		OrderedByKey:     lane.Bool("InTurn"),
		Stream:           lane.Bool("Stream"),
		PriorityWeight:   lane.Number("Worth"),
		LateFraction:     lane.Number("LateValue"),
	}
	var ok bool
	if class.Idempotency, ok = idempotencies[lane.Text("Idempotency")]; !ok {
		class.Idempotency = scheduler.NotIdempotent // an unknown name is read as the strictest kind
	}
	if class.DedupScope, ok = dedupScopes[lane.Text("KeyScope")]; !ok {
		class.DedupScope = scheduler.DedupShard // an unknown name is read as the narrowest scope
	}
	return class
}

// readPlans reads the plans of volumes.
func readPlans(source Source) (plans []scheduler.Plan) {
	for _, plan := range source.Objects("Plans") {
		plans = append(plans, scheduler.Plan{
			Name:           plan.Text("Name"),
			Rate:           plan.Number("UsualRate"),
			Reserve:        plan.Number("Reservation"),
			Weight:         plan.Number("Shares"),
			PriorityFactor: plan.Number("Pays"),
			Limit:          plan.Number("CeilingRate"),
			LimitBurst:     plan.Number("CapDepth"),
			LimitOverdraft: plan.Number("CapSlack"),
		})
	}
	return plans
}

// readDeployment reads the size of the deployment, the sizes of requests, the weights of shared capacity, and how endpoint lists
// arrive.
func readDeployment(settings *scheduler.Settings, source Source) {
	settings.Gateways = source.Count("Siblings")
	settings.Shards = source.Count("FamilyInfo", "NShards")
	settings.MeanUnits = source.Number("FamilyInfo", "MeanUnits")
	settings.MaxUnits = source.Number("FamilyInfo", "MostUnits")
	settings.FairShareWeight = source.Number("FamilyInfo", "FairWorth")
	settings.SurplusWeight = source.Number("FamilyInfo", "IdleWorth")
	settings.PollEndpoints = source.Text("Discovery") == "ask"
	settings.MaxPollInterval = source.Ms("Invariants", "AskWithin")
}

// readAttemptLimits reads the limits of attempts, and the grace periods after a deadline and in a drain.
func readAttemptLimits(settings *scheduler.Settings, source Source) {
	settings.MaxAttempts = source.Count("Limits", "AttemptsCap")
	settings.AllowHedging = source.Bool("Limits", "MayDuplicate")
	settings.AllowCancel = source.Bool("Limits", "Cancel")
	settings.AllowProbes = source.Bool("Limits", "Probing")
	if source.Bool("Limits", "RetryAfter") {
		settings.MaxRetryAfter = source.Ms("Limits", "MaxRetryAfter")
	}
	settings.ResponseGrace = source.Ms("Invariants", "GraceToAnswer")
	settings.DrainGrace = source.Ms("Invariants", "DrainGrace")
}

// readServerLimits reads the limits for servers in slow start, and the pause of an ordered key after a failed attempt.
func readServerLimits(settings *scheduler.Settings, source Source) {
	settings.InitialCapacity = source.Number("Invariants", "StartCapacity")
	settings.SlowStartDuration = source.Ms("Invariants", "RampTime")
	settings.OverloadMultiple = source.Number("Invariants", "FallMultiple")
	settings.OverloadWindow = source.Ms("Invariants", "Fall")
	settings.SlowStartUnits = source.Number("FamilyInfo", "ColdBears")
	settings.KeyCooldown = source.Ms("Invariants", "KeyRest")
}

// readBudgets reads the retry budget, the settings that describe the reports of servers, and the minimum time between two steps of
// the scheduler.
func readBudgets(settings *scheduler.Settings, source Source) {
	settings.RetryBudgetMin = source.Number("Invariants", "ExtraFloor")
	settings.RetryBudgetRatio = source.Number("Invariants", "ExtraRatio")
	settings.RetryBudgetWindow = source.Ms("Invariants", "CountedOver")
	settings.UsagePeriod = source.Ms("FamilyInfo", "UsePeriod")
	settings.ReportsForeignUnits = source.Bool("FamilyInfo", "TellsElsewhere")
	settings.LoadReportFields = source.Texts("Report", "Fields")
	settings.MinStepInterval = source.Ms("Tick")
}
