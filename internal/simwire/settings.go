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

var effects = map[string]scheduler.Effect{
	"repeatable": scheduler.Repeatable, "by_key": scheduler.ByKey, "once": scheduler.Once,
}

var groups = map[string]scheduler.Scope{
	"all": scheduler.ScopeAll, "zone": scheduler.ScopeZone, "cell": scheduler.ScopeCell,
}

// settings reads the Setup pairs. Unknown paths are skipped.
func settings(f *fields) (s scheduler.Settings) {
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
			Name: p.vals[at+"Name"], Aim: p.ms(at + "Promise"), AimStretch: p.num(at + "AimStretch"),
			Deadline: p.ms(at + "Deadline"), DedupWindow: p.ms(at + "DedupWindow"),
			InTurn: p.yes(at + "InTurn"), Stream: p.yes(at + "Stream"),
			Worth: p.num(at + "Worth"), LateValue: p.num(at + "LateValue"),
			Write: i < len(writes) && writes[i] == "true",
		}
		var ok, ok2 bool
		c.Effect, ok = effects[p.vals[at+"Idempotency"]]
		if c.Scope, ok2 = groups[p.vals[at+"KeyScope"]]; !ok2 {
			c.Scope = scheduler.ScopeCell // an unknown group: the narrowest
		}
		if !ok {
			c.Effect = scheduler.Once // an unknown effect: the strictest
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range int(p.num("Plans.count")) {
		at := fmt.Sprintf("Plans.%d.", i)
		s.Plans = append(s.Plans, scheduler.Plan{
			Name: p.vals[at+"Name"], Rate: p.num(at + "UsualRate"), Reserve: p.num(at + "Reservation"),
			Weight: p.num(at + "Shares"), Pays: p.num(at + "Pays"), Limit: p.num(at + "CeilingRate"),
			LimitCap: p.num(at + "CapDepth"), LimitDebt: p.num(at + "CapSlack"),
		})
	}
	s.Siblings = int(p.num("Siblings"))
	s.Shards = int(p.num("FamilyInfo.NShards"))
	s.MeanUnits, s.MostUnits = p.num("FamilyInfo.MeanUnits"), p.num("FamilyInfo.MostUnits")
	s.FairWorth, s.IdleWorth = p.num("FamilyInfo.FairWorth"), p.num("FamilyInfo.IdleWorth")
	s.AskList = p.vals["Discovery"] == "ask"
	s.AskWithin = p.ms("Invariants.AskWithin")
	s.MaxAttempts = int(p.num("Limits.AttemptsCap"))
	s.MayDuplicate = p.yes("Limits.MayDuplicate")
	s.MayCancel, s.MayProbe = p.yes("Limits.Cancel"), p.yes("Limits.Probing")
	if p.yes("Limits.RetryAfter") {
		s.MaxComeBack = p.ms("Limits.MaxRetryAfter")
	}
	s.AnswerGrace, s.DrainGrace = p.ms("Invariants.GraceToAnswer"), p.ms("Invariants.DrainGrace")
	s.StartCapacity, s.RampTime = p.num("Invariants.StartCapacity"), p.ms("Invariants.RampTime")
	s.FallMultiple, s.FallWindow = p.num("Invariants.FallMultiple"), p.ms("Invariants.Fall")
	s.ColdBears = p.num("FamilyInfo.ColdBears")
	s.KeyRest = p.ms("Invariants.KeyRest")
	s.ExtraFloor, s.ExtraRatio = p.num("Invariants.ExtraFloor"), p.num("Invariants.ExtraRatio")
	s.ExtraWindow = p.ms("Invariants.CountedOver")
	s.UsePeriod = p.ms("FamilyInfo.UsePeriod")
	s.TellsElsewhere = p.yes("FamilyInfo.TellsElsewhere")
	if v := p.vals["Report.Fields"]; v != "" && v != "-" {
		s.ReportFields = strings.Split(v, ",")
	}
	s.Tick = p.ms("Tick")
	if f.err == nil {
		f.err = p.err
	}
	return s
}
