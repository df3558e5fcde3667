package simulation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// instance is one process of a storage node. Each gateway reaches it at an address of its own.
type instance struct {
	n       int
	name    string
	shard   int
	zone    string
	started time.Time // zero: long ago
	listed  bool      // as ready
	drains  bool
	dead    bool
	frozen  chan struct{}
	servers []*http.Server
	slots   chan struct{}
	waiting int
	cold    []sent               // what it was sent while cold, within the rule's time
	served  map[uint64][]float64 // units by volume and gateway since that gateway's last answer
}

type sent struct {
	at    time.Time
	units float64
}

func (i *instance) startedMs() float64 {
	if i.started.IsZero() {
		return 0
	}
	return float64(i.started.UnixMilli())
}

func (i *instance) stop() {
	for _, s := range i.servers {
		s.Close()
	}
}

func (w *world) newInstance(name string, shard int, started time.Time) *instance {
	inst := &instance{n: len(w.instances), name: name, shard: shard, zone: w.d.Zones[shard%len(w.d.Zones)], started: started,
		slots: make(chan struct{}, 4), served: map[uint64][]float64{}}
	w.instances = append(w.instances, inst)
	for g := range w.d.Gateways {
		ln, err := w.net.Listen(nodeAt(g, inst.n))
		if err != nil {
			panic(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(inst, w.gates[g], rw, r) })}
		inst.servers = append(inst.servers, s)
		go s.Serve(ln)
	}
	return inst
}

// serve is a node's work, with the rules checked as requests arrive.
func (w *world) serve(inst *instance, g *gate, rw http.ResponseWriter, r *http.Request) {
	id, first := r.Header.Get("X-Correlation-Id"), time.Now()
	if id == "" {
		w.mu.Lock()
		w.broken("%s: a request without an id", inst.name)
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // it was never whole
	}
	w.mu.Lock()
	req := w.requests[id]
	if req == nil || req.class.write && string(body) != "content of "+id {
		w.broken("%s: a request that no client sent so: %q", inst.name, id)
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	a := w.arrived(inst, g, req, id, first)
	context.AfterFunc(r.Context(), func() { // given up, or answered
		w.mu.Lock()
		a.out = false
		w.mu.Unlock()
	})
	full := inst.waiting >= 30 || inst.drains && w.d.DrainingServersReject || req.shard >= 0 && req.shard != inst.shard
	draw, noise := w.rnd.Float64(), 0.3+1.4*w.rnd.Float64()
	frozen := inst.frozen
	if full {
		a.ran, a.out = false, false
		w.res.RejectedAttempts++
		w.mu.Unlock()
		rw.Header().Set("X-Unprocessed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	inst.waiting++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		inst.waiting--
		w.mu.Unlock()
	}()
	inst.slots <- struct{}{}
	defer func() { <-inst.slots }()
	if frozen != nil {
		<-frozen
	}
	if w.d.ServersHonorCancel && r.Context().Err() != nil {
		return
	}
	work := time.Duration(req.units * noise * max(w.d.ServiceTimeMs, 4000/w.d.Capacity) * float64(time.Millisecond))
	time.Sleep(time.Duration(float64(work) / w.warmth(inst, time.Now())))
	switch {
	case draw < 0.02:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case draw < 0.03:
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	if units := inst.served[req.vol.ID]; units == nil {
		inst.served[req.vol.ID] = make([]float64, w.d.Gateways)
	}
	for other := range w.d.Gateways {
		if other != g.n {
			inst.served[req.vol.ID][other] += req.units
		}
	}
	if elsewhere := inst.served[req.vol.ID][g.n]; w.d.ReportsServedElsewhere && elsewhere > 0 {
		rw.Header().Set("X-Served-Elsewhere", strconv.FormatFloat(elsewhere, 'f', -1, 64))
		inst.served[req.vol.ID][g.n] = 0
	}
	w.mu.Unlock()
	if n := len(w.d.ReportFields); n > 0 && draw < 0.5 {
		report := []string{}
		for _, f := range w.d.ReportFields {
			report = append(report, fmt.Sprintf("%q:%.1f", f, 20*draw))
		}
		rw.Header().Set("X-Backend-Load", "{"+strings.Join(report, ",")+"}")
	}
	fmt.Fprintf(rw, "%s from %s", id, inst.name)
}

// warmth is the part of its capacity that a node has.
func (w *world) warmth(inst *instance, now time.Time) float64 {
	if inst.started.IsZero() {
		return 1
	}
	age := min(1, float64(now.Sub(inst.started).Milliseconds())/w.d.SlowStartMs)
	return w.d.InitialCapacity + (1-w.d.InitialCapacity)*age
}

// arrived notes a whole request and checks the rules that its arrival could break. w.mu is held.
func (w *world) arrived(inst *instance, g *gate, req *request, id string, first time.Time) *arrival {
	now, slack := time.Now(), slackMs*time.Millisecond
	grace := time.Duration(w.d.DrainGraceMs)*time.Millisecond + slack
	told, ok := g.told[inst]
	if !w.d.Push && !ok && len(g.watches) == 0 { // one that does not ask counts as told in time
		for _, c := range w.changes {
			if c.inst == inst && c.state != "Ready" {
				since := c.at
				for _, t := range []time.Time{g.started, g.lastEnd} {
					if t.After(since) {
						since = t
					}
				}
				told, ok = since.Add(4*time.Duration(w.d.MaxPollIntervalMs)*time.Millisecond), true
				break
			}
		}
	}
	if ok && first.Sub(told) > grace {
		w.broken("drain: gateway %d sent to %s %v after it was told", g.n, inst.name, first.Sub(told))
	}
	if !req.answered.IsZero() && first.Sub(req.answered) > slack {
		w.broken("%s: sent %v after its answer", id, first.Sub(req.answered))
	}
	if len(req.arrivals) >= w.d.MaxAttempts {
		w.broken("%s: attempt %d of %d", id, len(req.arrivals)+1, w.d.MaxAttempts)
	}
	a := &arrival{at: now, inst: inst, ran: true, out: true}
	for _, p := range req.arrivals {
		if !p.ran {
			continue
		}
		c := req.class
		switch {
		case c.Idempotency == "once":
			w.broken("%s (once): sent again, though it may have run", id)
		case c.Idempotency == "by_key" && now.Sub(p.at) > time.Duration(c.DedupWindowMs)*time.Millisecond+slack:
			w.broken("%s: sent again %v after the first, outside its window", id, now.Sub(p.at))
		case c.Idempotency == "by_key" && c.KeyScope == "zone" && p.inst.zone != inst.zone,
			c.Idempotency == "by_key" && c.KeyScope == "cell" && p.inst.shard != inst.shard:
			w.broken("%s: sent again outside its %s", id, c.KeyScope)
		}
	}
	for _, p := range req.arrivals {
		if p.out { // the end of its connection may be on its way
			w.wg.Go(func() {
				time.Sleep(slack)
				w.mu.Lock()
				defer w.mu.Unlock()
				if p.out {
					w.broken("%s: sent to %s while it is out at %s", id, inst.name, p.inst.name)
				}
			})
		}
	}
	if len(req.arrivals) == 0 {
		w.takeLimit(req, id, now)
	}
	req.arrivals = append(req.arrivals, a)
	if age := now.Sub(inst.started); !inst.started.IsZero() && age < time.Duration(w.d.SlowStartMs)*time.Millisecond {
		window := time.Duration(w.d.OverloadWindowMs) * time.Millisecond
		inst.cold = append(inst.cold, sent{now, req.units})
		sum := 0.0
		for len(inst.cold) > 0 && now.Sub(inst.cold[0].at) > window {
			inst.cold = inst.cold[1:]
		}
		for _, s := range inst.cold {
			sum += s.units
		}
		if bears := w.d.OverloadMultiple * w.warmth(inst, now) * w.d.Capacity * w.d.OverloadWindowMs / 1000; sum > bears+2*mostUnits {
			w.broken("cold: %s got %.0f units in %v, bears %.1f", inst.name, sum, window, bears)
		}
	}
	return a
}

// takeLimit draws a request's units from its volume's limit, which is one over all gateways.
func (w *world) takeLimit(req *request, id string, now time.Time) {
	p := w.d.Plans[req.vol.Plan]
	if p.CeilingRate == 0 {
		return
	}
	s := w.stores[req.vol.ID]
	if s == nil {
		s = &store{p.CapDepth, now}
		w.stores[req.vol.ID] = s
	}
	s.level = min(p.CapDepth, s.level+p.CeilingRate*now.Sub(s.at).Seconds()) - req.units
	s.at = now
	if least := -p.CapSlack - 0.15*p.CeilingRate; s.level < least {
		w.broken("limit: %s takes volume %x to %.1f, least %.1f", id, req.vol.ID, s.level, least)
	}
}
