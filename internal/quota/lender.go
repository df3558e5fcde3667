package quota

// handleRequest answers a lease request. It never reduces a granted lease that has not expired, because the borrower may
// still use it. While this gateway's own traffic needs quota that is lent, requests to renew or increase a lease get no
// answer, so that the lease expires. Requests for an idle pool get no answer either: the pool's traffic arrives at other
// gateways, so this gateway owns no share of it.
func (a *Allocator) handleRequest(p *pool, nowMs float64, request Message) []Message {
	if a.isIdle(p, nowMs) {
		return nil
	}
	p.expire(nowMs, a.settings.LeaseMs)
	reply := Message{Kind: LeaseGrant, Pool: p.id, Peer: request.Peer, SenderIncarnation: a.settings.Incarnation,
		RecipientIncarnation: request.SenderIncarnation, Seq: request.Seq}
	granted := findLease(p.lent, request.Peer, request.SenderIncarnation)
	if granted != nil {
		reply.Fraction = granted.fraction
		order := compareSeq(request.Seq, granted.seq)
		switch {
		case order < 0:
			return nil // the request arrived out of order: the lease reflects a later message
		case order == 0:
			return []Message{reply} // a duplicate gets the same answer and does not renew the lease
		case p.usage(nowMs) > p.ownFraction-totalFraction(p.lent):
			return nil
		}
	}
	reply.Fraction += max(0, min(request.Fraction-reply.Fraction, a.lendable(p, nowMs)))
	if reply.Fraction > 0 && !a.recordGrant(p, nowMs, reply) {
		reply.Fraction = 0
	}
	return []Message{reply}
}

// recordGrant records a grant: it renews the borrower's lease, or adds one if the borrower has none. It returns false if the
// borrower has no lease and the pool already has MaxPeers lent leases.
func (a *Allocator) recordGrant(p *pool, nowMs float64, grant Message) bool {
	granted := findLease(p.lent, grant.Peer, grant.RecipientIncarnation)
	if granted == nil {
		if len(p.lent) >= a.settings.MaxPeers {
			return false
		}
		p.lent = append(p.lent, lease{peer: grant.Peer, incarnation: grant.RecipientIncarnation})
		granted = &p.lent[len(p.lent)-1]
	}
	granted.seq, granted.fraction, granted.expiresAtMs = grant.Seq, grant.Fraction, nowMs+a.settings.GrantHoldMs()
	return true
}

// lendable returns the fraction that this gateway can lend in addition to what it has lent. The result may be
// negative.
func (a *Allocator) lendable(p *pool, nowMs float64) float64 {
	reserved := max(p.usage(nowMs), p.ownFraction*(1-a.settings.MaxGrantedFraction))
	return a.available(p, nowMs) - totalFraction(p.borrowed) - reserved
}

// handleReturn reduces a granted lease to what the borrower still holds.
func (p *pool) handleReturn(message Message) {
	granted := findLease(p.lent, message.Peer, message.SenderIncarnation)
	if granted != nil && compareSeq(message.Seq, granted.seq) > 0 {
		granted.seq, granted.fraction = message.Seq, min(granted.fraction, message.Fraction)
	}
}

// recallNeeded asks borrowers to return lent quota that this gateway's own traffic needs. A lease stays in force until its
// borrower returns it or it expires.
func (a *Allocator) recallNeeded(p *pool, nowMs float64) (messages []Message) {
	lacking := p.usage(nowMs) - max(0, p.ownFraction-totalFraction(p.lent))
	for _, granted := range p.lent {
		recalled := min(granted.fraction, lacking)
		if recalled <= p.minTransfer() {
			continue
		}
		lacking -= recalled
		messages = append(messages, Message{Kind: LeaseRecall, Pool: p.id, Peer: granted.peer,
			SenderIncarnation: a.settings.Incarnation, RecipientIncarnation: granted.incarnation,
			Fraction: granted.fraction - recalled})
	}
	return messages
}
