package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/scheduler"
)

// pairs is the Setup of an instance; the first bad value is kept in err.
type pairs struct {
	vals map[string]string
	err  error
}

func (p *pairs) num(path string) float64 {
	v, ok := p.vals[path]
	if !ok || v == "" || v == "-" {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("OPEN_INSTANCE: %s is not a number: %q", path, v)
	}
	return x
}

func (p *pairs) ms(path string) time.Duration { return ms(p.num(path + "Ms")) }
func (p *pairs) yes(path string) bool         { return p.vals[path] == "true" || p.vals[path] == "1" }

var effects = map[string]scheduler.Idempotency{
	"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentWithKey, "once": scheduler.NotIdempotent,
}

var groups = map[string]scheduler.DedupScope{
	"all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell,
}

// parseSettings reads the Setup pairs. Unknown paths are skipped.
func parseSettings(f *fields) (s scheduler.Settings) {
	p := &pairs{vals: make(map[string]string, len(f.vals))}
	for _, kv := range f.vals {
		if k, v, ok := strings.Cut(kv, "="); ok {
			p.vals[k] = v
		}
	}
	writes := strings.Split(p.vals["FamilyInfo.ClassWrites"], ",")
	for i := range int(p.num("Lanes.count")) {
		at := fmt.Sprintf("Lanes.%d.", i)
		c := scheduler.Class{
			Name: p.vals[at+"Name"], LatencyObjective: p.ms(at + "Promise"), ObjectiveStretch: p.num(at + "AimStretch"),
			Deadline: p.ms(at + "Deadline"), DedupWindow: p.ms(at + "DedupWindow"),
			OrderedByKey: p.yes(at + "InTurn"), Stream: p.yes(at + "Stream"),
			PriorityWeight: p.num(at + "Worth"), LateFraction: p.num(at + "LateValue"),
			Write: i < len(writes) && writes[i] == "true",
		}
		var ok, ok2 bool
		c.Idempotency, ok = effects[p.vals[at+"Idempotency"]]
		if c.DedupScope, ok2 = groups[p.vals[at+"KeyScope"]]; !ok2 {
			c.DedupScope = scheduler.DedupCell // an unknown group: the narrowest
		}
		if !ok {
			c.Idempotency = scheduler.NotIdempotent // an unknown effect: the strictest
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range int(p.num("Plans.count")) {
		at := fmt.Sprintf("Plans.%d.", i)
		s.Plans = append(s.Plans, scheduler.Plan{
			Name: p.vals[at+"Name"], Rate: p.num(at + "UsualRate"), Reserve: p.num(at + "Reservation"),
			Weight: p.num(at + "Shares"), PriorityFactor: p.num(at + "Pays"), Limit: p.num(at + "CeilingRate"),
			LimitBurst: p.num(at + "CapDepth"), LimitOverdraft: p.num(at + "CapSlack"),
		})
	}
	s.Gateways = int(p.num("Siblings"))
	s.Shards = int(p.num("FamilyInfo.NShards"))
	s.MeanUnits, s.MaxUnits = p.num("FamilyInfo.MeanUnits"), p.num("FamilyInfo.MostUnits")
	s.FairShareWeight, s.SurplusWeight = p.num("FamilyInfo.FairWorth"), p.num("FamilyInfo.IdleWorth")
	s.PollEndpoints = p.vals["Discovery"] == "ask"
	s.MaxPollInterval = p.ms("Invariants.AskWithin")
	s.MaxAttempts = int(p.num("Limits.AttemptsCap"))
	s.AllowHedging = p.yes("Limits.MayDuplicate")
	s.AllowCancel, s.AllowProbes = p.yes("Limits.Cancel"), p.yes("Limits.Probing")
	if p.yes("Limits.RetryAfter") {
		s.MaxRetryAfter = p.ms("Limits.MaxRetryAfter")
	}
	s.ResponseGrace, s.DrainGrace = p.ms("Invariants.GraceToAnswer"), p.ms("Invariants.DrainGrace")
	s.InitialCapacity, s.SlowStartDuration = p.num("Invariants.StartCapacity"), p.ms("Invariants.RampTime")
	s.OverloadMultiple, s.OverloadWindow = p.num("Invariants.FallMultiple"), p.ms("Invariants.Fall")
	s.SlowStartUnits = p.num("FamilyInfo.ColdBears")
	s.KeyCooldown = p.ms("Invariants.KeyRest")
	s.RetryBudgetMin, s.RetryBudgetRatio = p.num("Invariants.ExtraFloor"), p.num("Invariants.ExtraRatio")
	s.RetryBudgetWindow = p.ms("Invariants.CountedOver")
	s.UsagePeriod = p.ms("FamilyInfo.UsePeriod")
	s.ReportsForeignUnits = p.yes("FamilyInfo.TellsElsewhere")
	if v := p.vals["Report.Fields"]; v != "" && v != "-" {
		s.LoadReportFields = strings.Split(v, ",")
	}
	s.MinStepInterval = p.ms("Tick")
	if f.err == nil {
		f.err = p.err
	}
	return s
}
