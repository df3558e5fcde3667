package quota

import (
	"math"
	"slices"
)

const (
	// demandTimeoutMs is how long a demand counts after it was recorded.
	demandTimeoutMs = 1000
	// demandHeadroom is the ratio of the quota that a gateway keeps or requests to its demand.
	demandHeadroom = 1.15
	// minTransferRatio is the smallest transfer that is worth a message, relative to the gateway's own share.
	minTransferRatio = 0.05
)

// lease is a fraction of a pool that one incarnation of a gateway has lent to another. Both sides keep one, each with the
// expiry by its own clock.
type lease struct {
	peer        uint16 // the borrower at the lender, the lender at the borrower
	incarnation uint32 // of the peer
	seq         uint32 // of the borrower's latest message that the lease reflects
	fraction    float64
	expiresAtMs float64
}

// pendingRequest is a lease request that has not been answered.
type pendingRequest struct {
	lender   uint16
	seq      uint32
	sentAtMs float64
}

// pool is this gateway's state of one pool.
type pool struct {
	id          uint64
	ownFraction float64 // the share that this gateway owns
	gateways    int     // that receive the pool's traffic, this one included

	demand     float64
	demandAtMs float64

	lent     []lease
	borrowed []lease
	pending  []pendingRequest // at most one for each lender

	knownLenders    []uint16 // peers that have answered a request, so the pool's traffic arrives at them too
	nextProbe       int      // index into the allocator's peers of the next one to probe, modulo their number
	lastSeq         uint32
	lastInitiatedMs float64 // when this gateway last initiated a message, rather than replied

	reportedFraction float64 // what Step last returned as the share; NaN forces the next report
}

func newPool(id uint64, gateways int) *pool {
	return &pool{id: id, ownFraction: 1 / float64(gateways), gateways: gateways, lastInitiatedMs: math.Inf(-1)}
}

// recordDemand replaces the pool's demand. The own share shrinks when more gateways are reported, and never grows.
func (p *pool) recordDemand(nowMs float64, demand Demand) {
	if own := 1 / float64(demand.Gateways); own < p.ownFraction {
		p.ownFraction, p.gateways = own, demand.Gateways
	}
	p.demand, p.demandAtMs = demand.Fraction, nowMs
	if demand.Resync {
		p.reportedFraction = math.NaN()
	}
}

// usage returns the fraction that the traffic of this gateway is given if there is enough.
func (p *pool) usage(nowMs float64) float64 {
	if nowMs-p.demandAtMs > demandTimeoutMs {
		return 0
	}
	return min(1, p.demand*demandHeadroom)
}

// shortfall returns what the traffic of this gateway could use beyond what is available, or 0 if that is not worth a
// message.
func (p *pool) shortfall(nowMs, available float64) float64 {
	if lacking := p.usage(nowMs) - available; lacking > p.minTransfer() {
		return lacking
	}
	return 0
}

// minTransfer returns the fraction that a transfer has to exceed to be worth a message.
func (p *pool) minTransfer() float64 { return minTransferRatio * p.ownFraction }

// nextSeq returns the sequence number of the next message that this gateway sends as a borrower.
func (p *pool) nextSeq() uint32 {
	p.lastSeq++
	return p.lastSeq
}

// cancelPending forgets the unanswered request to a lender, so that a late grant for it has no effect.
func (p *pool) cancelPending(lender uint16) {
	p.pending = slices.DeleteFunc(p.pending, func(r pendingRequest) bool { return r.lender == lender })
}

// expire removes leases and pending requests that have ended by nowMs.
func (p *pool) expire(nowMs, leaseMs float64) {
	hasExpired := func(l lease) bool { return nowMs >= l.expiresAtMs }
	p.lent = slices.DeleteFunc(p.lent, hasExpired)
	p.borrowed = slices.DeleteFunc(p.borrowed, hasExpired)
	p.pending = slices.DeleteFunc(p.pending, func(r pendingRequest) bool { return nowMs >= r.sentAtMs+leaseMs })
}

// totalFraction returns the sum of the leases' fractions.
func totalFraction(leases []lease) (sum float64) {
	for _, l := range leases {
		sum += l.fraction
	}
	return sum
}

// firstExpiry returns the earliest expiry of the leases, or +Inf if there are none.
func firstExpiry(leases []lease) float64 {
	first := math.Inf(1)
	for _, l := range leases {
		first = min(first, l.expiresAtMs)
	}
	return first
}

// findLease returns the lease of one incarnation of a peer, or nil. The pointer is valid until the slice changes.
func findLease(leases []lease, peer uint16, incarnation uint32) *lease {
	i := slices.IndexFunc(leases, func(l lease) bool { return l.peer == peer && l.incarnation == incarnation })
	if i < 0 {
		return nil
	}
	return &leases[i]
}

// compareSeq returns a negative number if a comes before b, 0 if they are equal, and a positive one if a comes after b.
// Sequence numbers wrap around.
func compareSeq(a, b uint32) int32 { return int32(a - b) }
