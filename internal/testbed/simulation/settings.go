package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// maxSockets is the number of sockets that each gateway may use.
const maxSockets = 512

// settingsDocument is the document that the platform gives a gateway at its start. The platform determines the JSON names of
// the fields in this type and the types below.
type settingsDocument struct {
	Discovery string          `json:"discovery"`
	Known     *endpointUpdate `json:"known"`
	Limits    resourceLimits  `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"`
	Settings  settings        `json:"settings"`
}

type resourceLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type settings struct {
	Discovery  string
	FamilyInfo familySettings
	Invariants ruleSettings
	Classes    []class `json:"Lanes"`
	Limits     requestLimits
	Plans      []plan
	Report     reportSettings
	SelfIndex  int
	FleetSize  int `json:"Siblings"`
	TickMs     int
	Zones      []string
}

type familySettings struct {
	ClassWrites            []bool
	SlowStartUnits         float64 `json:"ColdBears"`
	FairShareWeight        float64 `json:"FairWorth,omitempty"`
	SurplusWeight          float64 `json:"IdleWorth,omitempty"`
	MeanUnits              float64
	MaxUnits               float64 `json:"MostUnits"`
	Shards                 int     `json:"NShards"`
	ReportsServedElsewhere bool    `json:"TellsElsewhere"`
}

type ruleSettings struct {
	MaxPollIntervalMs float64 `json:"AskWithinMs,omitempty"`
	DrainGraceMs      float64
	OverloadWindowMs  float64 `json:"FallMs"`
	OverloadMultiple  float64 `json:"FallMultiple"`
	ResponseGraceMs   float64 `json:"GraceToAnswerMs"`
	SlowStartMs       float64 `json:"RampTimeMs"`
	InitialCapacity   float64 `json:"StartCapacity"`
}

type requestLimits struct {
	MaxAttempts      int     `json:"AttemptsCap"`
	AllowCancel      bool    `json:"Cancel"`
	ConnIdleMs       float64 `json:",omitempty"`
	ConnectTimeoutMs float64
	MaxRetryAfterMs  float64
	AllowHedging     bool `json:"MayDuplicate"`
	AllowPeers       bool `json:"Peers"`
	AllowProbes      bool `json:"Probing"`
	RetryAfter       bool
	StreamsPerConn   int
}

type reportSettings struct {
	Fields []string
	Via    string
}

// settingsFor returns the settings document of a gateway. Some deployments leave out optional values. known is the cached snapshot
// of the endpoint list that the gateway starts with.
func (d *Deployment) settingsFor(gateway int, seed uint64, known *endpointUpdate) []byte {
	random := rand.New(rand.NewPCG(d.Seed, settingsStream)) // The draws are the same for all gateways of a deployment.
	oneIn := func(n int) bool { return random.IntN(n) == 0 }
	limits := requestLimits{MaxAttempts: d.MaxAttempts, AllowCancel: oneIn(2), AllowProbes: oneIn(2), AllowPeers: oneIn(2),
		AllowHedging: oneIn(2), RetryAfter: d.RetryAfter, MaxRetryAfterMs: 500, ConnIdleMs: 30000, ConnectTimeoutMs: 250,
		StreamsPerConn: 100}
	rules := ruleSettings{ResponseGraceMs: 8, DrainGraceMs: d.DrainGraceMs, InitialCapacity: d.InitialCapacity,
		SlowStartMs: d.SlowStartMs, OverloadMultiple: d.OverloadMultiple, OverloadWindowMs: d.OverloadWindowMs}
	discovery := "push"
	if !d.Push {
		discovery, rules.MaxPollIntervalMs = "ask", d.MaxPollIntervalMs
	}
	family := familySettings{ClassWrites: d.classWrites(), SlowStartUnits: d.SlowStartUnits, MeanUnits: meanUnits, MaxUnits: maxUnits,
		Shards: d.Shards, FairShareWeight: 0.3, SurplusWeight: 0.05, ReportsServedElsewhere: d.ReportsServedElsewhere}
	if oneIn(4) {
		family.FairShareWeight = 0
	}
	if oneIn(4) {
		family.SurplusWeight = 0
	}
	if oneIn(4) {
		limits.ConnIdleMs = 0
	}
	document, err := json.Marshal(settingsDocument{Name: fmt.Sprintf("n%d", gateway), Listen: gatewayAddr(gateway),
		Discovery: discoveryAddr(gateway), Seed: fmt.Sprintf("%016x", seed), Known: known,
		Limits: resourceLimits{Cores: 1, MemoryMB: 64, Sockets: maxSockets},
		Settings: settings{FleetSize: d.FleetSize, SelfIndex: gateway, Classes: d.Classes, Plans: d.Plans, Discovery: discovery,
			Limits: limits, Invariants: rules, FamilyInfo: family, TickMs: 2, Zones: d.Zones,
			Report: reportSettings{Fields: d.ReportFields, Via: "inline"}}})
	if err != nil {
		panic(err) // Marshal cannot fail because all numbers are finite.
	}
	return document
}

// classWrites returns for each class whether its requests are writes.
func (d *Deployment) classWrites() []bool {
	writes := make([]bool, len(d.Classes))
	for i, c := range d.Classes {
		writes[i] = c.write
	}
	return writes
}

func gatewayAddr(gateway int) string   { return fmt.Sprintf("127.0.1.%d:7070", gateway+1) }
func discoveryAddr(gateway int) string { return fmt.Sprintf("127.0.2.%d:8500", gateway+1) }

// serverAddr returns the address at which a gateway reaches a server. It is different for each gateway.
func serverAddr(gateway, server int) string {
	return fmt.Sprintf("127.1.%d.%d:7070", gateway+1, server+1)
}
