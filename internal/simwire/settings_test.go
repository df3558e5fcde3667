package simwire

import (
	"testing"
	"time"

	"gaugerelay/internal/scheduler"
)

// The settings in a line must be converted to those of the scheduler, and unknown settings must be ignored. MaxRetryAfter must be 0,
// because Limits.RetryAfter is false.
func TestReaderParsesSettings(t *testing.T) {
	batch := readBatch(t, "CLOCK 1 1\nTARGET_INSTANCE 0\nOPEN_INSTANCE 5 Strange.Key=1 Discovery=ask FamilyInfo.ClassWrites=true"+
		" FamilyInfo.ColdBears=12.0 Invariants.KeyRestMs=200.0 Invariants.ExtraRatio=0.15 Lanes.count=1"+
		" Lanes.0.Name=w Lanes.0.PromiseMs=500.0 Lanes.0.DeadlineMs=3000.0 Lanes.0.Idempotency=by_key"+
		" Lanes.0.KeyScope=zone Lanes.0.InTurn=true Plans.count=1 Plans.0.Name=p Plans.0.CeilingRate=30.0 Siblings=3"+
		" Limits.AttemptsCap=4 Limits.RetryAfter=false Limits.MaxRetryAfterMs=500.0 Report.Fields=inflight,queue\nEND\n")
	item := batch.Items[0]
	settings := item.Settings
	class := settings.Classes[0]
	switch {
	case item.Kind != InstanceOpened || item.Seed != 5:
		t.Errorf("got item %+v, want InstanceOpened with seed 5", item)
	case class.Idempotency != scheduler.IdempotentWithKey || class.DedupScope != scheduler.DedupZone ||
		!class.OrderedByKey || !class.Write || class.LatencyObjective != time.Second/2:
		t.Errorf("class does not match the settings of the line: %+v", class)
	case settings.Plans[0].Limit != 30 || settings.Gateways != 3 || !settings.PollEndpoints ||
		settings.KeyCooldown != 200*time.Millisecond:
		t.Errorf("settings do not match those of the line: %+v", settings)
	case settings.SlowStartUnits != 12 || settings.RetryBudgetRatio != 0.15 ||
		settings.MaxRetryAfter != 0 || len(settings.LoadReportFields) != 2:
		t.Errorf("settings do not match those of the line: %+v", settings)
	}
}
