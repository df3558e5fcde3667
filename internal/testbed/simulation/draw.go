// Package deployments plays deployments that nobody has yet: settings drawn from ranges wider than those of any known
// one, real gateways, and stand-ins for clients, nodes and discovery that check the rules. It runs in the settable time
// of a test's bubble; what must never be is counted where requests arrive and where answers do.
package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// class is a kind of request, as the settings name it.
type class struct {
	Name          string
	PromiseMs     float64
	DeadlineMs    float64
	Idempotency   string
	KeyScope      string  `json:",omitempty"`
	DedupWindowMs float64 `json:",omitempty"`
	Worth         float64
	LateValue     float64
	write         bool
}

type plan struct {
	Name                   string
	UsualRate, Reservation float64
	Shares, Pays           float64
	CeilingRate            float64 `json:",omitempty"`
	CapDepth, CapSlack     float64 `json:",omitempty"`
}

// Deployment is one that was drawn.
type Deployment struct {
	Seed               uint64
	Push               bool
	MaxPollIntervalMs  float64
	Gateways           int // that are played
	FleetSize          int // that the settings tell of
	Shards             int
	Zones              []string
	Classes            []class
	Plans              []plan
	MaxAttempts        int
	RetryAfter         bool
	DrainGraceMs       float64 // of drains
	ServersHonorCancel bool    // nodes stop work that is given up

	InitialCapacity, SlowStartMs, OverloadMultiple, OverloadWindowMs, SlowStartUnits float64
	Capacity                                                                         float64 // units a second of a warm node
	ServiceTimeMs                                                                    float64 // of a unit at a node with nothing else to do
	Volumes                                                                          []volume
	ReportsServedElsewhere                                                           bool
	ReportFields                                                                     []string
	DiscoveryLagMs                                                                   float64 // of discovery
	DrainingServersReject                                                            bool    // nodes that drain turn away what comes
}

// volume is drawn with where its requests come from and go to.
type volume struct {
	ID     uint64
	Plan   int
	Hosts  []int
	Shards []int
	Usage  float64 // of the plan's rate, in the mean
	Surge  float64 // times that in the middle of the play
}

const meanUnits, mostUnits = 2.0, 6.0

// names are such as no known deployment has, too.
var names = []string{"read", "cv-read", "a", "b1_c.d", "très-cher", "плановый", strings.Repeat("long-", 12) + "name", "層", "0"}

// Draw draws a deployment.
func Draw(seed uint64) *Deployment {
	rnd := rand.New(rand.NewPCG(seed, 21))
	in := func(a, b float64) float64 { return a + (b-a)*rnd.Float64() }
	yes := func(part float64) bool { return rnd.Float64() < part }
	d := &Deployment{Seed: seed, Push: yes(0.5), MaxPollIntervalMs: in(5000, 12000), Gateways: 1 + rnd.IntN(4), Shards: 1 + rnd.IntN(5),
		MaxAttempts: 1 + rnd.IntN(5), RetryAfter: yes(0.7), DrainGraceMs: in(500, 3000), ServersHonorCancel: yes(0.5),
		InitialCapacity: in(0.1, 0.5), SlowStartMs: in(4000, 20000), OverloadMultiple: in(1.5, 3.5), OverloadWindowMs: in(500, 4000),
		ReportsServedElsewhere: yes(0.7), DiscoveryLagMs: in(100, 4000), ServiceTimeMs: in(3, 20)}
	d.FleetSize = d.Gateways
	if yes(0.2) {
		d.FleetSize = 300
	}
	for i := range 1 + rnd.IntN(5) {
		d.Zones = append(d.Zones, fmt.Sprintf("room-%c", 'a'+i))
	}
	d.ReportFields = [][]string{nil, {"queue"}, {"latency_ms"}, {"inflight", "queue", "util", "qps"}}[rnd.IntN(4)]
	effects := []string{"repeatable", "by_key", "once"}
	order := rnd.Perm(len(names))
	for i := range 1 + rnd.IntN(4) {
		c := class{Name: names[order[i]], PromiseMs: in(120, 2000), Worth: in(0.5, 5), LateValue: in(0, 0.4),
			Idempotency: effects[rnd.IntN(3)]}
		c.DeadlineMs = min(6000, c.PromiseMs*in(1.5, 8))
		if c.write = c.Idempotency != "repeatable"; c.Idempotency == "by_key" {
			c.KeyScope, c.DedupWindowMs = []string{"all", "zone", "cell"}[rnd.IntN(3)], in(500, 4000)
		}
		d.Classes = append(d.Classes, c)
	}
	order = rnd.Perm(len(names))
	for i := range 1 + rnd.IntN(6) {
		p := plan{Name: names[order[i]], UsualRate: in(3, 20), Shares: in(0.5, 5), Pays: in(0.3, 2)}
		if yes(0.6) {
			p.Reservation = p.UsualRate * in(0.3, 1)
		}
		d.Plans = append(d.Plans, p)
	}
	usual := make([]float64, d.Shards)
	for i := range 2 + rnd.IntN(8) {
		v := volume{ID: uint64(seed)<<16 | uint64(i), Plan: rnd.IntN(len(d.Plans)), Usage: in(0.4, 1), Surge: 1,
			Hosts: rnd.Perm(d.Gateways)[:1+rnd.IntN(d.Gateways)], Shards: rnd.Perm(d.Shards)[:1+rnd.IntN(d.Shards)]}
		if yes(0.5) {
			v.Surge = in(5, 30)
		}
		for _, s := range v.Shards {
			usual[s] += d.Plans[v.Plan].UsualRate / float64(len(v.Shards))
		}
		d.Volumes = append(d.Volumes, v)
	}
	for i := range d.Plans { // a limit's store holds two of the largest requests for each host of a volume
		if p := &d.Plans[i]; yes(0.5) {
			p.CeilingRate = p.UsualRate * in(1.2, 8)
			p.CapDepth = max(p.CeilingRate*in(1, 2), 2*mostUnits*float64(d.Gateways))
			p.CapSlack = max(0.1*p.CapDepth, mostUnits)
		}
	}
	for _, u := range usual { // usual rates are within two thirds of what nodes can do
		d.Capacity = max(d.Capacity, 1.5*u/0.9)
	}
	if yes(0.4) { // nodes that can do far more: nothing but limits holds a surge back
		d.Capacity *= 8
	}
	d.DrainingServersReject = yes(0.5)
	d.SlowStartUnits = d.OverloadMultiple * d.InitialCapacity * d.Capacity * d.OverloadWindowMs / 1000
	return d
}

// config is what the platform gives a gateway. Where a figure may be absent some deployments leave it out.
func (d *Deployment) config(gateway int, seed uint64, known any) []byte {
	rnd := rand.New(rand.NewPCG(d.Seed, 22)) // alike for all gateways
	writes := make([]bool, len(d.Classes))
	for i, c := range d.Classes {
		writes[i] = c.write
	}
	limits := map[string]any{"AttemptsCap": d.MaxAttempts, "Cancel": rnd.IntN(2) == 0, "Probing": rnd.IntN(2) == 0,
		"Peers": rnd.IntN(2) == 0, "MayDuplicate": rnd.IntN(2) == 0, "RetryAfter": d.RetryAfter, "MaxRetryAfterMs": 500,
		"ConnIdleMs": 30000, "ConnectTimeoutMs": 250, "StreamsPerConn": 100}
	rules := map[string]any{"GraceToAnswerMs": 8, "DrainGraceMs": d.DrainGraceMs, "StartCapacity": d.InitialCapacity,
		"RampTimeMs": d.SlowStartMs, "FallMultiple": d.OverloadMultiple, "FallMs": d.OverloadWindowMs}
	discovery := "push"
	if !d.Push {
		discovery, rules["AskWithinMs"] = "ask", d.MaxPollIntervalMs
	}
	family := map[string]any{"ClassWrites": writes, "ColdBears": d.SlowStartUnits, "MeanUnits": meanUnits, "MostUnits": mostUnits,
		"NShards": d.Shards, "FairWorth": 0.3, "IdleWorth": 0.05, "TellsElsewhere": d.ReportsServedElsewhere}
	for _, key := range []string{"FairWorth", "IdleWorth"} {
		if rnd.IntN(4) == 0 {
			delete(family, key)
		}
	}
	if rnd.IntN(4) == 0 {
		delete(limits, "ConnIdleMs")
	}
	out, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", gateway), "listen": listenAt(gateway),
		"discovery": agentAt(gateway), "seed": fmt.Sprintf("%016x", seed), "known": known,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets},
		"settings": map[string]any{"Siblings": d.FleetSize, "SelfIndex": gateway, "Lanes": d.Classes, "Plans": d.Plans,
			"Discovery": discovery, "Limits": limits, "Invariants": rules, "FamilyInfo": family, "TickMs": 2,
			"Zones": d.Zones, "Report": map[string]any{"Fields": d.ReportFields, "Via": "inline"}}})
	if err != nil {
		panic(err) // drawn figures are finite
	}
	return out
}

func listenAt(gateway int) string { return fmt.Sprintf("127.0.1.%d:7070", gateway+1) }
func agentAt(gateway int) string  { return fmt.Sprintf("127.0.2.%d:8500", gateway+1) }
func nodeAt(gateway, node int) string {
	return fmt.Sprintf("127.1.%d.%d:7070", gateway+1, node+1)
}
