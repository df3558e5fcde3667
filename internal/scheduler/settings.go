package scheduler

import (
	"errors"
	"fmt"
)

// leastStart is the part of its capacity that a node starts with if less is told: a budget of nothing would last for
// the whole of its warming up.
const leastStart = 0.01

// usable checks settings and fills in what they may leave out. It decides nothing.
func (set Settings) usable() (Settings, error) {
	if len(set.Classes) == 0 || set.Siblings < 1 || set.MaxAttempts < 1 || set.Shards < 0 {
		return set, fmt.Errorf("gaugerelay: %d classes, %d siblings, %d attempts, %d shards",
			len(set.Classes), set.Siblings, set.MaxAttempts, set.Shards)
	}
	names := map[string]bool{}
	for _, c := range set.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Worth < 0 || names[c.Name] {
			return set, fmt.Errorf("gaugerelay: class %q: bad aim, deadline or worth, or listed twice", c.Name)
		}
		names[c.Name] = true
	}
	if len(set.Plans) == 0 {
		set.Plans = []Plan{{Weight: 1, Pays: 1}}
	}
	clear(names)
	for _, p := range set.Plans {
		if p.Weight <= 0 || p.Pays < 0 || p.Reserve < 0 || p.Limit < 0 || names[p.Name] {
			return set, fmt.Errorf("gaugerelay: plan %q: bad figures, or listed twice", p.Name)
		}
		names[p.Name] = true
	}
	if set.FairWorth < 0 || set.IdleWorth < 0 {
		return set, errors.New("gaugerelay: a worth below zero")
	}
	if set.FallWindow <= 0 { // over no time there is no rule on cold nodes
		set.FallMultiple = 0
	}
	if !(set.StartPart > 0 && set.StartPart < 1) || !set.Shares {
		set.StartPart = 1
	}
	set.StartCapacity = max(set.StartCapacity, leastStart)
	if set.ColdBears <= 0 { // not told: a call of mean work from each gateway
		set.ColdBears = max(1, set.MeanUnits) * float64(set.Siblings)
	}
	return set, nil
}
