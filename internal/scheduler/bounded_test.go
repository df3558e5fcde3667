package scheduler

import (
	"testing"
	"time"
)

// Guards against memory that grows without end while clients send requests of ever new volumes and keys, and no request fails.
func TestStateIsBoundedUnderNewNames(t *testing.T) {
	settings := goldenPolledSettings()
	settings.Classes[1].OrderedByKey = true
	scheduler, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	scheduler.Step(now, []Event{EndpointUpdate{Version: 1, Kind: Snapshot, Servers: []Server{{ID: 1, Shard: 0, Kind: "disk", Size: 1}}}})
	const arrivals, perStep = 40_000, 40
	for number := 0; number < arrivals; number += perStep {
		now += 10 * ms
		var events []Event
		for i := range perStep {
			id := RequestID(number + i + 1)
			events = append(events, RequestArrived{ID: id, Class: "write", Plan: "limited", Volume: VolumeID(id), Key: uint64(id), Remaining: time.Second,
				Units: 1, Shard: 0, Gateways: 1}, RequestCanceled{ID: id})
		}
		scheduler.Step(now, events)
	}
	if count := len(scheduler.volumes); count > maxVolumes || scheduler.recentVolumes.Len() != count {
		t.Errorf("the state of %d volumes is kept, %d by recency, want at most %d of both", count, scheduler.recentVolumes.Len(), maxVolumes)
	}
	if count := len(scheduler.keyOrder.queues); count > maxIdleKeys+perStep {
		t.Errorf("the state of %d keys is kept, want at most %d", count, maxIdleKeys)
	}
	if steps := int(settings.RetryBudgetWindow / (10 * ms)); len(scheduler.retryBudget.arrivals) > steps {
		t.Errorf("%d arrivals are kept, want one for each of %d steps in the window at most", len(scheduler.retryBudget.arrivals), steps)
	}
}

// A volume whose state was dropped to make room must not get the burst of its limit again.
func TestDroppedVolumeGetsNoSecondBurst(t *testing.T) {
	scheduler, err := New(goldenPushedSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	plan := scheduler.plans["limited"]
	scheduler.now = time.Hour
	scheduler.startedAt = time.Minute
	volumeOf := func(id VolumeID) *volumeEntry {
		return scheduler.volumeFor(&RequestArrived{Volume: id, Gateways: 1}, plan)
	}
	scheduler.settings.InitialQuotaShare = 1
	used := volumeOf(1)
	if available := used.limit.available(scheduler.now); available != plan.LimitBurst {
		t.Fatalf("a new volume may use %v units, want its burst of %v", available, plan.LimitBurst)
	}
	used.limit.consume(scheduler.now, plan.LimitBurst)
	for id := range VolumeID(maxVolumes) {
		volumeOf(id + 2)
	}
	if scheduler.volumes[1] != nil {
		t.Fatal("the state of the volume was kept, want it dropped")
	}
	if available := volumeOf(1).limit.available(scheduler.now); available > 0 {
		t.Errorf("after its state was dropped, the volume may use %v units, want none", available)
	}
}
