package simulation

import "time"

// attempt is a request that has reached a server completely.
type attempt struct {
	arrivedAt       time.Time
	server          *server
	mayHaveExecuted bool
	inFlight        bool // the server works on it, and its connection is open
}

// limitBucket is the token bucket of a volume's limit, which holds for all gateways together.
type limitBucket struct {
	level     float64 // units; negative while overdrawn
	updatedAt time.Time
}

// recordArrival adds an attempt to its request and checks the rules that its arrival could break. Its first byte arrived at
// firstByteAt, its last one now. s.mu must be held.
func (s *simulation) recordArrival(srv *server, g *simulatedGateway, req *request, firstByteAt time.Time) *attempt {
	now := time.Now()
	s.checkDrain(srv, g, firstByteAt)
	if !req.respondedAt.IsZero() && firstByteAt.Sub(req.respondedAt) > tolerance {
		s.violation("%s: sent %v after its response", req.id, firstByteAt.Sub(req.respondedAt))
	}
	if len(req.attempts) >= s.deployment.MaxAttempts {
		s.violation("%s: attempt %d of %d", req.id, len(req.attempts)+1, s.deployment.MaxAttempts)
	}
	s.checkIdempotency(srv, req, now)
	s.checkNoConcurrentAttempt(srv, req)
	if len(req.attempts) == 0 {
		s.checkLimit(req, now)
	}
	arrived := &attempt{arrivedAt: now, server: srv, mayHaveExecuted: true, inFlight: true}
	req.attempts = append(req.attempts, arrived)
	s.checkSlowStart(srv, req, now)
	return arrived
}

// checkDrain checks that a gateway does not send to a server of which it was notified that it is not ready.
func (s *simulation) checkDrain(srv *server, g *simulatedGateway, firstByteAt time.Time) {
	notifiedAt, notified := g.notifiedAt[srv]
	if !notified && !s.deployment.Push && len(g.watches) == 0 {
		notifiedAt, notified = s.notificationDeadline(srv, g)
	}
	if late := firstByteAt.Sub(notifiedAt); notified && late > milliseconds(s.deployment.DrainGraceMs)+tolerance {
		s.violation("drain: gateway %d sent to %s %v after it was notified", g.index, srv.name, late)
	}
}

// notificationDeadline returns when a gateway that does not poll counts as notified that a server is not ready, and whether
// the server has ceased to be ready at all.
func (s *simulation) notificationDeadline(srv *server, g *simulatedGateway) (time.Time, bool) {
	const pollIntervals = 4
	for _, c := range s.updates {
		if c.server != srv || c.state == stateReady {
			continue
		}
		since := c.publishedAt
		for _, t := range []time.Time{g.startedAt, g.lastWatchEndedAt} {
			if t.After(since) {
				since = t
			}
		}
		return since.Add(pollIntervals * milliseconds(s.deployment.MaxPollIntervalMs)), true
	}
	return time.Time{}, false
}

// checkIdempotency checks that a request whose earlier attempts may have executed may be repeated at this server now.
func (s *simulation) checkIdempotency(srv *server, req *request, now time.Time) {
	c := req.class
	for _, earlier := range req.attempts {
		if !earlier.mayHaveExecuted {
			continue
		}
		switch {
		case c.Idempotency == notIdempotent:
			s.violation("%s (%s): sent again, though it may have executed", req.id, c.Idempotency)
		case c.Idempotency != idempotentWithKey:
		case now.Sub(earlier.arrivedAt) > milliseconds(c.DedupWindowMs)+tolerance:
			s.violation("%s: sent again %v after the first, outside its window", req.id, now.Sub(earlier.arrivedAt))
		case c.DedupScope == dedupScopeZone && earlier.server.zone != srv.zone,
			c.DedupScope == dedupScopeShard && earlier.server.shard != srv.shard:
			s.violation("%s: sent again outside its %s", req.id, c.DedupScope)
		}
	}
}

// checkNoConcurrentAttempt checks that no other attempt of the request is in flight. The end of its connection may still be
// on its way.
func (s *simulation) checkNoConcurrentAttempt(srv *server, req *request) {
	for _, earlier := range req.attempts {
		if !earlier.inFlight {
			continue
		}
		s.tasks.Go(func() {
			time.Sleep(tolerance)
			s.mu.Lock()
			defer s.mu.Unlock()
			if earlier.inFlight {
				s.violation("%s: sent to %s while it is in flight at %s", req.id, srv.name, earlier.server.name)
			}
		})
	}
}

// checkLimit takes a request's units from its volume's limit and checks that the overdraft is within what is allowed.
func (s *simulation) checkLimit(req *request, now time.Time) {
	p := s.deployment.Plans[req.volume.Plan]
	if p.Limit == 0 {
		return
	}
	bucket := s.limits[req.volume.ID]
	if bucket == nil {
		bucket = &limitBucket{p.LimitBurst, now}
		s.limits[req.volume.ID] = bucket
	}
	bucket.level = min(p.LimitBurst, bucket.level+p.Limit*now.Sub(bucket.updatedAt).Seconds()) - req.units
	bucket.updatedAt = now
	if least := -p.LimitOverdraft - 0.15*p.Limit; bucket.level < least {
		s.violation("limit: %s takes volume %x to %.1f, least %.1f", req.id, req.volume.ID, bucket.level, least)
	}
}

// checkSlowStart checks that a server in its slow start gets no more units than it can serve.
func (s *simulation) checkSlowStart(srv *server, req *request, now time.Time) {
	d := s.deployment
	if srv.startedAt.IsZero() || now.Sub(srv.startedAt) >= milliseconds(d.SlowStartMs) {
		return
	}
	window := milliseconds(d.OverloadWindowMs)
	srv.slowStartSends = append(srv.slowStartSends, slowStartSend{now, req.units})
	for len(srv.slowStartSends) > 0 && now.Sub(srv.slowStartSends[0].at) > window {
		srv.slowStartSends = srv.slowStartSends[1:]
	}
	sum := 0.0
	for _, send := range srv.slowStartSends {
		sum += send.units
	}
	if allowed := d.OverloadMultiple * s.capacityFraction(srv, now) * d.Capacity * d.OverloadWindowMs / 1000; sum > allowed+2*maxUnits {
		s.violation("slow start: %s got %.0f units in %v, bears %.1f", srv.name, sum, window, allowed)
	}
}
