package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/scheduler"
)

// idempotencies translates the wire's effects of repeated requests.
var idempotencies = map[string]scheduler.Idempotency{
	"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentWithKey, "once": scheduler.NotIdempotent,
}

// dedupScopes translates the wire's groups of servers that share deduplication.
var dedupScopes = map[string]scheduler.DedupScope{
	"all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell,
}

// settingsParser looks up settings by their path. Absent ones are zero values, and the first error, in the order of reading,
// is kept in err.
type settingsParser struct {
	values map[string]string
	err    error
}

// number returns a number; "" and "-" are 0.
func (p *settingsParser) number(path string) float64 {
	value := p.values[path]
	if value == "" || value == absent {
		return 0
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s: %s is not a number: %q", lineInstanceOpened, path, value)
	}
	return x
}

// count returns a number truncated to an integer.
func (p *settingsParser) count(path string) int { return int(p.number(path)) }

// ms returns the time in milliseconds at the path with the suffix Ms.
func (p *settingsParser) ms(path string) time.Duration { return fromMs(p.number(path + "Ms")) }

func (p *settingsParser) bool(path string) bool {
	return p.values[path] == "true" || p.values[path] == "1"
}

// parseSettings reads the rest of a line, pairs "path=value". Unknown paths are skipped.
func parseSettings(line *fieldParser) scheduler.Settings {
	p := &settingsParser{values: make(map[string]string, len(line.values))}
	for _, pair := range line.values {
		if path, value, ok := strings.Cut(pair, "="); ok {
			p.values[path] = value
		}
	}
	var settings scheduler.Settings
	settings.Classes = p.classes()
	settings.Plans = p.plans()
	p.readDeployment(&settings)
	p.readAttemptLimits(&settings)
	p.readServerLimits(&settings)
	p.readBudgets(&settings)
	if p.err != nil {
		line.fail(p.err)
	}
	return settings
}

func (p *settingsParser) classes() (classes []scheduler.Class) {
	writes := strings.Split(p.values["FamilyInfo.ClassWrites"], ",")
	for i := range p.count("Lanes.count") {
		class := p.class(fmt.Sprintf("Lanes.%d.", i))
		class.Write = i < len(writes) && writes[i] == "true"
		classes = append(classes, class)
	}
	return classes
}

// class reads the class whose settings have a prefix.
func (p *settingsParser) class(prefix string) scheduler.Class {
	class := scheduler.Class{
		Name:             p.values[prefix+"Name"],
		LatencyObjective: p.ms(prefix + "Promise"),
		ObjectiveStretch: p.number(prefix + "AimStretch"),
		Deadline:         p.ms(prefix + "Deadline"),
		DedupWindow:      p.ms(prefix + "DedupWindow"),
		OrderedByKey:     p.bool(prefix + "InTurn"),
		Stream:           p.bool(prefix + "Stream"),
		PriorityWeight:   p.number(prefix + "Worth"),
		LateFraction:     p.number(prefix + "LateValue"),
	}
	var ok bool
	if class.Idempotency, ok = idempotencies[p.values[prefix+"Idempotency"]]; !ok {
		class.Idempotency = scheduler.NotIdempotent // an unknown one is read as the strictest
	}
	if class.DedupScope, ok = dedupScopes[p.values[prefix+"KeyScope"]]; !ok {
		class.DedupScope = scheduler.DedupCell // an unknown one is read as the narrowest
	}
	return class
}

func (p *settingsParser) plans() (plans []scheduler.Plan) {
	for i := range p.count("Plans.count") {
		prefix := fmt.Sprintf("Plans.%d.", i)
		plans = append(plans, scheduler.Plan{
			Name:           p.values[prefix+"Name"],
			Rate:           p.number(prefix + "UsualRate"),
			Reserve:        p.number(prefix + "Reservation"),
			Weight:         p.number(prefix + "Shares"),
			PriorityFactor: p.number(prefix + "Pays"),
			Limit:          p.number(prefix + "CeilingRate"),
			LimitBurst:     p.number(prefix + "CapDepth"),
			LimitOverdraft: p.number(prefix + "CapSlack"),
		})
	}
	return plans
}

// readDeployment reads the sizes of the deployment and the weights of shared capacity.
func (p *settingsParser) readDeployment(settings *scheduler.Settings) {
	settings.Gateways = p.count("Siblings")
	settings.Shards = p.count("FamilyInfo.NShards")
	settings.MeanUnits = p.number("FamilyInfo.MeanUnits")
	settings.MaxUnits = p.number("FamilyInfo.MostUnits")
	settings.FairShareWeight = p.number("FamilyInfo.FairWorth")
	settings.SurplusWeight = p.number("FamilyInfo.IdleWorth")
	settings.PollEndpoints = p.values["Discovery"] == "ask"
	settings.MaxPollInterval = p.ms("Invariants.AskWithin")
}

// readAttemptLimits reads the limits of attempts.
func (p *settingsParser) readAttemptLimits(settings *scheduler.Settings) {
	settings.MaxAttempts = p.count("Limits.AttemptsCap")
	settings.AllowHedging = p.bool("Limits.MayDuplicate")
	settings.AllowCancel = p.bool("Limits.Cancel")
	settings.AllowProbes = p.bool("Limits.Probing")
	if p.bool("Limits.RetryAfter") {
		settings.MaxRetryAfter = p.ms("Limits.MaxRetryAfter")
	}
	settings.ResponseGrace = p.ms("Invariants.GraceToAnswer")
	settings.DrainGrace = p.ms("Invariants.DrainGrace")
}

// readServerLimits reads the limits of servers after a start and after failures.
func (p *settingsParser) readServerLimits(settings *scheduler.Settings) {
	settings.InitialCapacity = p.number("Invariants.StartCapacity")
	settings.SlowStartDuration = p.ms("Invariants.RampTime")
	settings.OverloadMultiple = p.number("Invariants.FallMultiple")
	settings.OverloadWindow = p.ms("Invariants.Fall")
	settings.SlowStartUnits = p.number("FamilyInfo.ColdBears")
	settings.KeyCooldown = p.ms("Invariants.KeyRest")
}

// readBudgets reads the retry budget, what servers report and how often the scheduler may run.
func (p *settingsParser) readBudgets(settings *scheduler.Settings) {
	settings.RetryBudgetMin = p.number("Invariants.ExtraFloor")
	settings.RetryBudgetRatio = p.number("Invariants.ExtraRatio")
	settings.RetryBudgetWindow = p.ms("Invariants.CountedOver")
	settings.UsagePeriod = p.ms("FamilyInfo.UsePeriod")
	settings.ReportsForeignUnits = p.bool("FamilyInfo.TellsElsewhere")
	if fields := p.values["Report.Fields"]; fields != "" && fields != absent {
		settings.LoadReportFields = strings.Split(fields, ",")
	}
	settings.MinStepInterval = p.ms("Tick")
}
