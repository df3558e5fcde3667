package simulation

// Values of the settings' key "Idempotency".
const (
	idempotent        = "repeatable"
	idempotentWithKey = "by_key"
	notIdempotent     = "once"
)

// Values of the settings' key "KeyScope": the servers among which an idempotency key is known.
const (
	dedupScopeAll   = "all"
	dedupScopeZone  = "zone"
	dedupScopeShard = "cell"
)

// class is a request class in the form of the settings.
type class struct {
	Name               string
	LatencyObjectiveMs float64 `json:"PromiseMs"`
	DeadlineMs         float64
	Idempotency        string
	DedupScope         string  `json:"KeyScope,omitempty"`
	DedupWindowMs      float64 `json:",omitempty"`
	PriorityWeight     float64 `json:"Worth"`
	LateValue          float64
	write              bool
}

// plan is a volume's plan in the form of the settings. A plan with Limit 0 has no limit. Rates are units per second.
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

// Deployment is a drawn deployment. It does not change after [Draw] has returned it.
type Deployment struct {
	Seed               uint64
	Push               bool    // whether discovery pushes updates; otherwise gateways poll
	MaxPollIntervalMs  float64 // for gateways that poll
	Gateways           int     // number of gateways that run
	FleetSize          int     // number of gateways according to the settings
	Shards             int
	Zones              []string
	Classes            []class
	Plans              []plan
	MaxAttempts        int  // attempts per request
	RetryAfter         bool // whether rejections may carry Retry-After
	DrainGraceMs       float64
	ServersHonorCancel bool // whether servers drop queued requests that were canceled

	InitialCapacity        float64 // fraction of its capacity that a server has when it starts
	SlowStartMs            float64
	OverloadMultiple       float64
	OverloadWindowMs       float64
	SlowStartUnits         float64 // units that a server which has just started can serve within OverloadWindowMs
	Capacity               float64 // units per second of a server after its slow start
	ServiceTimeMs          float64 // least time per unit at an idle server
	Volumes                []volume
	ReportsServedElsewhere bool     // whether responses carry the units served for other gateways
	ReportFields           []string // fields of the servers' load reports
	DiscoveryLagMs         float64
	DrainingServersReject  bool
}

// volume is a volume with its load and placement.
type volume struct {
	ID          uint64
	Plan        int   // index into Deployment.Plans
	Hosts       []int // indices of the gateways that its clients use
	Shards      []int // shards that its requests go to
	Usage       float64
	SurgeFactor float64 // factor on the request rate in the middle third of the run
}

// Units of a request: the mean of them and the largest, as the settings state them.
const (
	meanUnits = 2.0
	maxUnits  = 6.0
)
