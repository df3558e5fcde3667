package quota

import (
	"math"
	"slices"
)

// Allocator holds the state of one gateway: its shares of pools, and the leases that it has granted and borrowed.
// It is not safe for concurrent use.
type Allocator struct {
	settings Settings
	started  bool
	startMs  float64
	pools    map[uint64]*pool
	order    []uint64 // IDs of the pools with state, in the order of their first demand
	peers    []uint16 // gateways that may be asked for leases
}

// New returns the allocator of a gateway that has just started, or an error that wraps ErrInvalidSettings.
func New(settings Settings) (*Allocator, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Allocator{settings: settings, pools: map[uint64]*pool{}}, nil
}

// SetPeers replaces the list of gateways that are asked for leases. It copies the slice.
func (a *Allocator) SetPeers(peers []uint16) { a.peers = slices.Clone(peers) }

// Step applies the demands and then the messages that have arrived. It returns the messages to send and the shares that
// have changed. nowMs must not decrease from call to call. Leases expire without a message: before the caller uses any
// quota, it must call Step or AvailableFraction to learn how much it may still use.
func (a *Allocator) Step(nowMs float64, demands []Demand, received []Message) (outgoing []Message, changed []Share) {
	if !a.started {
		a.started, a.startMs = true, nowMs
	}
	for _, demand := range demands {
		a.recordDemand(nowMs, demand)
	}
	for _, message := range received {
		outgoing = append(outgoing, a.receive(nowMs, message)...)
	}
	for _, id := range a.order {
		p := a.pools[id]
		p.expire(nowMs, a.settings.LeaseMs)
		outgoing = append(outgoing, a.balance(p, nowMs)...)
		if available := a.available(p, nowMs); available != p.reportedFraction {
			p.reportedFraction = available
			changed = append(changed, Share{Pool: p.id, Fraction: available})
		}
	}
	a.removeIdlePools(nowMs)
	return outgoing, changed
}

// AvailableFraction returns the fraction of a pool that this gateway may use at nowMs, or 0 for a pool without state.
func (a *Allocator) AvailableFraction(nowMs float64, id uint64) float64 {
	p := a.pools[id]
	if p == nil {
		return 0
	}
	p.expire(nowMs, a.settings.LeaseMs)
	return a.available(p, nowMs)
}

// FirstLeaseExpiryMs returns the time at which the first borrowed lease of a pool expires, or 0 if nothing is borrowed.
func (a *Allocator) FirstLeaseExpiryMs(id uint64) float64 {
	p := a.pools[id]
	if p == nil || len(p.borrowed) == 0 {
		return 0
	}
	return firstExpiry(p.borrowed)
}

// Pools returns the IDs of the pools with state, in the order of their first demand.
func (a *Allocator) Pools() []uint64 { return slices.Clone(a.order) }

// LentAndBorrowed returns the fractions of a pool that this gateway has lent to others and borrowed from them.
func (a *Allocator) LentAndBorrowed(id uint64) (lent, borrowed float64) {
	p := a.pools[id]
	if p == nil {
		return 0, 0
	}
	return totalFraction(p.lent), totalFraction(p.borrowed)
}

// NextStepMs returns the time by which Step must be called again, because a lease expires, a message is due or the startup
// hold ends. It is +Inf if nothing is pending.
func (a *Allocator) NextStepMs(nowMs float64) float64 {
	next := math.Inf(1)
	for _, id := range a.order {
		p := a.pools[id]
		next = min(next, firstExpiry(p.borrowed), firstExpiry(p.lent))
		if len(p.borrowed) > 0 || len(p.lent) > 0 || len(a.peers) > 0 && p.shortfall(nowMs, a.available(p, nowMs)) > 0 {
			next = min(next, max(nowMs, p.lastInitiatedMs)+a.settings.RequestIntervalMs)
		}
	}
	if len(a.order) > 0 && a.inStartupHold(nowMs) {
		next = min(next, a.startupHoldEndMs())
	}
	return next
}

// startupHoldEndMs returns the time by which all leases that an earlier incarnation of this gateway may have granted have
// expired.
func (a *Allocator) startupHoldEndMs() float64 { return a.startMs + a.settings.GrantHoldMs() }

func (a *Allocator) inStartupHold(nowMs float64) bool { return nowMs < a.startupHoldEndMs() }

// available returns the fraction of a pool that the gateway may use now. The caller must have removed expired leases.
func (a *Allocator) available(p *pool, nowMs float64) float64 {
	own := p.ownFraction
	if a.inStartupHold(nowMs) {
		own *= 1 - a.settings.MaxGrantedFraction
	}
	return max(0, own-totalFraction(p.lent)) + totalFraction(p.borrowed)
}

// recordDemand applies a demand. It creates the state of the pool if fewer than MaxPools pools have state. For a pool without
// state, Step returns no share, and the caller uses the gateway's own share.
func (a *Allocator) recordDemand(nowMs float64, demand Demand) {
	if demand.Gateways < 1 || !(demand.Fraction >= 0) {
		return
	}
	p := a.pools[demand.Pool]
	if p == nil {
		if len(a.order) >= a.settings.MaxPools {
			return
		}
		p = newPool(demand.Pool, demand.Gateways)
		a.pools[p.id] = p
		a.order = append(a.order, p.id)
	}
	p.recordDemand(nowMs, demand)
}

// receive applies a message and returns the replies to it. It ignores messages from this gateway itself and messages whose
// fraction is NaN or not from 0 to 1.
func (a *Allocator) receive(nowMs float64, message Message) []Message {
	if message.Peer == a.settings.Self || !(message.Fraction >= 0 && message.Fraction <= 1) {
		return nil
	}
	p := a.pools[message.Pool]
	if p == nil {
		return nil
	}
	if message.Kind == LeaseRequest {
		return a.handleRequest(p, nowMs, message)
	}
	if message.RecipientIncarnation != a.settings.Incarnation {
		return nil
	}
	switch message.Kind {
	case LeaseGrant:
		a.handleGrant(p, nowMs, message)
	case LeaseReturn:
		p.handleReturn(message)
	case LeaseRecall:
		return a.handleRecall(p, message)
	}
	return nil
}

// balance returns the messages that this gateway sends for one pool without having been asked, at most once per
// RequestIntervalMs. If the gateway has borrowed quota that it does not use, the messages return that quota. Otherwise they
// recall lent quota that the gateway needs itself, request quota that it lacks and renew the leases that it uses.
func (a *Allocator) balance(p *pool, nowMs float64) []Message {
	if nowMs < p.lastInitiatedMs+a.settings.RequestIntervalMs || len(a.peers) == 0 {
		return nil
	}
	available := a.available(p, nowMs)
	messages := a.returnUnused(p, nowMs, available)
	if len(messages) == 0 {
		messages = append(a.recallNeeded(p, nowMs), a.requestLeases(p, nowMs, available)...)
	}
	if len(messages) > 0 {
		p.lastInitiatedMs = nowMs
	}
	return messages
}

// removeIdlePools removes the state of pools without recent demand and without leases, so that only pools in use count
// towards MaxPools.
func (a *Allocator) removeIdlePools(nowMs float64) {
	a.order = slices.DeleteFunc(a.order, func(id uint64) bool {
		p := a.pools[id]
		idle := a.isIdle(p, nowMs) && len(p.lent) == 0 && len(p.borrowed) == 0
		if idle {
			delete(a.pools, id)
		}
		return idle
	})
}

// isIdle reports whether the last demand for a pool is older than IdleTimeoutMs. The pool's traffic is then assumed to arrive
// only at other gateways.
func (a *Allocator) isIdle(p *pool, nowMs float64) bool {
	return nowMs-p.demandAtMs > a.settings.IdleTimeoutMs
}
