package scheduler

import (
	"container/list"
	"math"
	"time"
)

const (
	// minDemandInterval is the least time between two QuotaDemands of a volume.
	minDemandInterval = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential decay of the demand in a QuotaDemand.
	demandTimeConstant = time.Second
	// usageHalfLife is the half-life of the recorded usage of a volume through this gateway and through other gateways.
	usageHalfLife = 2 * latencyHalfLife
	// minImplausibleUnits is the smallest number of units that is not plausible. Requests with so many units are rejected, and
	// servers' reports of so many are ignored.
	minImplausibleUnits = 1e9
	// maxVolumes bounds the number of volumes whose state is kept. Clients choose the volumes that they name.
	maxVolumes = 8192
)

// volumeEntry is the state of a volume at this gateway, over all shards.
type volumeEntry struct {
	plan          *Plan
	gateways      float64     // number of gateways that receive requests of the volume
	reserve       tokenBucket // this gateway's share of Plan.Reserve
	baseline      tokenBucket // this gateway's share of Plan.Rate
	limit         tokenBucket // this gateway's share of Plan.Limit
	lastRequestAt time.Duration
	id            VolumeID
	recency       *list.Element // element of Scheduler.recentVolumes

	localUnits     float64 // units served through this gateway; decays with usageHalfLife
	foreignUnits   float64 // units served through other gateways according to servers' reports; decays with usageHalfLife
	usageUpdatedAt time.Duration

	demand       decayingSum   // units requested at this gateway; decays with the time constant demandTimeConstant
	nextDemandAt time.Duration // clock time from which the next QuotaDemand may be emitted; 0: none has been emitted
}

// volumeFor returns the state of a request's volume. It creates the state at the volume's first request.
func (s *Scheduler) volumeFor(arrival *RequestArrived, plan *Plan) *volumeEntry {
	gateways := float64(arrival.Gateways)
	if arrival.Gateways < 1 || arrival.Gateways > s.settings.Gateways {
		gateways = float64(s.settings.Gateways)
	}
	volume := s.volumes[arrival.Volume]
	if volume == nil {
		s.makeRoomForVolume()
		volume = s.newVolumeEntry(plan, gateways)
		volume.id, volume.recency = arrival.Volume, s.recentVolumes.PushBack(volume)
		s.volumes[arrival.Volume] = volume
	}
	s.recentVolumes.MoveToBack(volume.recency)
	if gateways > volume.gateways { // more gateways receive requests of the volume, so each has a smaller share
		volume.gateways = gateways
		volume.limit.resize(s.now, min(volume.limit.rate, plan.Limit/gateways), min(volume.limit.capacity, plan.LimitBurst/gateways))
	}
	volume.lastRequestAt = s.now
	volume.updateUsageBasedRates(s.now, max(1, s.settings.MeanUnits))
	return volume
}

// makeRoomForVolume drops the state of the volume whose last request is the longest ago if there are too many. It may come again, so that
// the limits of new volumes are treated as used up at this moment from then on (see newVolumeEntry). Requests that are still open keep the
// state of their volume.
func (s *Scheduler) makeRoomForVolume() {
	if len(s.volumes) < maxVolumes {
		return
	}
	oldest := s.recentVolumes.Front().Value.(*volumeEntry)
	if !oldest.isRestored(s.now) {
		s.limitsUsedUpAt = s.now
	}
	s.dropVolume(oldest)
}

// dropVolume drops the state of a volume.
func (s *Scheduler) dropVolume(volume *volumeEntry) {
	delete(s.volumes, volume.id)
	s.recentVolumes.Remove(volume.recency)
}

// newVolumeEntry returns the state of a volume without requests. The bucket of the volume's limit is treated as empty at the
// gateway's start, or when the state of a volume was dropped early, and as filling since then: a previous process of the gateway, or
// the dropped state, may have emptied it just before.
func (s *Scheduler) newVolumeEntry(plan *Plan, gateways float64) *volumeEntry {
	share := s.settings.InitialQuotaShare
	return &volumeEntry{
		plan:     plan,
		gateways: gateways,
		reserve:  newFullTokenBucket(plan.Reserve/gateways, plan.Reserve/gateways+s.settings.MaxUnits, s.now),
		baseline: newFullTokenBucket(plan.Rate/gateways, plan.Rate/gateways+s.settings.MaxUnits, s.now),
		limit:    newTokenBucket(plan.Limit/gateways*share, plan.LimitBurst/gateways*share, max(s.startedAt, s.limitsUsedUpAt)),
	}
}

// withinReserve reports whether this gateway's share of the reserve covers the units now.
func (v *volumeEntry) withinReserve(now time.Duration, units float64) bool {
	return v.plan.Reserve > 0 && v.reserve.available(now) >= units
}

// isIdle reports whether the state of the volume can be dropped: it has had no request for volumeIdleTimeout, and the bucket
// of its limit is full or it has no limit.
func (v *volumeEntry) isIdle(now time.Duration) bool {
	return now-v.lastRequestAt > volumeIdleTimeout && v.isRestored(now)
}

// isRestored reports whether the bucket of the volume's limit is full, or the volume has no limit.
func (v *volumeEntry) isRestored(now time.Duration) bool {
	return v.plan.Limit == 0 || v.limit.available(now) >= v.limit.capacity
}

// validUnits reports whether a number of units is plausible: not NaN, not negative and below minImplausibleUnits.
func validUnits(units float64) bool { return units >= 0 && units < minImplausibleUnits }

// recordUsage adds the units of a served request, and the units served through other gateways that the response reports. If the
// reported value is out of range, neither is added.
func (v *volumeEntry) recordUsage(now time.Duration, units, foreignUnits float64) {
	if !validUnits(foreignUnits) {
		return
	}
	decay := math.Exp2(-float64(now-v.usageUpdatedAt) / float64(usageHalfLife))
	v.localUnits, v.foreignUnits, v.usageUpdatedAt = decay*v.localUnits+units, decay*v.foreignUnits+foreignUnits, now
}

// updateUsageBasedRates sets this gateway's share of the reserve and of the baseline rate in proportion to its part of the
// recorded usage. If reports are few or old, the share tends to the equal share of a gateway that receives requests of the
// volume. meanUnits is the mean size of a request.
func (v *volumeEntry) updateUsageBasedRates(now time.Duration, meanUnits float64) {
	decay := math.Exp2(-float64(now-v.usageUpdatedAt) / float64(usageHalfLife))
	share := (decay*v.localUnits + meanUnits/v.gateways) / (decay*(v.localUnits+v.foreignUnits) + meanUnits)
	v.reserve.setRate(now, v.plan.Reserve*share)
	v.baseline.setRate(now, v.plan.Rate*share)
}

// recordDemand adds the units of a request to the demand and reports whether a QuotaDemand is due.
func (v *volumeEntry) recordDemand(now time.Duration, units float64) bool {
	v.demand.add(now, demandTimeConstant, units)
	return v.nextDemandAt == 0 || now >= v.nextDemandAt
}

// quotaDemand returns a QuotaDemand with the present demand and sets the earliest time of the next one.
func (v *volumeEntry) quotaDemand(id VolumeID) QuotaDemand {
	demand := QuotaDemand{
		Volume:   id,
		Gateways: int(v.gateways),
		Share:    v.demand.units / demandTimeConstant.Seconds() / v.plan.Limit,
		First:    v.nextDemandAt == 0,
	}
	v.nextDemandAt = v.demand.updatedAt + minDemandInterval
	return demand
}

// applyQuotaShare sets the share of the volume's limit that this gateway may use.
func (v *volumeEntry) applyQuotaShare(now time.Duration, share float64) {
	v.limit.resize(now, v.plan.Limit*share, v.plan.LimitBurst*share)
}
