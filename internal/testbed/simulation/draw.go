package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Streams of the random generators; each is combined with the deployment's seed.
const (
	drawStream        = 21
	settingsStream    = 22
	serverStream      = 23
	faultStream       = 24
	firstClientStream = 100 // plus the volume's index
)

// nameChoices are names of classes and plans, among them forms that no known deployment uses.
var nameChoices = []string{"read", "cv-read", "a", "b1_c.d", "très-cher", "плановый", strings.Repeat("long-", 12) + "name", "層", "0"}

// drawer draws the parts of a deployment. The order of its draws determines the deployment of a seed.
type drawer struct{ *rand.Rand }

// between returns a number from [low, high).
func (r drawer) between(low, high float64) float64 { return low + (high-low)*r.Float64() }

// chance returns true with the given probability.
func (r drawer) chance(probability float64) bool { return r.Float64() < probability }

// Draw returns the deployment of a seed.
func Draw(seed uint64) *Deployment {
	r := drawer{rand.New(rand.NewPCG(seed, drawStream))}
	d := &Deployment{Seed: seed, Push: r.chance(0.5), MaxPollIntervalMs: r.between(5000, 12000), Gateways: 1 + r.IntN(4), Shards: 1 + r.IntN(5),
		MaxAttempts: 1 + r.IntN(5), RetryAfter: r.chance(0.7), DrainGraceMs: r.between(500, 3000), ServersHonorCancel: r.chance(0.5),
		InitialCapacity: r.between(0.1, 0.5), SlowStartMs: r.between(4000, 20000), OverloadMultiple: r.between(1.5, 3.5),
		OverloadWindowMs: r.between(500, 4000), ReportsServedElsewhere: r.chance(0.7), DiscoveryLagMs: r.between(100, 4000),
		ServiceTimeMs: r.between(3, 20)}
	d.FleetSize = d.Gateways
	if r.chance(0.2) {
		d.FleetSize = 300
	}
	for i := range 1 + r.IntN(5) {
		d.Zones = append(d.Zones, fmt.Sprintf("room-%c", 'a'+i))
	}
	d.ReportFields = [][]string{nil, {"queue"}, {"latency_ms"}, {"inflight", "queue", "util", "qps"}}[r.IntN(4)]
	d.Classes = r.classes()
	d.Plans = r.plans()
	d.Volumes = r.volumes(d)
	r.setLimits(d)
	r.setCapacity(d)
	d.DrainingServersReject = r.chance(0.5)
	d.SlowStartUnits = d.OverloadMultiple * d.InitialCapacity * d.Capacity * d.OverloadWindowMs / 1000
	return d
}

func (r drawer) classes() []class {
	const maxDeadlineMs = 6000
	idempotencies := []string{idempotent, idempotentWithKey, notIdempotent}
	dedupScopes := []string{dedupScopeAll, dedupScopeZone, dedupScopeShard}
	nameOrder := r.Perm(len(nameChoices))
	var classes []class
	for i := range 1 + r.IntN(4) {
		c := class{Name: nameChoices[nameOrder[i]], LatencyObjectiveMs: r.between(120, 2000), PriorityWeight: r.between(0.5, 5),
			LateValue: r.between(0, 0.4), Idempotency: idempotencies[r.IntN(3)]}
		c.DeadlineMs = min(maxDeadlineMs, c.LatencyObjectiveMs*r.between(1.5, 8))
		c.write = c.Idempotency != idempotent
		if c.Idempotency == idempotentWithKey {
			c.DedupScope, c.DedupWindowMs = dedupScopes[r.IntN(3)], r.between(500, 4000)
		}
		classes = append(classes, c)
	}
	return classes
}

func (r drawer) plans() []plan {
	nameOrder := r.Perm(len(nameChoices))
	var plans []plan
	for i := range 1 + r.IntN(6) {
		p := plan{Name: nameChoices[nameOrder[i]], Rate: r.between(3, 20), Weight: r.between(0.5, 5), PriorityFactor: r.between(0.3, 2)}
		if r.chance(0.6) {
			p.Reservation = p.Rate * r.between(0.3, 1)
		}
		plans = append(plans, p)
	}
	return plans
}

func (r drawer) volumes(d *Deployment) []volume {
	var volumes []volume
	for i := range 2 + r.IntN(8) {
		v := volume{ID: d.Seed<<16 | uint64(i), Plan: r.IntN(len(d.Plans)), Usage: r.between(0.4, 1), SurgeFactor: 1,
			Hosts: r.Perm(d.Gateways)[:1+r.IntN(d.Gateways)], Shards: r.Perm(d.Shards)[:1+r.IntN(d.Shards)]}
		if r.chance(0.5) {
			v.SurgeFactor = r.between(5, 30)
		}
		volumes = append(volumes, v)
	}
	return volumes
}

// setLimits gives some plans a limit. Its token bucket holds two of the largest requests for each host of a volume.
func (r drawer) setLimits(d *Deployment) {
	for i := range d.Plans {
		if !r.chance(0.5) {
			continue
		}
		p := &d.Plans[i]
		p.Limit = p.Rate * r.between(1.2, 8)
		p.LimitBurst = max(p.Limit*r.between(1, 2), 2*maxUnits*float64(d.Gateways))
		p.LimitOverdraft = max(0.1*p.LimitBurst, maxUnits)
	}
}

// setCapacity sets the servers' capacity so that the plans' rates use at most two thirds of it.
func (r drawer) setCapacity(d *Deployment) {
	for _, rate := range shardRates(d) {
		d.Capacity = max(d.Capacity, 1.5*rate/0.9)
	}
	if r.chance(0.4) { // Far more capacity: only limits hold a surge back.
		d.Capacity *= 8
	}
}

// shardRates returns the units per second that the plans' rates bring to each shard.
func shardRates(d *Deployment) []float64 {
	rates := make([]float64, d.Shards)
	for _, v := range d.Volumes {
		for _, shard := range v.Shards {
			rates[shard] += d.Plans[v.Plan].Rate / float64(len(v.Shards))
		}
	}
	return rates
}
