package scheduler

import (
	"errors"
	"fmt"
)

// minInitialCapacity is the part of its capacity that a node starts with if less is told: a budget of nothing would last for
// the whole of its warming up.
const minInitialCapacity = 0.01

// usable checks settings and fills in what they may leave out. It decides nothing.
func (set Settings) usable() (Settings, error) {
	if len(set.Classes) == 0 || set.Gateways < 1 || set.MaxAttempts < 1 || set.Shards < 0 {
		return set, fmt.Errorf("gaugerelay: %d classes, %d siblings, %d attempts, %d shards",
			len(set.Classes), set.Gateways, set.MaxAttempts, set.Shards)
	}
	names := map[string]bool{}
	for _, c := range set.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.PriorityWeight < 0 || names[c.Name] {
			return set, fmt.Errorf("gaugerelay: class %q: bad aim, deadline or worth, or listed twice", c.Name)
		}
		names[c.Name] = true
	}
	if len(set.Plans) == 0 {
		set.Plans = []Plan{{Weight: 1, PriorityFactor: 1}}
	}
	clear(names)
	for _, p := range set.Plans {
		if p.Weight <= 0 || p.PriorityFactor < 0 || p.Reserve < 0 || p.Limit < 0 || names[p.Name] {
			return set, fmt.Errorf("gaugerelay: plan %q: bad figures, or listed twice", p.Name)
		}
		names[p.Name] = true
	}
	if set.FairShareWeight < 0 || set.SurplusWeight < 0 {
		return set, errors.New("gaugerelay: a worth below zero")
	}
	if set.OverloadWindow <= 0 { // over no time there is no rule on cold nodes
		set.OverloadMultiple = 0
	}
	if !(set.InitialQuotaShare > 0 && set.InitialQuotaShare < 1) || !set.QuotaLeases {
		set.InitialQuotaShare = 1
	}
	set.InitialCapacity = max(set.InitialCapacity, minInitialCapacity)
	if set.SlowStartUnits <= 0 { // not told: a call of mean work from each gateway
		set.SlowStartUnits = max(1, set.MeanUnits) * float64(set.Gateways)
	}
	return set, nil
}
