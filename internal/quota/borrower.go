package quota

import (
	"math"
	"slices"
)

const (
	// lenderProbesPerRound is the number of peers, taken in rotation, that one round of requests tries as further lenders of
	// a pool.
	lenderProbesPerRound = 4
	// borrowedLeasesPerPeer times MaxPeers bounds the borrowed leases of a pool. Two leases of one peer exist if a
	// restarted lender grants a lease while a lease of its previous incarnation has not expired.
	borrowedLeasesPerPeer = 2
)

// handleGrant records a borrowed lease. It ignores a grant that does not answer the latest request to the granting gateway.
// The lease starts at the time at which that request was sent.
func (a *Allocator) handleGrant(p *pool, nowMs float64, grant Message) {
	i := slices.IndexFunc(p.pending, func(r pendingRequest) bool { return r.lender == grant.Peer && r.seq == grant.Seq })
	if i < 0 {
		return
	}
	if !slices.Contains(p.knownLenders, grant.Peer) && len(p.knownLenders) < a.settings.MaxPeers {
		p.knownLenders = append(p.knownLenders, grant.Peer)
	}
	expiresAtMs := p.pending[i].sentAtMs + a.settings.LeaseMs
	p.pending = slices.Delete(p.pending, i, i+1)
	if nowMs >= expiresAtMs {
		return
	}
	borrowed := findLease(p.borrowed, grant.Peer, grant.SenderIncarnation)
	if borrowed == nil {
		if grant.Fraction == 0 || len(p.borrowed) >= borrowedLeasesPerPeer*a.settings.MaxPeers {
			return
		}
		p.borrowed = append(p.borrowed, lease{peer: grant.Peer, incarnation: grant.SenderIncarnation})
		borrowed = &p.borrowed[len(p.borrowed)-1]
	}
	borrowed.seq, borrowed.fraction, borrowed.expiresAtMs = grant.Seq, grant.Fraction, expiresAtMs
}

// handleRecall immediately returns the quota that a lender recalls. A borrower that does not receive the recall keeps the
// quota until the lease expires.
func (a *Allocator) handleRecall(p *pool, recall Message) []Message {
	borrowed := findLease(p.borrowed, recall.Peer, recall.SenderIncarnation)
	if borrowed == nil || borrowed.fraction <= recall.Fraction {
		return nil
	}
	return []Message{a.reduceBorrowed(p, borrowed, recall.Fraction)}
}

// reduceBorrowed reduces a borrowed lease and returns the message that notifies the lender.
func (a *Allocator) reduceBorrowed(p *pool, borrowed *lease, fraction float64) Message {
	borrowed.fraction, borrowed.seq = fraction, p.nextSeq()
	p.cancelPending(borrowed.peer)
	return Message{Kind: LeaseReturn, Pool: p.id, Peer: borrowed.peer, SenderIncarnation: a.settings.Incarnation,
		RecipientIncarnation: borrowed.incarnation, Seq: borrowed.seq, Fraction: fraction}
}

// returnUnused returns borrowed quota that this gateway does not use, starting with the most recently recorded lease.
func (a *Allocator) returnUnused(p *pool, nowMs, available float64) (messages []Message) {
	unused := available - max(p.usage(nowMs), available-totalFraction(p.borrowed))
	for i := len(p.borrowed) - 1; i >= 0; i-- {
		borrowed := &p.borrowed[i]
		returned := min(borrowed.fraction, unused)
		if returned <= p.minTransfer() {
			continue
		}
		unused -= returned
		messages = append(messages, a.reduceBorrowed(p, borrowed, borrowed.fraction-returned))
	}
	p.borrowed = slices.DeleteFunc(p.borrowed, func(l lease) bool { return l.fraction <= 0 })
	return messages
}

// requestLeases requests the whole shortfall of this gateway from every candidate lender, and renews leases of which less
// than half of the duration is left. If the lenders together grant more than the shortfall, returnUnused returns the excess.
func (a *Allocator) requestLeases(p *pool, nowMs, available float64) (messages []Message) {
	shortfall := p.shortfall(nowMs, available)
	for _, lender := range a.lenderCandidates(p) {
		borrowed, expiresAtMs := p.borrowedFrom(lender)
		needsRenewal := borrowed > 0 && expiresAtMs-nowMs < a.settings.LeaseMs/2
		if shortfall == 0 && !needsRenewal {
			continue
		}
		seq := p.nextSeq()
		p.cancelPending(lender)
		p.pending = append(p.pending, pendingRequest{lender: lender, seq: seq, sentAtMs: nowMs})
		messages = append(messages, Message{Kind: LeaseRequest, Pool: p.id, Peer: lender,
			SenderIncarnation: a.settings.Incarnation, Seq: seq, Fraction: min(1, borrowed+shortfall)})
	}
	return messages
}

// borrowedFrom returns the fraction that is borrowed from all incarnations of a lender, and the time at which the first of
// these leases expires, or +Inf if there are none.
func (p *pool) borrowedFrom(lender uint16) (fraction, expiresAtMs float64) {
	expiresAtMs = math.Inf(1)
	for _, l := range p.borrowed {
		if l.peer == lender {
			fraction, expiresAtMs = fraction+l.fraction, min(expiresAtMs, l.expiresAtMs)
		}
	}
	return fraction, expiresAtMs
}

// lenderCandidates returns the peers to ask for leases of a pool: the known lenders that are alive. Until all gateways that
// receive the pool's traffic are known, it adds the next peers in rotation.
func (a *Allocator) lenderCandidates(p *pool) []uint16 {
	var candidates []uint16
	for _, lender := range p.knownLenders {
		if slices.Contains(a.peers, lender) {
			candidates = append(candidates, lender)
		}
	}
	for range min(lenderProbesPerRound, len(a.peers)) {
		if len(p.knownLenders) >= p.gateways-1 {
			break
		}
		if peer := a.peers[p.nextProbeIndex%len(a.peers)]; !slices.Contains(candidates, peer) {
			candidates = append(candidates, peer)
		}
		p.nextProbeIndex++
	}
	return candidates
}
