package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minFairPriority is the lowest relative priority by which the cost of a request is divided when its flow is charged.
	minFairPriority = 0.1
	// idleFlowOutstanding is the mean of outstanding requests below which an idle flow is dropped.
	idleFlowOutstanding = 0.01
)

// flow is the queue of a volume at one shard, with its state of start-time fair queueing.
type flow struct {
	volumeID        VolumeID
	volume          *volumeEntry
	startTag        float64    // virtual time at which its next request starts
	queue           []*request // by objective
	outstanding     int        // requests in flight
	meanOutstanding float64    // smoothed over latencyHalfLife
}

// newFlow returns the flow of a request's volume.
func newFlow(request *request) *flow { return &flow{volumeID: request.Volume, volume: request.volume} }

// isIdle reports whether the flow has neither queued nor outstanding requests.
func (f *flow) isIdle() bool { return f.outstanding == 0 && len(f.queue) == 0 }

// insert puts a request into the queue, behind those with the same objective.
func (f *flow) insert(request *request) {
	i, _ := slices.BinarySearchFunc(f.queue, request, compareObjectives)
	f.queue = slices.Insert(f.queue, i, request)
	request.queued = true
}

// compareObjectives orders requests by objective. It never returns 0, so that a request sorts behind equal ones.
func compareObjectives(a, b *request) int {
	return cmp.Or(cmp.Compare(a.objectiveAt, b.objectiveAt), -1)
}

// shard is a part of the pool. One server holds it, or two while one replaces the other.
type shard struct {
	servers          []*serverEntry // those that are ready, the longest running first
	flows            []*flow        // in order of creation
	flowsByVolume    map[VolumeID]*flow
	active           bool // in Scheduler.activeShards
	windowsUpdatedAt time.Duration
	virtualTime      float64     // of start-time fair queueing
	demand           decayingSum // units requested, over Settings.SlowStartDuration
}

// flowFor returns the flow of a request's volume, which it creates if need be.
func (sh *shard) flowFor(request *request) *flow {
	flow := sh.flowsByVolume[request.Volume]
	if flow == nil {
		flow = newFlow(request)
		sh.flowsByVolume[request.Volume] = flow
		sh.flows = append(sh.flows, flow)
	}
	flow.volume = request.volume // the volume's state may have been evicted and created again since
	return flow
}

// smoothFlows updates the mean outstanding requests of the flows and returns the sum of the weights of those that are not idle. If
// all are idle, the virtual time advances to the latest start tag, so that no flow is charged for earlier requests any more.
func (sh *shard) smoothFlows(elapsed time.Duration) (weights float64) {
	maxTag, decay := 0.0, math.Exp2(-float64(elapsed)/float64(latencyHalfLife))
	for _, flow := range sh.flows {
		flow.meanOutstanding = decay*flow.meanOutstanding + (1-decay)*float64(flow.outstanding)
		maxTag = max(maxTag, flow.startTag)
		if !flow.isIdle() {
			weights += flow.volume.plan.Weight
		}
	}
	if weights == 0 {
		sh.virtualTime = max(sh.virtualTime, maxTag)
	}
	return weights
}

// dropIdleFlows drops idle flows whose state is that of a new flow.
func (sh *shard) dropIdleFlows() {
	sh.flows = slices.DeleteFunc(sh.flows, func(flow *flow) bool {
		droppable := flow.isIdle() && flow.startTag <= sh.virtualTime && flow.meanOutstanding < idleFlowOutstanding
		if droppable {
			delete(sh.flowsByVolume, flow.volumeID)
		}
		return droppable
	})
}

// enqueue puts a request into its flow.
func (s *Scheduler) enqueue(request *request) {
	shard := request.shard
	flow := shard.flowFor(request)
	if !shard.active {
		shard.active = true
		shard.windowsUpdatedAt = max(shard.windowsUpdatedAt, s.now-s.settings.SlowStartDuration, s.startedAt)
		s.activeShards = append(s.activeShards, shard)
	}
	if len(flow.queue) == 0 {
		flow.startTag = max(flow.startTag, shard.virtualTime)
	}
	flow.insert(request)
}

// selectNext returns the request that leaves next for a server and its flow, or nil: requests within their reserve come first,
// then the flow with the lowest start tag. latency is how long a response takes.
func (s *Scheduler) selectNext(shard *shard, server *serverEntry, latency time.Duration) (best *flow, next *request) {
	bestReserved := false
	for _, flow := range shard.flows {
		i := slices.IndexFunc(flow.queue, func(request *request) bool {
			return s.canMeetObjective(request, latency) && s.now >= request.retryNotBefore && s.authorizeSend(server, request)
		})
		if i < 0 {
			continue
		}
		request := flow.queue[i]
		reserved := flow.volume.withinReserve(s.now, request.Units)
		if best == nil || reserved && !bestReserved || reserved == bestReserved && flow.startTag < best.startTag {
			best, next, bestReserved = flow, request, reserved
		}
	}
	return best, next
}

// chargeFlow charges a request that is sent now to its flow: to the reserve if that covers it, else to the fair share.
func (s *Scheduler) chargeFlow(flow *flow, request *request) {
	volume := flow.volume
	if volume.withinReserve(s.now, request.Units) {
		volume.reserve.consume(s.now, request.Units)
	} else {
		shard := request.shard
		shard.virtualTime = max(shard.virtualTime, flow.startTag)
		priority := max(request.class.PriorityWeight*volume.plan.PriorityFactor/s.maxPriority, minFairPriority)
		flow.startTag += request.Units / (volume.plan.Weight * priority)
	}
	if volume.baseline.available(s.now) >= request.Units {
		volume.baseline.consume(s.now, request.Units)
	}
}
