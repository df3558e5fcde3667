package simulation

import "time"

// attempt is an attempt of a request that a server has received completely.
type attempt struct {
	arrivedAt       time.Time
	server          *server
	mayHaveExecuted bool // whether the server may have executed the request
	inFlight        bool // whether the server is working on the request and the connection is open
}

// limitBucket is the token bucket of a volume's limit, which applies to all gateways together.
type limitBucket struct {
	level     float64 // units in the bucket; negative during an overdraft
	updatedAt time.Time
}

// recordArrival adds an attempt to its request and checks the rules that the arrival can violate. The first byte of the attempt
// arrived at firstByteAt; the last byte has just arrived. s.mu must be held.
func (s *simulation) recordArrival(srv *server, g *simulatedGateway, req *request, firstByteAt time.Time) *attempt {
	now := time.Now()
	s.checkDrain(srv, g, firstByteAt)
	if !req.respondedAt.IsZero() && firstByteAt.Sub(req.respondedAt) > tolerance {
		s.recordViolation("request %s: attempt sent %v after the client received the response", req.id, firstByteAt.Sub(req.respondedAt))
	}
	if len(req.attempts) >= s.deployment.MaxAttempts {
		s.recordViolation("request %s: attempt %d, at most %d allowed", req.id, len(req.attempts)+1, s.deployment.MaxAttempts)
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

// checkDrain checks that a gateway does not send to a server after the drain grace. The grace begins when the gateway is notified that
// the server is no longer ready. A gateway that polls and has no open watch is treated as having been notified at
// notificationDeadline.
func (s *simulation) checkDrain(srv *server, g *simulatedGateway, firstByteAt time.Time) {
	notifiedAt, notified := g.notifiedAt[srv]
	if !notified && !s.deployment.Push && len(g.watches) == 0 {
		notifiedAt, notified = s.notificationDeadline(srv, g)
	}
	if late := firstByteAt.Sub(notifiedAt); notified && late > milliseconds(s.deployment.DrainGraceMs)+tolerance {
		s.recordViolation("drain: gateway %d sent a request to server %s %v after the gateway was notified of the drain", g.index, srv.name, late)
	}
}

// notificationDeadline returns the time from which a gateway without an open watch is treated as having been notified that a
// server is no longer ready: four poll intervals after the latest of the change, the gateway's start and the end of its last watch.
// It returns false if the server is still ready.
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

// checkIdempotency checks that a new attempt at a server is an allowed retry of each earlier attempt that may have been executed. The
// retry is allowed if the class is idempotent, or if the class is idempotent with a key and the retry is within the deduplication
// window and scope of the earlier attempt.
func (s *simulation) checkIdempotency(srv *server, req *request, now time.Time) {
	c := req.class
	for _, earlier := range req.attempts {
		if !earlier.mayHaveExecuted {
			continue
		}
		switch {
		case c.Idempotency == notIdempotent:
			s.recordViolation("request %s (%s): retried although a server may have executed it", req.id, c.Idempotency)
		case c.Idempotency != idempotentWithKey:
		case now.Sub(earlier.arrivedAt) > milliseconds(c.DedupWindowMs)+tolerance:
			s.recordViolation("request %s: retried %v after an earlier attempt, outside its deduplication window",
				req.id, now.Sub(earlier.arrivedAt))
		case c.DedupScope == dedupScopeZone && earlier.server.zone != srv.zone,
			c.DedupScope == dedupScopeShard && earlier.server.shard != srv.shard:
			s.recordViolation("request %s: retried outside its deduplication scope (%s)", req.id, c.DedupScope)
		}
	}
}

// checkNoConcurrentAttempt checks that no other attempt of the request is in flight. A server may notice the end of an earlier
// attempt's connection with a delay, so the check runs after a wait of tolerance.
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
				s.recordViolation("request %s: sent to server %s while an attempt is in flight at server %s", req.id, srv.name, earlier.server.name)
			}
		})
	}
}

// checkLimit takes a request's units from the token bucket of its volume's limit and checks the bucket's level. The level may be
// below zero by at most the overdraft of the plan plus the units that the limit adds in 0.15 s.
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
	if minLevel := -p.LimitOverdraft - 0.15*p.Limit; bucket.level < minLevel {
		s.recordViolation("limit: request %s brings the bucket of volume %x to %.1f units, lowest allowed level %.1f",
			req.id, req.volume.ID, bucket.level, minLevel)
	}
}

// checkSlowStart checks the load of a server during its slow start. Within an overload window, the server may receive at most
// OverloadMultiple times the units that it can serve in that time at its current capacity. Two requests of the largest size are
// allowed in addition.
func (s *simulation) checkSlowStart(srv *server, req *request, now time.Time) {
	d := s.deployment
	if srv.startedAt.IsZero() || now.Sub(srv.startedAt) >= milliseconds(d.SlowStartMs) {
		return
	}
	window := milliseconds(d.OverloadWindowMs)
	srv.slowStartArrivals = append(srv.slowStartArrivals, slowStartArrival{now, req.units})
	for len(srv.slowStartArrivals) > 0 && now.Sub(srv.slowStartArrivals[0].at) > window {
		srv.slowStartArrivals = srv.slowStartArrivals[1:]
	}
	sum := 0.0
	for _, arrival := range srv.slowStartArrivals {
		sum += arrival.units
	}
	if allowed := d.OverloadMultiple * s.capacityFraction(srv, now) * d.Capacity * d.OverloadWindowMs / 1000; sum > allowed+2*maxUnits {
		s.recordViolation("slow start: server %s received %.0f units in %v, at most %.1f and two requests of the largest size allowed",
			srv.name, sum, window, allowed)
	}
}
