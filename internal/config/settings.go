package config

import (
	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"
)

// idempotencies translates the platform's effects of repeated requests.
var idempotencies = map[string]scheduler.Idempotency{
	"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentWithKey, "once": scheduler.NotIdempotent,
}

// dedupScopes translates the platform's groups of servers that share deduplication.
var dedupScopes = map[string]scheduler.DedupScope{
	"all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell,
}

// settings reads the scheduler's settings. Unknown keys are skipped. The order of reading decides which of several invalid
// values is reported.
func (r *valueReader) settings(object *fastjson.Value) scheduler.Settings {
	var settings scheduler.Settings
	settings.Classes = r.classes(object)
	settings.Plans = r.plans(object)
	r.readDeployment(&settings, object)
	r.readAttemptLimits(&settings, object)
	r.readServerLimits(&settings, object)
	r.readBudgets(&settings, object)
	return settings
}

func (r *valueReader) classes(object *fastjson.Value) (classes []scheduler.Class) {
	writes := object.GetArray("FamilyInfo", "ClassWrites")
	for i, lane := range object.GetArray("Lanes") {
		class := r.class(lane)
		class.Write = i < len(writes) && writes[i].Type() == fastjson.TypeTrue
		classes = append(classes, class)
	}
	return classes
}

func (r *valueReader) class(lane *fastjson.Value) scheduler.Class {
	class := scheduler.Class{
		Name:             r.text(lane, "Name"),
		LatencyObjective: r.ms(lane, "Promise"),
		ObjectiveStretch: r.number(lane, "AimStretch"),
		Deadline:         r.ms(lane, "Deadline"),
		DedupWindow:      r.ms(lane, "DedupWindow"),
		OrderedByKey:     r.bool(lane, "InTurn"),
		Stream:           r.bool(lane, "Stream"),
		PriorityWeight:   r.number(lane, "Worth"),
		LateFraction:     r.number(lane, "LateValue"),
	}
	var ok bool
	if class.Idempotency, ok = idempotencies[r.text(lane, "Idempotency")]; !ok {
		class.Idempotency = scheduler.NotIdempotent // an unknown one is read as the strictest
	}
	if class.DedupScope, ok = dedupScopes[r.text(lane, "KeyScope")]; !ok {
		class.DedupScope = scheduler.DedupCell // an unknown one is read as the narrowest
	}
	return class
}

func (r *valueReader) plans(object *fastjson.Value) (plans []scheduler.Plan) {
	for _, plan := range object.GetArray("Plans") {
		plans = append(plans, scheduler.Plan{
			Name:           r.text(plan, "Name"),
			Rate:           r.number(plan, "UsualRate"),
			Reserve:        r.number(plan, "Reservation"),
			Weight:         r.number(plan, "Shares"),
			PriorityFactor: r.number(plan, "Pays"),
			Limit:          r.number(plan, "CeilingRate"),
			LimitBurst:     r.number(plan, "CapDepth"),
			LimitOverdraft: r.number(plan, "CapSlack"),
		})
	}
	return plans
}

// readDeployment reads the sizes of the deployment and the weights of shared capacity.
func (r *valueReader) readDeployment(settings *scheduler.Settings, object *fastjson.Value) {
	settings.Gateways = r.count(object, "Siblings")
	settings.Shards = r.count(object, "FamilyInfo", "NShards")
	settings.MeanUnits = r.number(object, "FamilyInfo", "MeanUnits")
	settings.MaxUnits = r.number(object, "FamilyInfo", "MostUnits")
	settings.FairShareWeight = r.number(object, "FamilyInfo", "FairWorth")
	settings.SurplusWeight = r.number(object, "FamilyInfo", "IdleWorth")
	settings.PollEndpoints = r.text(object, "Discovery") == "ask"
	settings.MaxPollInterval = r.ms(object, "Invariants", "AskWithin")
}

// readAttemptLimits reads the limits of attempts.
func (r *valueReader) readAttemptLimits(settings *scheduler.Settings, object *fastjson.Value) {
	settings.MaxAttempts = r.count(object, "Limits", "AttemptsCap")
	settings.AllowHedging = r.bool(object, "Limits", "MayDuplicate")
	settings.AllowCancel = r.bool(object, "Limits", "Cancel")
	settings.AllowProbes = r.bool(object, "Limits", "Probing")
	if r.bool(object, "Limits", "RetryAfter") {
		settings.MaxRetryAfter = r.ms(object, "Limits", "MaxRetryAfter")
	}
	settings.ResponseGrace = r.ms(object, "Invariants", "GraceToAnswer")
	settings.DrainGrace = r.ms(object, "Invariants", "DrainGrace")
}

// readServerLimits reads the limits of servers after a start and after failures.
func (r *valueReader) readServerLimits(settings *scheduler.Settings, object *fastjson.Value) {
	settings.InitialCapacity = r.number(object, "Invariants", "StartCapacity")
	settings.SlowStartDuration = r.ms(object, "Invariants", "RampTime")
	settings.OverloadMultiple = r.number(object, "Invariants", "FallMultiple")
	settings.OverloadWindow = r.ms(object, "Invariants", "Fall")
	settings.SlowStartUnits = r.number(object, "FamilyInfo", "ColdBears")
	settings.KeyCooldown = r.ms(object, "Invariants", "KeyRest")
}

// readBudgets reads the retry budget, what servers report and how often the scheduler may run.
func (r *valueReader) readBudgets(settings *scheduler.Settings, object *fastjson.Value) {
	settings.RetryBudgetMin = r.number(object, "Invariants", "ExtraFloor")
	settings.RetryBudgetRatio = r.number(object, "Invariants", "ExtraRatio")
	settings.RetryBudgetWindow = r.ms(object, "Invariants", "CountedOver")
	settings.UsagePeriod = r.ms(object, "FamilyInfo", "UsePeriod")
	settings.ReportsForeignUnits = r.bool(object, "FamilyInfo", "TellsElsewhere")
	for _, field := range object.GetArray("Report", "Fields") {
		name, _ := field.StringBytes()
		settings.LoadReportFields = append(settings.LoadReportFields, string(name))
	}
	settings.MinStepInterval = r.ms(object, "Tick")
}
