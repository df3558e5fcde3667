package simulation

// Values of the key "Idempotency" in the settings.
const (
	idempotent        = "repeatable"
	idempotentWithKey = "by_key"
	notIdempotent     = "once"
)

// Values of the key "KeyScope" in the settings: the group of servers within which a repeated idempotency key is
// recognized.
const (
	dedupScopeAll   = "all"
	dedupScopeZone  = "zone"
	dedupScopeShard = "cell"
)

// class is a request class as the settings describe it.
type class struct {
	Name               string
	LatencyObjectiveMs float64 `json:"PromiseMs"`
	DeadlineMs         float64
	Idempotency        string
	DedupScope         string  `json:"KeyScope,omitempty"`
	DedupWindowMs      float64 `json:",omitempty"`
	PriorityWeight     float64 `json:"Worth"`
	LateValue          float64
	write              bool // whether requests of the class are writes
}

// plan is a plan of volumes as the settings describe it. Rates are in units per second. A plan with Limit 0 has no limit.
type plan struct {
	Name           string
	Rate           float64 `json:"UsualRate"`
	Reservation    float64
	Weight         float64 `json:"Shares"`
	PriorityFactor float64 `json:"Pays"`
	Limit          float64 `json:"CeilingRate,omitempty"`
	LimitBurst     float64 `json:"CapDepth,omitempty"`
	LimitOverdraft float64 `json:"CapSlack,omitempty"`
}

// Deployment is a randomly generated deployment. It does not change after [GenerateDeployment] has returned it.
type Deployment struct {
	Seed               uint64
	Push               bool    // whether discovery pushes updates; otherwise gateways poll
	MaxPollIntervalMs  float64 // longest poll interval; used only if Push is false
	Gateways           int     // number of gateways that run
	FleetSize          int     // number of gateways according to the settings; can be larger than Gateways
	Shards             int
	Zones              []string
	Classes            []class
	Plans              []plan
	MaxAttempts        int  // largest number of attempts per request
	RetryAfter         bool // whether rejections may carry Retry-After
	DrainGraceMs       float64
	ServersHonorCancel bool // whether servers drop canceled requests from their queues

	InitialCapacity        float64 // fraction of its full capacity that a server has right after its start
	SlowStartMs            float64 // time from a server's start until it has its full capacity
	OverloadMultiple       float64 // largest load of a server in slow start, as a multiple of its capacity
	OverloadWindowMs       float64 // period over which the load of a server in slow start is measured
	SlowStartUnits         float64 // units that a server which has just started may receive within OverloadWindowMs
	Capacity               float64 // capacity of a server after its slow start, in units per second
	ServiceTimeMs          float64 // lower bound of the mean time per unit at a server after its slow start
	Volumes                []volume
	ReportsServedElsewhere bool     // whether responses carry the units served for other gateways
	ReportFields           []string // names of the fields in the servers' load reports
	DiscoveryLagMs         float64  // time from a change of a server until discovery publishes it
	DrainingServersReject  bool     // whether draining servers reject new requests
}

// volume is a volume with its load and placement.
type volume struct {
	ID             uint64
	Plan           int     // index into Deployment.Plans
	GatewayIndices []int   // indices of the gateways that the clients of the volume use
	Shards         []int   // shards that the requests of the volume go to
	Usage          float64 // fraction of the plan's rate that the clients use, apart from the surge
	SurgeFactor    float64 // factor by which the request rate is multiplied in the middle third of the run
}

// Mean and largest size of a request in units, as the settings state them.
const (
	meanUnits = 2.0
	maxUnits  = 6.0
)
