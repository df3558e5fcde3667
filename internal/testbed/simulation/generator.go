package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Streams of the random generators. Each is combined with the deployment's seed.
const (
	deploymentStream  = 21
	settingsStream    = 22
	serverStream      = 23
	faultStream       = 24
	firstClientStream = 100 // stream of the first volume's clients; the volume's index is added
)

// nameChoices holds the names that classes and plans can have. Some have forms that no known deployment uses, such as other
// scripts, a single digit and great length.
var nameChoices = []string{"read", "cv-read", "a", "b1_c.d", "très-cher", "плановый", strings.Repeat("long-", 12) + "name", "層", "0"}

// deploymentGenerator generates the parts of a deployment. A seed gives the same deployment only while the order of the random
// draws stays the same.
type deploymentGenerator struct{ *rand.Rand }

// between returns a random number from [low, high).
func (r deploymentGenerator) between(low, high float64) float64 { return low + (high-low)*r.Float64() }

// chance returns true with the given probability.
func (r deploymentGenerator) chance(probability float64) bool { return r.Float64() < probability }

// GenerateDeployment returns the deployment that belongs to a seed.
func GenerateDeployment(seed uint64) *Deployment {
	r := deploymentGenerator{rand.New(rand.NewPCG(seed, deploymentStream))}
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

func (r deploymentGenerator) classes() []class {
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

func (r deploymentGenerator) plans() []plan {
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

func (r deploymentGenerator) volumes(d *Deployment) []volume {
	var volumes []volume
	for i := range 2 + r.IntN(8) {
		v := volume{ID: d.Seed<<16 | uint64(i), Plan: r.IntN(len(d.Plans)), Usage: r.between(0.4, 1), SurgeFactor: 1,
			GatewayIndices: r.Perm(d.Gateways)[:1+r.IntN(d.Gateways)], Shards: r.Perm(d.Shards)[:1+r.IntN(d.Shards)]}
		if r.chance(0.5) {
			v.SurgeFactor = r.between(5, 30)
		}
		volumes = append(volumes, v)
	}
	return volumes
}

// setLimits gives a limit to some plans. The token bucket of a limit holds at least two requests of the largest size for each
// gateway.
func (r deploymentGenerator) setLimits(d *Deployment) {
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

// setCapacity sets the servers' capacity so that the rates of the volumes' plans use at most 60 % of it.
func (r deploymentGenerator) setCapacity(d *Deployment) {
	for _, rate := range shardRates(d) {
		d.Capacity = max(d.Capacity, 1.5*rate/0.9)
	}
	if r.chance(0.4) { // With this much capacity, only limits restrict the load of a surge.
		d.Capacity *= 8
	}
}

// shardRates returns the load of each shard in units per second if each volume uses the rate of its plan.
func shardRates(d *Deployment) []float64 {
	rates := make([]float64, d.Shards)
	for _, v := range d.Volumes {
		for _, shard := range v.Shards {
			rates[shard] += d.Plans[v.Plan].Rate / float64(len(v.Shards))
		}
	}
	return rates
}
