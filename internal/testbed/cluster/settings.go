package cluster

import (
	"fmt"

	"gaugerelay/internal/testbed/process"
)

// Settings of the gateways.
const (
	limitRate          = 60.0 // limit of each volume in units per second
	maxUnits           = 6.0  // units of the largest request
	meanUnits          = 2.0  // mean units of a request
	deadlineMs         = 1500
	latencyObjectiveMs = 400
	drainGraceMs       = 1000 // how long a gateway may still send to a server after the gateway was notified that the server drains
)

// limitTimeSlackMs extends the allowed overdraft of a volume by the units that limitRate yields in this time. Sockets delay
// requests by different times, so requests that were sent apart may arrive together.
const limitTimeSlackMs = 150

// limitBurst returns the size of the token bucket of a volume in units: two of the largest requests for each host, but at
// least the units that limitRate yields in one second.
func limitBurst(hosts int) float64 { return max(limitRate, 2*maxUnits*float64(hosts)) }

// limitOverdraft returns the units by which a volume may exceed its limit: a tenth of the burst, but at least the largest
// request.
func limitOverdraft(hosts int) float64 { return max(maxUnits, 0.1*limitBurst(hosts)) }

// gatewayConfig returns the configuration of a gateway, with its current endpoint list as its cached snapshot.
func (p *platform) gatewayConfig(gateway *process.Process, gateways int) process.Config {
	return process.Config{
		Name:      gateway.Name,
		Listen:    gateway.ListenAddr,
		Discovery: p.views[gateway.Index].listAddr,
		Seed:      fmt.Sprintf("%016x", gateway.Index+1),
		Known:     p.endpointList(gateway.Index),
		Limits:    process.Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
		Settings:  gatewaySettings(gateway.Index, gateways, p.hosts, p.shards),
	}
}

// gatewaySettings returns the settings of a gateway. The gateway determines the names of the keys.
func gatewaySettings(index, gateways, hosts, shards int) map[string]any {
	return map[string]any{"Siblings": gateways, "SelfIndex": index, "TickMs": 2, "Discovery": "push", "Zones": []string{"a"},
		"Lanes": []any{map[string]any{"Name": "pull", "PromiseMs": latencyObjectiveMs, "DeadlineMs": deadlineMs, "Idempotency": "once",
			"Worth": 1}},
		"Plans": []any{map[string]any{"Name": "basic", "UsualRate": limitRate / 4, "Reservation": limitRate / 8, "Shares": 1, "Pays": 1,
			"CeilingRate": limitRate, "CapDepth": limitBurst(hosts), "CapSlack": limitOverdraft(hosts)}},
		"Limits": map[string]any{"AttemptsCap": 2, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500, "ConnIdleMs": 30000,
			"ConnectTimeoutMs": 250},
		"Invariants": map[string]any{"GraceToAnswerMs": 8, "DrainGraceMs": drainGraceMs},
		"FamilyInfo": map[string]any{"ClassWrites": []bool{false}, "MeanUnits": meanUnits, "MostUnits": maxUnits, "NShards": shards,
			"FairWorth": 0.3, "IdleWorth": 0.05}}
}
