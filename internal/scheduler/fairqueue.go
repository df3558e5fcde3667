package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minFairPriority is the lower bound of the relative priority by which a request's cost is divided when its flow is charged.
	minFairPriority = 0.1
	// negligibleMeanOutstanding is the mean number of outstanding requests below which the state of an idle flow may be dropped.
	negligibleMeanOutstanding = 0.01
)

// flow is the queue of a volume at one shard, with its state of start-time fair queueing.
type flow struct {
	volumeID        VolumeID
	volume          *volumeEntry
	startTag        float64    // virtual time at which the flow's next request starts
	queue           []*request // queued requests, earliest objective first
	outstanding     int        // attempts in flight
	meanOutstanding float64    // mean of outstanding, smoothed with the half-life latencyHalfLife
}

// newFlow returns an empty flow for the volume of a request.
func newFlow(request *request) *flow { return &flow{volumeID: request.Volume, volume: request.volume} }

// isIdle reports whether the flow has neither queued nor outstanding requests.
func (f *flow) isIdle() bool { return f.outstanding == 0 && len(f.queue) == 0 }

// insert puts a request into the queue, which is ordered by objective. The request follows those with the same objective.
func (f *flow) insert(request *request) {
	i, _ := slices.BinarySearchFunc(f.queue, request, compareObjectives)
	f.queue = slices.Insert(f.queue, i, request)
	request.queued = true
}

// compareObjectives orders requests by objective. It returns -1 for equal objectives, so that a binary search finds the position
// after all of them.
func compareObjectives(a, b *request) int {
	return cmp.Or(cmp.Compare(a.objectiveAt, b.objectiveAt), -1)
}

// shard is a part of the server pool. One server holds it, or two while a new server replaces the old one.
type shard struct {
	servers          []*serverEntry // servers that are ready, longest running first
	flows            []*flow        // flows in the order of their creation
	flowsByVolume    map[VolumeID]*flow
	active           bool // whether Scheduler.activeShards contains the shard
	windowsUpdatedAt time.Duration
	virtualTime      float64     // virtual time of start-time fair queueing
	demand           decayingSum // units requested; decays with the time constant Settings.SlowStartDuration
}

// flowFor returns the flow of a request's volume and creates it if it does not exist.
func (sh *shard) flowFor(request *request) *flow {
	flow := sh.flowsByVolume[request.Volume]
	if flow == nil {
		flow = newFlow(request)
		sh.flowsByVolume[request.Volume] = flow
		sh.flows = append(sh.flows, flow)
	}
	flow.volume = request.volume // the volume's entry may have been evicted and created again
	return flow
}

// smoothFlows updates the flows' mean numbers of outstanding requests and returns the sum of the weights of all flows that are not
// idle. If all flows are idle, the virtual time advances to the latest start tag, so that earlier charges no longer delay any flow.
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

// dropIdleFlows drops idle flows whose state no longer differs from that of a new flow.
func (sh *shard) dropIdleFlows() {
	sh.flows = slices.DeleteFunc(sh.flows, func(flow *flow) bool {
		droppable := flow.isIdle() && flow.startTag <= sh.virtualTime && flow.meanOutstanding < negligibleMeanOutstanding
		if droppable {
			delete(sh.flowsByVolume, flow.volumeID)
		}
		return droppable
	})
}

// enqueue puts a request into the queue of its flow and marks its shard as active.
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

// selectNext returns the next request to send to a server, with its flow, or nil if there is none. Requests within the reserve of
// their volume come first, in the order of the start tags of their flows. The other requests follow, in the same order. latency is
// the expected latency of the shard.
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

// chargeFlow charges a request that is sent now to the reserve of its volume. If the reserve does not cover the request, it
// advances the flow's start tag instead, by the units of the request divided by the weight of the plan and the relative priority
// of the request. In both cases it also charges the volume's baseline rate if the rate covers the request.
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
