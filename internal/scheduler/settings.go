package scheduler

import (
	"errors"
	"fmt"
	"time"
)

// VolumeID identifies the volume whose reserve, limit and fair share a request draws on.
type VolumeID uint64

// Idempotency is the effect of executing a request more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // retries are always harmless
	IdempotentWithKey                    // servers of one DedupScope drop duplicates for the DedupWindow
	NotIdempotent                        // must never execute twice
)

// String returns the kind in lower case, or "unknown".
func (i Idempotency) String() string {
	return nameOf(i, "idempotent", "idempotent with key", "not idempotent")
}

// DedupScope is the group of servers that drops duplicates of an IdempotentWithKey request.
type DedupScope uint8

// The scopes, from widest to narrowest.
const (
	DedupAll   DedupScope = iota // all servers
	DedupZone                    // the servers of one zone
	DedupShard                   // the servers of one shard
)

// String returns the scope in lower case, or "unknown".
func (d DedupScope) String() string { return nameOf(d, "all", "zone", "shard") }

// Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within this time earns the full PriorityWeight; positive
	ObjectiveStretch float64       // growth of the objective by the request's own work; not consulted by the scheduler
	Deadline         time.Duration // how long a client waits over all its own attempts; positive
	Idempotency      Idempotency
	DedupScope       DedupScope    // of IdempotentWithKey
	DedupWindow      time.Duration // of IdempotentWithKey: how long duplicates are dropped after the first send
	OrderedByKey     bool          // requests with the same key run one at a time, in order of arrival
	Stream           bool          // responses begin with ResponseStarted; not consulted by the scheduler
	Write            bool          // not consulted by the scheduler
	PriorityWeight   float64       // relative value of a response within the objective; not negative
	LateFraction     float64       // fraction of PriorityWeight that a later response earns; not consulted by the scheduler
}

// Plan is the service that a volume has bought. Rates and bursts hold per volume, over all gateways and servers.
type Plan struct {
	Name           string
	Rate           float64 // baseline in units per second that the volume is sized for
	Reserve        float64 // guaranteed units per second; 0: none
	Weight         float64 // share of what is left beyond all reserves; positive
	PriorityFactor float64 // multiplies Class.PriorityWeight; not negative
	Limit          float64 // fill rate of the limit's token bucket in units per second; 0: no limit
	LimitBurst     float64 // capacity of that bucket in units
	LimitOverdraft float64 // how far below zero the bucket may go, in units; not consulted by the scheduler
}

// Settings configures a Scheduler. The zero value of an optional field means that the operator gave none.
type Settings struct {
	Gateways int     // gateways that share the servers, including this one; at least 1
	Classes  []Class // at least one
	Plans    []Plan  // none: one plan with weight 1 for every request
	Shards   int     // shards that exist; an endpoint update may name more

	MeanUnits, MaxUnits float64 // mean and largest size of a request in units; a mean of 0 counts as 1
	FairShareWeight     float64 // fraction of the priority that a request beyond its reserve has; not negative
	SurplusWeight       float64 // fraction of the priority beyond the fair share; not negative, not consulted otherwise

	PollEndpoints   bool          // the endpoint list is only sent in response to WatchEndpoints
	MaxPollInterval time.Duration // a gateway that has not polled for this long counts as notified; 0: unbounded

	MaxAttempts   int           // attempts per request, including the first; at least 1
	AllowHedging  bool          // not consulted by the scheduler: it never hedges
	AllowCancel   bool          // attempts may be canceled with CancelAttempt
	AllowProbes   bool          // not consulted by the scheduler: it never probes
	MaxRetryAfter time.Duration // longest Reject.RetryAfter that clients respect; 0: none is given

	ResponseGrace time.Duration // how long after the client's deadline a response is valid; not consulted by the scheduler
	DrainGrace    time.Duration // how long a drained server still accepts requests; not consulted by the scheduler

	InitialCapacity   float64       // fraction of its capacity that a server has when it starts
	SlowStartDuration time.Duration // a server has its full capacity this long after its start; 0: no slow start
	OverloadMultiple  float64       // a starting server fails above this multiple of its capacity; 0: no slow start
	OverloadWindow    time.Duration // over which that multiple is measured; 0: no slow start
	SlowStartUnits    float64       // units per OverloadWindow that a starting server tolerates from all gateways together

	KeyCooldown time.Duration // pause of an ordered key after a timeout, reset or cancel

	RetryBudgetMin, RetryBudgetRatio float64       // retries allowed per window: a constant, and per admitted request
	RetryBudgetWindow                time.Duration // over which retries and requests are counted; 0: no budget

	UsagePeriod         time.Duration // period of AttemptEnded.VolumeUsage; not consulted by the scheduler
	ReportsForeignUnits bool          // AttemptEnded.ForeignUnits is present

	// QuotaLeases is set where gateways lease parts of volume limits to each other: the scheduler emits QuotaDemand and
	// receives QuotaShare. Until a volume's first QuotaShare, InitialQuotaShare of its equal share is in force here, which is
	// the part that no gateway ever leases out; 0 stands for all of it.
	QuotaLeases       bool
	InitialQuotaShare float64

	LoadReportFields []string      // names of the values of a load report, in order; not consulted by the scheduler
	MinStepInterval  time.Duration // shortest time between two calls of Step
}

// minInitialCapacity is the smallest InitialCapacity in use: with a lower one the slow-start budget would stay empty for most
// of the SlowStartDuration.
const minInitialCapacity = 0.01

// validated checks the settings and returns them with defaults for what they leave out.
func (settings Settings) validated() (Settings, error) {
	if len(settings.Classes) == 0 || settings.Gateways < 1 || settings.MaxAttempts < 1 || settings.Shards < 0 {
		return settings, fmt.Errorf("gaugerelay: %d classes, %d siblings, %d attempts, %d shards",
			len(settings.Classes), settings.Gateways, settings.MaxAttempts, settings.Shards)
	}
	if err := validateClasses(settings.Classes); err != nil {
		return settings, err
	}
	if len(settings.Plans) == 0 {
		settings.Plans = []Plan{{Weight: 1, PriorityFactor: 1}}
	}
	if err := validatePlans(settings.Plans); err != nil {
		return settings, err
	}
	if settings.FairShareWeight < 0 || settings.SurplusWeight < 0 {
		return settings, errors.New("gaugerelay: a worth below zero")
	}
	return settings.withDefaults(), nil
}

// validateClasses returns an error that names the first class that cannot be used, or nil.
func validateClasses(classes []Class) error {
	names := map[string]bool{}
	for _, class := range classes {
		if class.LatencyObjective <= 0 || class.Deadline <= 0 || class.PriorityWeight < 0 || names[class.Name] {
			return fmt.Errorf("gaugerelay: class %q: bad aim, deadline or worth, or listed twice", class.Name)
		}
		names[class.Name] = true
	}
	return nil
}

// validatePlans returns an error that names the first plan that cannot be used, or nil.
func validatePlans(plans []Plan) error {
	names := map[string]bool{}
	for _, plan := range plans {
		if plan.Weight <= 0 || plan.PriorityFactor < 0 || plan.Reserve < 0 || plan.Limit < 0 || names[plan.Name] {
			return fmt.Errorf("gaugerelay: plan %q: bad figures, or listed twice", plan.Name)
		}
		names[plan.Name] = true
	}
	return nil
}

// withDefaults fills in optional settings that are absent.
func (settings Settings) withDefaults() Settings {
	if settings.OverloadWindow <= 0 { // without a window there is no overload rule
		settings.OverloadMultiple = 0
	}
	if !(settings.InitialQuotaShare > 0 && settings.InitialQuotaShare < 1) || !settings.QuotaLeases {
		settings.InitialQuotaShare = 1
	}
	settings.InitialCapacity = max(settings.InitialCapacity, minInitialCapacity)
	if settings.SlowStartUnits <= 0 { // absent: a request of mean size from each gateway
		settings.SlowStartUnits = max(1, settings.MeanUnits) * float64(settings.Gateways)
	}
	return settings
}
