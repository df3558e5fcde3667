package scheduler

import (
	"math"
	"time"
)

const (
	// demandInterval is the least time between two QuotaDemands of a volume.
	demandInterval = 100 * time.Millisecond
	// demandDecayTime is the time constant over which the demand in a QuotaDemand is measured.
	demandDecayTime = time.Second
	// usageHalfLife is the half-life of what is known of a volume's use through this and other gateways.
	usageHalfLife = 2 * latencyHalfLife
	// unitsBound is the amount of units from which on a reported value is not believed.
	unitsBound = 1e9
)

// volumeEntry is the state of a volume over all shards, as seen from this gateway.
type volumeEntry struct {
	plan          *Plan
	gateways      float64     // through which its requests come
	reserve       tokenBucket // this gateway's part of Plan.Reserve
	baseline      tokenBucket // this gateway's part of Plan.Rate
	limit         tokenBucket // this gateway's part of Plan.Limit
	lastRequestAt time.Duration

	localUnits     float64 // units served through this gateway, decaying
	foreignUnits   float64 // units served through other gateways as far as reported, decaying
	usageUpdatedAt time.Duration

	demand       decayingSum   // units requested here, over demandDecayTime
	nextDemandAt time.Duration // when the next QuotaDemand may be sent; 0: none has been sent
}

// volumeFor returns the state of a request's volume, which it creates at the volume's first request.
func (s *Scheduler) volumeFor(arrival *RequestArrived, plan *Plan) *volumeEntry {
	gateways := float64(arrival.Gateways)
	if arrival.Gateways < 1 || arrival.Gateways > s.settings.Gateways {
		gateways = float64(s.settings.Gateways)
	}
	volume := s.volumes[arrival.Volume]
	if volume == nil {
		volume = s.newVolumeEntry(plan, gateways)
		s.volumes[arrival.Volume] = volume
	}
	if gateways > volume.gateways { // it also comes through further gateways, so the part of each is smaller
		volume.gateways = gateways
		volume.limit.resize(s.now, min(volume.limit.rate, plan.Limit/gateways), min(volume.limit.capacity, plan.LimitBurst/gateways))
	}
	volume.lastRequestAt = s.now
	volume.updateQuotaRates(s.now, max(1, s.settings.MeanUnits))
	return volume
}

// newVolumeEntry returns the state of a volume without requests. The bucket of its limit counts as empty at the gateway's start,
// because a previous process may have used it up, and has been filling since.
func (s *Scheduler) newVolumeEntry(plan *Plan, gateways float64) *volumeEntry {
	share := s.settings.InitialQuotaShare
	return &volumeEntry{
		plan:     plan,
		gateways: gateways,
		reserve:  newFullTokenBucket(plan.Reserve/gateways, plan.Reserve/gateways+s.settings.MaxUnits, s.now),
		baseline: newFullTokenBucket(plan.Rate/gateways, plan.Rate/gateways+s.settings.MaxUnits, s.now),
		limit:    newTokenBucket(plan.Limit/gateways*share, plan.LimitBurst/gateways*share, s.startedAt),
	}
}

// withinReserve reports whether units are covered by this gateway's part of the reserve now.
func (v *volumeEntry) withinReserve(now time.Duration, units float64) bool {
	return v.plan.Reserve > 0 && v.reserve.available(now) >= units
}

// isIdle reports whether the volume has had no request for long and its limit is full, so that its state can be dropped.
func (v *volumeEntry) isIdle(now time.Duration) bool {
	return now-v.lastRequestAt > volumeIdleTimeout && (v.plan.Limit == 0 || v.limit.available(now) >= v.limit.capacity)
}

// validUnits reports whether an amount of units is a believable number.
func validUnits(units float64) bool { return units >= 0 && units < unitsBound }

// recordUsage adds the units of a served request and those that other gateways were served meanwhile, as the response reports them.
// A reported value that is out of range is ignored.
func (v *volumeEntry) recordUsage(now time.Duration, units, foreignUnits float64) {
	if !validUnits(foreignUnits) {
		return
	}
	decay := math.Exp2(-float64(now-v.usageUpdatedAt) / float64(usageHalfLife))
	v.localUnits, v.foreignUnits, v.usageUpdatedAt = decay*v.localUnits+units, decay*v.foreignUnits+foreignUnits, now
}

// updateQuotaRates sets this gateway's part of the reserve and of the baseline rate by the reported usage. With few or old reports
// it tends to the equal share. meanUnits is the mean size of a request.
func (v *volumeEntry) updateQuotaRates(now time.Duration, meanUnits float64) {
	decay := math.Exp2(-float64(now-v.usageUpdatedAt) / float64(usageHalfLife))
	part := (decay*v.localUnits + meanUnits/v.gateways) / (decay*(v.localUnits+v.foreignUnits) + meanUnits)
	v.reserve.setRate(now, v.plan.Reserve*part)
	v.baseline.setRate(now, v.plan.Rate*part)
}

// recordDemand counts the units of a request and reports whether a QuotaDemand is due.
func (v *volumeEntry) recordDemand(now time.Duration, units float64) bool {
	v.demand.add(now, demandDecayTime, units)
	return v.nextDemandAt == 0 || now >= v.nextDemandAt
}

// quotaDemand returns what the volume's requests at this gateway could use of its limit.
func (v *volumeEntry) quotaDemand(id VolumeID) QuotaDemand {
	demand := QuotaDemand{
		Volume:   id,
		Gateways: int(v.gateways),
		Share:    v.demand.units / demandDecayTime.Seconds() / v.plan.Limit,
		First:    v.nextDemandAt == 0,
	}
	v.nextDemandAt = v.demand.updatedAt + demandInterval
	return demand
}

// applyQuotaShare sets the part of the limit that is in force at this gateway.
func (v *volumeEntry) applyQuotaShare(now time.Duration, share float64) {
	v.limit.resize(now, v.plan.Limit*share, v.plan.LimitBurst*share)
}
