package chaos

import (
	"fmt"
	"math"
	"time"

	"gaugerelay/internal/testbed/process"
)

// Settings of the gateways. The bounds of the checker are derived from them.
const (
	meanUnits         = 2.0         // mean units of a request
	maxUnits          = 6.0         // units of the largest request
	drainGrace        = time.Second // how long a gateway may still send to a server after the gateway was notified that the server drains
	maxPollInterval   = 10 * time.Second
	overloadWindow    = 3 * time.Second // sliding window over which the load of a server in slow start is limited
	slowStartDuration = 8 * time.Second // time from the start of a server until it has its full capacity
	initialCapacity   = 0.28            // capacity of a server right after its start, as a fraction of its full capacity
	slowStartUnits    = 51.0            // units that a server can serve in the first overloadWindow after its start
	dedupWindow       = 3 * time.Second // how long a server recognizes the key of a request that it has executed
	connectTimeout    = 250 * time.Millisecond
	connIdleTimeout   = 4 * time.Second
	maxAttempts       = 3
)

// Tolerances of the checker.
const (
	socketSlack          = 50 * time.Millisecond  // added to time limits, for the delay of sockets
	maxNotificationDelay = 6 * time.Second        // delay after which a gateway is treated as having been notified of a change; see notifiedAt
	cancelSlack          = 100 * time.Millisecond // an attempt may still begin this long after the client has closed its connection
	deadlineSlack        = 150 * time.Millisecond // by how much the remaining time stated to a server may exceed that of the client
	responseSlack        = 500 * time.Millisecond // how late a response may be without counting as lost
	acceptTime           = 400 * time.Millisecond // how long a gateway goes on accepting new connections after SIGTERM
)

// firstVolume is the ID of the volume that the requests to the first gateway name. The requests to the other gateways name
// the following IDs.
const firstVolume = 0xb000

// idempotency says whether a request of a service class may be executed more than once. The values are the names in the
// settings.
type idempotency string

const (
	idempotent        idempotency = "repeatable" // may be executed any number of times
	idempotentWithKey idempotency = "by_key"     // may be retried while servers recognize its key
	notIdempotent     idempotency = "once"       // must not be executed more than once
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
// of the server. The capacity of the server rises linearly from initialCapacity to 1 within slowStartDuration. The bound
// includes a margin of two or three standard deviations, because requests arrive at random.
func slowStartBound(age time.Duration) float64 {
	capacity := initialCapacity + (1-initialCapacity)*min(1, age.Seconds()/slowStartDuration.Seconds())
	requests := slowStartUnits / meanUnits * capacity / initialCapacity
	if requests < 30 {
		return requests + 3*math.Sqrt(requests) + 3
	}
	return requests + 2*math.Sqrt(requests) + 2
}

// gatewayConfig returns the configuration of a gateway, with the current endpoint list as its cached snapshot.
func (h *harness) gatewayConfig(g *gateway) process.Config {
	return process.Config{
		Name:      g.Name,
		Listen:    g.ListenAddr,
		Discovery: h.discovery.addrs[g.Index][g.discoveryAddr],
		Seed:      fmt.Sprintf("%016x", h.options.Seed<<16+uint64(g.Index+1)),
		Known:     h.discovery.currentList(),
		Limits:    g.limits,
		Settings:  gatewaySettings(&h.options, g.Index),
	}
}

// gatewaySettings returns the settings of a gateway. The gateway determines the names of the keys.
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
