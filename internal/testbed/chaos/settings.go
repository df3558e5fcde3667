package chaos

import (
	"fmt"
	"math"
	"time"

	"gaugerelay/internal/testbed/process"
)

// Settings of the gateways. The bounds of the checker are derived from them.
const (
	meanUnits         = 2.0 // mean units of a request
	maxUnits          = 6.0 // units of the largest request
	drainGrace        = time.Second
	maxPollInterval   = 10 * time.Second
	overloadWindow    = 3 * time.Second
	slowStartDuration = 8 * time.Second
	initialCapacity   = 0.28 // capacity of a server right after its start, as a fraction of its full capacity
	slowStartUnits    = 51.0 // units that a server can serve in the first overloadWindow after its start
	dedupWindow       = 3 * time.Second
	connectTimeout    = 250 * time.Millisecond
	connIdleTimeout   = 4 * time.Second
	maxAttempts       = 3
)

// Tolerances of the checker.
const (
	socketSlack          = 50 * time.Millisecond  // added to time limits, for the delay of sockets
	maxNotificationDelay = 6 * time.Second        // a gateway is treated as notified once discovery has been up this long
	cancelSlack          = 100 * time.Millisecond // how long after its client has closed the connection an attempt may begin
	deadlineSlack        = 150 * time.Millisecond // how much the time stated to a server may exceed the remaining time
	responseSlack        = 500 * time.Millisecond // how late a response may be without counting as lost
	acceptTime           = 400 * time.Millisecond // how long a gateway accepts new connections after SIGTERM
)

// firstVolume is the volume of the requests to the first gateway. The other gateways have the following volumes.
const firstVolume = 0xb000

// idempotency is the idempotency of the requests of a service class, under its name in the settings.
type idempotency string

const (
	idempotent        idempotency = "repeatable"
	idempotentWithKey idempotency = "by_key"
	notIdempotent     idempotency = "once"
)

// class is a service class.
type class struct {
	name             string
	idempotency      idempotency
	latencyObjective time.Duration
	deadline         time.Duration
	write            bool
	priorityWeight   float64
}

var classes = []class{
	{"pull", idempotent, 300 * time.Millisecond, 1500 * time.Millisecond, false, 2},
	{"push", idempotentWithKey, 400 * time.Millisecond, 2 * time.Second, true, 2},
	{"move", notIdempotent, 150 * time.Millisecond, 400 * time.Millisecond, true, 1},
	{"scan", idempotent, time.Second, 3 * time.Second, false, 1},
}

// milliseconds converts a duration to milliseconds, the unit of the settings.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// slowStartBound returns how many requests of meanUnits a server may get within an overloadWindow that ends at the given age
// of the server. It includes a margin of two or three standard deviations for random arrivals.
func slowStartBound(age time.Duration) float64 {
	capacity := initialCapacity + (1-initialCapacity)*min(1, age.Seconds()/slowStartDuration.Seconds())
	requests := slowStartUnits / meanUnits * capacity / initialCapacity
	if requests < 30 {
		return requests + 3*math.Sqrt(requests) + 3
	}
	return requests + 2*math.Sqrt(requests) + 2
}

// gatewayConfig returns the configuration of a gateway, with the current endpoint list as cached snapshot.
func (h *harness) gatewayConfig(g *gateway) process.Config {
	return process.Config{
		Name:      g.Name,
		Listen:    g.ListenAddr,
		Discovery: h.discovery.addrs[g.Index][g.discoveryAddr],
		Seed:      fmt.Sprintf("%016x", h.options.Seed<<16+uint64(g.Index+1)),
		Known:     h.discovery.currentList(),
		Limits:    process.Limits{Cores: 1, MemoryMB: 64, Sockets: 256},
		Settings:  gatewaySettings(&h.options, g.Index),
	}
}

// gatewaySettings returns the settings of a gateway, under the names that it reads.
func gatewaySettings(options *Options, index int) map[string]any {
	mode := "ask"
	if options.PushDiscovery {
		mode = "push"
	}
	classSettings, writes := []any{}, []bool{}
	for _, c := range classes {
		classSettings = append(classSettings, map[string]any{"Name": c.name, "PromiseMs": milliseconds(c.latencyObjective),
			"DeadlineMs": milliseconds(c.deadline), "Idempotency": string(c.idempotency), "KeyScope": "cell",
			"DedupWindowMs": milliseconds(dedupWindow), "Worth": c.priorityWeight, "LateValue": 0.2})
		writes = append(writes, c.write)
	}
	return map[string]any{"Siblings": options.fleetSize(), "SelfIndex": index, "TickMs": 2, "Discovery": mode, "Zones": []string{"a"},
		"Lanes": classSettings,
		"Plans": []any{map[string]any{"Name": "basic", "UsualRate": 40.0, "Reservation": 20.0, "Shares": 1, "Pays": 1}},
		"Limits": map[string]any{"AttemptsCap": maxAttempts, "MayDuplicate": true, "Cancel": true, "RetryAfter": true,
			"MaxRetryAfterMs": 500, "ConnIdleMs": milliseconds(connIdleTimeout), "ConnectTimeoutMs": milliseconds(connectTimeout)},
		"Invariants": map[string]any{"GraceToAnswerMs": 8, "DrainGraceMs": milliseconds(drainGrace), "AskWithinMs": milliseconds(maxPollInterval),
			"FallMs": milliseconds(overloadWindow), "FallMultiple": 2.5, "RampTimeMs": milliseconds(slowStartDuration),
			"StartCapacity": initialCapacity},
		"FamilyInfo": map[string]any{"ClassWrites": writes, "MeanUnits": meanUnits, "MostUnits": maxUnits, "NShards": options.Shards,
			"FairWorth": 0.3, "IdleWorth": 0.05, "ColdBears": slowStartUnits}}
}
