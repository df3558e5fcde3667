package scheduler

import (
	"slices"
	"testing"
	"time"
)

// ruleChecker follows one gateway from outside and checks the rules on every action. Of limits and starting servers it checks this
// gateway's even part, which is all that one gateway can be held to alone; but see maxSlowStartUnits.
type ruleChecker struct {
	t        *testing.T
	settings Settings
	classes  map[string]Class
	plans    map[string]Plan
	now      time.Duration
	started  time.Duration
	requests map[RequestID]*checkedRequest
	order    []*checkedRequest // taken in this life
	servers  map[ServerID]*checkedServer
	limits   map[VolumeID]*checkedBucket // they outlive the gateway
	admitted []time.Duration
	retries  []time.Duration
	// maxSlowStartUnits is the most units a cold node may get in FallWindow in the scenario's pool.
	maxSlowStartUnits float64
}

// checkedRequest is a request as seen from outside.
type checkedRequest struct {
	arrival       RequestArrived
	class         Class
	expiresAt     time.Duration
	finished      bool
	attempts      []*checkedAttempt
	cooldownUntil time.Duration
}

// checkedAttempt is an attempt as seen from outside.
type checkedAttempt struct {
	server *checkedServer
	sentAt time.Duration
	ended  bool
	status Status
}

// checkedServer is a server as seen from outside.
type checkedServer struct {
	Server
	outOfServiceAt time.Duration // that it drains or is gone
	outOfService   bool
	slowStartSends []sentUnits
}

// sentUnits are units sent at a time.
type sentUnits struct {
	at    time.Duration
	units float64
}

// checkedBucket is the token bucket of a volume limit.
type checkedBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// fatalf ends the test with the current time and a message.
func (f *ruleChecker) fatalf(format string, args ...any) {
	f.t.Helper()
	f.t.Fatalf("at %v: "+format, append([]any{f.now}, args...)...)
}

// restart forgets the requests of a gateway that was killed.
func (f *ruleChecker) restart() {
	f.requests, f.order, f.admitted, f.retries = map[RequestID]*checkedRequest{}, nil, nil, nil
	f.started = f.now
}

// applyUpdate takes in an endpoint update that the gateway gets.
func (f *ruleChecker) applyUpdate(l EndpointUpdate) {
	if l.Kind == WatchFailed {
		return
	}
	named := map[ServerID]bool{}
	for _, e := range l.Servers {
		named[e.ID] = true
		server := f.servers[e.ID]
		if server == nil {
			server = &checkedServer{}
			f.servers[e.ID] = server
		}
		server.Server = e
		f.setOutOfService(server, e.State != Ready)
	}
	if l.Kind != Delta {
		for id, server := range f.servers {
			if !named[id] {
				f.setOutOfService(server, true)
			}
		}
	}
}

// setOutOfService notes whether a server is known to drain or to be removed.
func (f *ruleChecker) setOutOfService(server *checkedServer, out bool) {
	if out && !server.outOfService {
		server.outOfServiceAt = f.now
	}
	server.outOfService = out
}

// recordOutcome takes in the end of an attempt.
func (f *ruleChecker) recordOutcome(o AttemptEnded) {
	request := f.requests[o.ID]
	t := request.attempts[o.Attempt]
	t.ended, t.status = true, o.Status
	if o.Status == StatusTimedOut || o.Status == StatusConnectionReset || o.Status == StatusCanceled {
		request.cooldownUntil = f.now + f.settings.KeyCooldown
	}
	if o.RequestDone {
		request.finished = true
	}
}

// mayHaveExecuted reports whether an attempt may have been executed.
func mayHaveExecuted(t *checkedAttempt) bool {
	return !t.ended || t.status != StatusOverloaded && t.status != StatusConnectFailed && t.status != StatusNotSent
}

// checkSend checks a Send against all rules and returns the attempt.
func (f *ruleChecker) checkSend(a Send) *checkedAttempt {
	request, server := f.requests[a.ID], f.servers[a.Server]
	if request == nil || server == nil {
		f.fatalf("send of an unknown request or node: %+v", a)
	}
	if request.finished {
		f.fatalf("rule 1: sent %d after its end", a.ID)
	}
	if request.arrival.Shard >= 0 && server.Shard != request.arrival.Shard {
		f.fatalf("sent %d to shard %d, its data is on %d", a.ID, server.Shard, request.arrival.Shard)
	}
	if len(request.attempts) >= f.settings.MaxAttempts {
		f.fatalf("more attempts than allowed for %d", a.ID)
	}
	for _, t := range request.attempts {
		if !t.ended && !f.settings.AllowHedging {
			f.fatalf("rule 2: two attempts of %d at once", a.ID)
		}
		if !mayHaveExecuted(t) {
			continue
		}
		switch request.class.Idempotency {
		case NotIdempotent:
			f.fatalf("rule 2: %d may have run and is sent again", a.ID)
		case IdempotentWithKey:
			same := request.class.DedupScope == DedupAll || request.class.DedupScope == DedupZone && t.server.Zone == server.Zone ||
				request.class.DedupScope == DedupCell && t.server.Shard == server.Shard
			if !same || f.now-t.sentAt > request.class.DedupWindow {
				f.fatalf("rule 2: repeat of %d outside its group or window", a.ID)
			}
		}
	}
	if server.outOfService && f.now-server.outOfServiceAt > f.settings.DrainGrace {
		f.fatalf("rule 3: sent to node %d, told away at %v", server.ID, server.outOfServiceAt)
	}
	if server.StartedAt > 0 && f.now-server.StartedAt < f.settings.SlowStartDuration {
		server.slowStartSends = append(server.slowStartSends, sentUnits{f.now, request.arrival.Units})
		sum := 0.0
		for _, c := range server.slowStartSends {
			if f.now-c.at <= f.settings.OverloadWindow {
				sum += c.units
			}
		}
		if sum > f.maxSlowStartUnits {
			f.fatalf("rule 4: %.1f units to cold node %d within %v", sum, server.ID, f.settings.OverloadWindow)
		}
	}
	if request.class.OrderedByKey && request.arrival.Key != NoKey {
		for _, e := range f.order {
			if e == request {
				break
			}
			if !e.class.OrderedByKey || e.arrival.Key != request.arrival.Key {
				continue
			}
			open := slices.ContainsFunc(e.attempts, func(t *checkedAttempt) bool { return !t.ended })
			if !e.finished || open || len(request.attempts) == 0 && f.now < e.cooldownUntil {
				f.fatalf("rule 5: %d sent before its turn behind %d", request.arrival.ID, e.arrival.ID)
			}
		}
	}
	if len(request.attempts) > 0 && f.settings.RetryBudgetWindow > 0 {
		f.retries = append(f.retries, f.now)
		in := func(ts []time.Duration) (k int) {
			for _, t := range ts {
				if f.now-t < f.settings.RetryBudgetWindow {
					k++
				}
			}
			return k
		}
		if float64(in(f.retries)) > f.settings.RetryBudgetMin+f.settings.RetryBudgetRatio*float64(in(f.admitted))+1e-9 {
			f.fatalf("rule 6: %d further attempts for %d requests", in(f.retries), in(f.admitted))
		}
	}
	if p := f.plans[request.arrival.Plan]; p.Limit > 0 && len(request.attempts) == 0 {
		hosts := float64(request.arrival.Gateways)
		b := f.limits[request.arrival.Volume]
		if b == nil {
			b = &checkedBucket{tokens: p.LimitBurst / hosts}
			f.limits[request.arrival.Volume] = b
		}
		b.tokens = min(p.LimitBurst/hosts, b.tokens+p.Limit/hosts*(f.now-b.updatedAt).Seconds()) - request.arrival.Units
		b.updatedAt = f.now
		if b.tokens < -1e-6 {
			f.fatalf("rule 7: volume %d %.2f units past its even part", request.arrival.Volume, -b.tokens)
		}
	}
	t := &checkedAttempt{server: server, sentAt: f.now}
	request.attempts = append(request.attempts, t)
	return t
}

// checkReject checks a Reject.
func (f *ruleChecker) checkReject(a Reject) {
	request := f.requests[a.ID]
	if request == nil || request.finished {
		f.fatalf("rule 1: second answer for %d", a.ID)
	}
	ran := slices.ContainsFunc(request.attempts, mayHaveExecuted)
	if ran && (request.class.Idempotency == NotIdempotent || request.class.Idempotency == IdempotentWithKey && request.class.DedupScope != DedupAll) {
		f.fatalf("rule 2: refused %d, which may have run", a.ID)
	}
	request.finished = true
}

// checkFail checks a Fail.
func (f *ruleChecker) checkFail(a Fail) {
	request := f.requests[a.ID]
	if request == nil || request.finished {
		f.fatalf("rule 1: second answer for %d", a.ID)
	}
	request.finished = true
}

// checkDeadlines checks that no request is unanswered beyond its client's deadline.
func (f *ruleChecker) checkDeadlines() {
	for _, request := range f.requests {
		if !request.finished && f.now > request.expiresAt+f.settings.ResponseGrace {
			f.fatalf("rule 1: %d was never answered (expired at %v)", request.arrival.ID, request.expiresAt)
		}
	}
}
