// Package platformsettings translates the platform's settings into scheduler.Settings. The platform gives them in two forms,
// as JSON in its configuration file and as pairs on the simulator's wire; the names of the settings are the same in both, and
// this package alone translates them.
//
// The package has no state, does no I/O and starts no goroutine.
package platformsettings

import (
	"time"

	"gaugerelay/internal/scheduler"
)

// Source gives access to settings in one of their forms. A path has one name for each level. Absent settings are zero values;
// invalid ones too, and the Source keeps the first error in the order of calls.
type Source interface {
	Bool(path ...string) bool
	// Count returns a whole number.
	Count(path ...string) int
	// Ms returns the time in milliseconds whose last name has the suffix Ms.
	Ms(path ...string) time.Duration
	Number(path ...string) float64
	Text(path ...string) string

	// Bools returns a list of bools. An invalid one is false and no error.
	Bools(path ...string) []bool
	// Texts returns a list of texts.
	Texts(path ...string) []string
	// Objects returns a list of groups of settings.
	Objects(name string) []Source
}

// idempotencies translates the effects of repeated requests.
var idempotencies = map[string]scheduler.Idempotency{
	"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentWithKey, "once": scheduler.NotIdempotent,
}

// dedupScopes translates the groups of servers that share deduplication.
var dedupScopes = map[string]scheduler.DedupScope{
	"all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupShard,
}

// Read reads all settings. Unknown ones are skipped. The order of reading is fixed, because it decides which of several
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
		class.Idempotency = scheduler.NotIdempotent // an unknown one is read as the strictest
	}
	if class.DedupScope, ok = dedupScopes[lane.Text("KeyScope")]; !ok {
		class.DedupScope = scheduler.DedupShard // an unknown one is read as the narrowest
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

// readDeployment reads the sizes of the deployment and the weights of shared capacity.
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

// readAttemptLimits reads the limits of attempts.
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

// readServerLimits reads the limits of servers after a start and after failures.
func readServerLimits(settings *scheduler.Settings, source Source) {
	settings.InitialCapacity = source.Number("Invariants", "StartCapacity")
	settings.SlowStartDuration = source.Ms("Invariants", "RampTime")
	settings.OverloadMultiple = source.Number("Invariants", "FallMultiple")
	settings.OverloadWindow = source.Ms("Invariants", "Fall")
	settings.SlowStartUnits = source.Number("FamilyInfo", "ColdBears")
	settings.KeyCooldown = source.Ms("Invariants", "KeyRest")
}

// readBudgets reads the retry budget, what servers report and how often the scheduler may run.
func readBudgets(settings *scheduler.Settings, source Source) {
	settings.RetryBudgetMin = source.Number("Invariants", "ExtraFloor")
	settings.RetryBudgetRatio = source.Number("Invariants", "ExtraRatio")
	settings.RetryBudgetWindow = source.Ms("Invariants", "CountedOver")
	settings.UsagePeriod = source.Ms("FamilyInfo", "UsePeriod")
	settings.ReportsForeignUnits = source.Bool("FamilyInfo", "TellsElsewhere")
	settings.LoadReportFields = source.Texts("Report", "Fields")
	settings.MinStepInterval = source.Ms("Tick")
}
