package quota

import (
	"math"
	"slices"
)

const (
	// demandTimeoutMs is the age beyond which a recorded demand is treated as zero.
	demandTimeoutMs = 1000
	// demandHeadroom is the quota that a gateway keeps or requests, as a multiple of its demand.
	demandHeadroom = 1.15
	// minTransferRatio is the fraction of a gateway's own share that an amount of quota must exceed to be requested, recalled
	// or returned.
	minTransferRatio = 0.05
)

// lease is a fraction of a pool that one incarnation of a gateway has lent to an incarnation of another gateway. The lender
// and the borrower each keep a record of it, with the expiry time on their own clock.
type lease struct {
	peer        uint16 // the borrower in the lender's record, the lender in the borrower's record
	incarnation uint32 // incarnation of peer
	seq         uint32 // sequence number of the borrower's latest message that the lease reflects
	fraction    float64
	expiresAtMs float64
}

// pendingRequest is a lease request that has not been answered.
type pendingRequest struct {
	lender   uint16
	seq      uint32
	sentAtMs float64
}

// pool is the state that this gateway has for one pool.
type pool struct {
	id          uint64
	ownFraction float64 // fraction of the pool that this gateway owns
	gateways    int     // number of gateways that receive the pool's traffic, including this one

	demand     float64
	demandAtMs float64

	lent     []lease
	borrowed []lease
	pending  []pendingRequest // unanswered requests, at most one for each lender

	knownLenders    []uint16 // peers that have answered a request, which shows that they also receive the pool's traffic
	nextProbeIndex  int      // index in Allocator.peers, modulo its length, of the next peer to try as a lender
	lastSeq         uint32
	lastInitiatedMs float64 // time at which this gateway last sent a message that was not a reply

	reportedFraction float64 // share that Step last returned; NaN makes the next Step return the share even if it has not changed
}

func newPool(id uint64, gateways int) *pool {
	return &pool{id: id, ownFraction: 1 / float64(gateways), gateways: gateways, lastInitiatedMs: math.Inf(-1)}
}

// recordDemand replaces the pool's demand. If more gateways than before receive the pool's traffic, the share that this
// gateway owns shrinks. The share does not grow again if fewer gateways receive the traffic.
func (p *pool) recordDemand(nowMs float64, demand Demand) {
	if own := 1 / float64(demand.Gateways); own < p.ownFraction {
		p.ownFraction, p.gateways = own, demand.Gateways
	}
	p.demand, p.demandAtMs = demand.Fraction, nowMs
	if demand.Resync {
		p.reportedFraction = math.NaN()
	}
}

// usage returns the fraction that the traffic of this gateway needs: its demand with headroom, or 0 if the
// demand is older than demandTimeoutMs.
func (p *pool) usage(nowMs float64) float64 {
	if nowMs-p.demandAtMs > demandTimeoutMs {
		return 0
	}
	return min(1, p.demand*demandHeadroom)
}

// shortfall returns the fraction that the traffic of this gateway needs beyond what is available, or 0 if it does not
// exceed minTransfer.
func (p *pool) shortfall(nowMs, available float64) float64 {
	if lacking := p.usage(nowMs) - available; lacking > p.minTransfer() {
		return lacking
	}
	return 0
}

// minTransfer returns the fraction of the pool that an amount of quota must exceed to be requested, recalled or returned.
func (p *pool) minTransfer() float64 { return minTransferRatio * p.ownFraction }

// nextSeq returns the sequence number of the next message that this gateway sends as a borrower.
func (p *pool) nextSeq() uint32 {
	p.lastSeq++
	return p.lastSeq
}

// cancelPending removes the pending request to a lender, so that a late grant for it has no effect.
func (p *pool) cancelPending(lender uint16) {
	p.pending = slices.DeleteFunc(p.pending, func(r pendingRequest) bool { return r.lender == lender })
}

// expire removes leases and pending requests that have expired by nowMs.
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
// Sequence numbers wrap around, so the sign of their difference decides.
func compareSeq(a, b uint32) int32 { return int32(a - b) }
