package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// referee follows one gateway from outside and checks the seven rules on every action. What it books of
// limits and cold nodes is this gateway's even part, the only thing that one gateway can be held to alone
// (but see coldMost).
type referee struct {
	t       *testing.T
	set     Settings
	classes map[string]Class
	plans   map[string]Plan
	now     time.Duration
	started time.Duration
	reqs    map[RequestID]*judged
	order   []*judged // taken in this life
	nodes   map[ServerID]*judgedNode
	limits  map[VolumeID]*judgedBucket // they outlive the gateway
	taken   []time.Duration
	extras  []time.Duration
	// coldMost is the most units a cold node may get in FallWindow in the scenario's pool.
	coldMost float64
}

type judged struct {
	a        RequestArrived
	class    Class
	expiry   time.Duration
	over     bool
	attempts []*judgedTry
	rest     time.Duration
}

type judgedTry struct {
	node   *judgedNode
	sent   time.Duration
	closed bool
	status Status
}

type judgedNode struct {
	Server
	told time.Duration // that it drains or is gone
	out  bool
	cold []sent
}

// sent is a stamped amount.
type sent struct {
	at    time.Duration
	units float64
}

type judgedBucket struct {
	level float64
	at    time.Duration
}

func (f *referee) bad(format string, args ...any) {
	f.t.Helper()
	f.t.Fatalf("at %v: "+format, append([]any{f.now}, args...)...)
}

func (f *referee) restart() {
	f.reqs, f.order, f.taken, f.extras = map[RequestID]*judged{}, nil, nil, nil
	f.started = f.now
}

func (f *referee) list(l EndpointUpdate) {
	if l.Kind == WatchFailed {
		return
	}
	named := map[ServerID]bool{}
	for _, e := range l.Servers {
		named[e.ID] = true
		n := f.nodes[e.ID]
		if n == nil {
			n = &judgedNode{}
			f.nodes[e.ID] = n
		}
		n.Server = e
		f.tell(n, e.State != Ready)
	}
	if l.Kind != Delta {
		for id, n := range f.nodes {
			if !named[id] {
				f.tell(n, true)
			}
		}
	}
}

func (f *referee) tell(n *judgedNode, out bool) {
	if out && !n.out {
		n.told = f.now
	}
	n.out = out
}

func (f *referee) outcome(o AttemptEnded) {
	r := f.reqs[o.ID]
	t := r.attempts[o.Attempt]
	t.closed, t.status = true, o.Status
	if o.Status == StatusTimedOut || o.Status == StatusConnectionReset || o.Status == StatusCanceled {
		r.rest = f.now + f.set.KeyCooldown
	}
	if o.RequestDone {
		r.over = true
	}
}

func mayHaveRun(t *judgedTry) bool {
	return !t.closed || t.status != StatusOverloaded && t.status != StatusConnectFailed && t.status != StatusNotSent
}

// send checks a Send against rules 1 to 7.
func (f *referee) send(a Send) *judgedTry {
	r, n := f.reqs[a.ID], f.nodes[a.Server]
	if r == nil || n == nil {
		f.bad("send of an unknown request or node: %+v", a)
	}
	if r.over {
		f.bad("rule 1: sent %d after its end", a.ID)
	}
	if r.a.Shard >= 0 && n.Shard != r.a.Shard {
		f.bad("sent %d to shard %d, its data is on %d", a.ID, n.Shard, r.a.Shard)
	}
	if len(r.attempts) >= f.set.MaxAttempts {
		f.bad("more attempts than allowed for %d", a.ID)
	}
	for _, t := range r.attempts {
		if !t.closed && !f.set.AllowHedging {
			f.bad("rule 2: two attempts of %d at once", a.ID)
		}
		if !mayHaveRun(t) {
			continue
		}
		switch r.class.Idempotency {
		case NotIdempotent:
			f.bad("rule 2: %d may have run and is sent again", a.ID)
		case IdempotentWithKey:
			same := r.class.DedupScope == DedupAll || r.class.DedupScope == DedupZone && t.node.Zone == n.Zone ||
				r.class.DedupScope == DedupCell && t.node.Shard == n.Shard
			if !same || f.now-t.sent > r.class.DedupWindow {
				f.bad("rule 2: repeat of %d outside its group or window", a.ID)
			}
		}
	}
	if n.out && f.now-n.told > f.set.DrainGrace {
		f.bad("rule 3: sent to node %d, told away at %v", n.ID, n.told)
	}
	if n.StartedAt > 0 && f.now-n.StartedAt < f.set.SlowStartDuration {
		n.cold = append(n.cold, sent{f.now, r.a.Units})
		sum := 0.0
		for _, c := range n.cold {
			if f.now-c.at <= f.set.OverloadWindow {
				sum += c.units
			}
		}
		if sum > f.coldMost {
			f.bad("rule 4: %.1f units to cold node %d within %v", sum, n.ID, f.set.OverloadWindow)
		}
	}
	if r.class.OrderedByKey && r.a.Key != NoKey {
		for _, e := range f.order {
			if e == r {
				break
			}
			if !e.class.OrderedByKey || e.a.Key != r.a.Key {
				continue
			}
			open := slices.ContainsFunc(e.attempts, func(t *judgedTry) bool { return !t.closed })
			if !e.over || open || len(r.attempts) == 0 && f.now < e.rest {
				f.bad("rule 5: %d sent before its turn behind %d", r.a.ID, e.a.ID)
			}
		}
	}
	if len(r.attempts) > 0 && f.set.RetryBudgetWindow > 0 {
		f.extras = append(f.extras, f.now)
		in := func(ts []time.Duration) (k int) {
			for _, t := range ts {
				if f.now-t < f.set.RetryBudgetWindow {
					k++
				}
			}
			return k
		}
		if float64(in(f.extras)) > f.set.RetryBudgetMin+f.set.RetryBudgetRatio*float64(in(f.taken))+1e-9 {
			f.bad("rule 6: %d further attempts for %d requests", in(f.extras), in(f.taken))
		}
	}
	if p := f.plans[r.a.Plan]; p.Limit > 0 && len(r.attempts) == 0 {
		hosts := float64(r.a.Gateways)
		b := f.limits[r.a.Volume]
		if b == nil {
			b = &judgedBucket{level: p.LimitBurst / hosts}
			f.limits[r.a.Volume] = b
		}
		b.level = min(p.LimitBurst/hosts, b.level+p.Limit/hosts*(f.now-b.at).Seconds()) - r.a.Units
		b.at = f.now
		if b.level < -1e-6 {
			f.bad("rule 7: volume %d %.2f units past its even part", r.a.Volume, -b.level)
		}
	}
	t := &judgedTry{node: n, sent: f.now}
	r.attempts = append(r.attempts, t)
	return t
}

func (f *referee) refuse(a Reject) {
	r := f.reqs[a.ID]
	if r == nil || r.over {
		f.bad("rule 1: second answer for %d", a.ID)
	}
	ran := slices.ContainsFunc(r.attempts, mayHaveRun)
	if ran && (r.class.Idempotency == NotIdempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope != DedupAll) {
		f.bad("rule 2: refused %d, which may have run", a.ID)
	}
	r.over = true
}

func (f *referee) fail(a Fail) {
	r := f.reqs[a.ID]
	if r == nil || r.over {
		f.bad("rule 1: second answer for %d", a.ID)
	}
	r.over = true
}

// unanswered checks that no request is older than its client's patience.
func (f *referee) unanswered() {
	for _, r := range f.reqs {
		if !r.over && f.now > r.expiry+f.set.ResponseGrace {
			f.bad("rule 1: %d was never answered (expired at %v)", r.a.ID, r.expiry)
		}
	}
}

func propertySettings(k int) Settings {
	set := Settings{Gateways: 3, Shards: 4, MeanUnits: 2, MaxUnits: 6, FairShareWeight: 0.4, SurplusWeight: 0.1,
		MaxAttempts: 4, AllowCancel: true, ResponseGrace: 8 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2,
		SlowStartDuration: 18 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * ms, SlowStartUnits: 24,
		KeyCooldown: 200 * ms, MinStepInterval: 2 * ms, UsagePeriod: time.Second, ReportsForeignUnits: true,
		PollEndpoints: k%2 == 1, MaxPollInterval: 10 * time.Second,
		Classes: []Class{
			{Name: "read", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, LateFraction: 0.2},
			{Name: "once", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Idempotency: NotIdempotent, OrderedByKey: true},
			{Name: "cell", LatencyObjective: 600 * ms, Deadline: 3 * time.Second, PriorityWeight: 2, Idempotency: IdempotentWithKey, DedupScope: DedupCell,
				DedupWindow: 700 * ms, OrderedByKey: k%3 == 0},
			{Name: "zone", LatencyObjective: 600 * ms, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: DedupZone,
				DedupWindow: 700 * ms},
			{Name: "all", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: DedupAll,
				DedupWindow: 900 * ms},
		},
		Plans: []Plan{
			{Name: "small", Rate: 10, Reserve: 3, Weight: 1, PriorityFactor: 0.8, Limit: 30, LimitBurst: 45, LimitOverdraft: 6},
			{Name: "large", Rate: 20, Reserve: 20, Weight: 2, PriorityFactor: 0.9},
		}}
	if k%2 == 0 {
		set.RetryBudgetMin, set.RetryBudgetRatio, set.RetryBudgetWindow = 3, 0.15, 5*time.Second
	}
	return set
}

// TestRulesHoldOverArbitraryEvents plays random legal events, outcomes and restarts against the referee.
func TestRulesHoldOverArbitraryEvents(t *testing.T) {
	for k := range 24 {
		t.Run(fmt.Sprint(k), func(t *testing.T) { playRules(t, k) })
	}
}

func playRules(t *testing.T, k int) {
	set := propertySettings(k)
	rnd := rand.New(rand.NewPCG(uint64(k), 7))
	f := &referee{t: t, set: set, classes: map[string]Class{}, plans: map[string]Plan{},
		nodes: map[ServerID]*judgedNode{}, limits: map[VolumeID]*judgedBucket{}, now: 1e6 * ms}
	for _, c := range set.Classes {
		f.classes[c.Name] = c
	}
	for _, p := range set.Plans {
		f.plans[p.Name] = p
	}
	// Half of what fells a node of 200 units a second, when fully warm; this gateway never gets more.
	f.coldMost = max(set.SlowStartUnits/float64(set.Gateways), set.OverloadMultiple/2*200*set.OverloadWindow.Seconds())
	var s *Scheduler
	var pool []Server
	for i := range set.Shards {
		pool = append(pool, Server{ID: ServerID(100 + i), Shard: i, Zone: "za", Size: 1})
	}
	type pending struct {
		at time.Duration
		o  AttemptEnded
	}
	var due []pending
	var wakes []time.Duration
	nextID, nextNode := RequestID(1), ServerID(500)
	sends, answers := 0, 0
	open := func() {
		var err error
		if s, err = New(set, rnd.Uint64()); err != nil {
			t.Fatal(err)
		}
		f.restart()
		due, wakes = nil, nil
	}
	act := func(events []Event) {
		for _, a := range s.Step(f.now, events) {
			switch a := a.(type) {
			case Send:
				tr := f.send(a)
				sends++
				r := f.reqs[a.ID]
				o := AttemptEnded{ID: a.ID, Attempt: len(r.attempts) - 1, Server: a.Server}
				o.Status = []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusError, StatusOverloaded, StatusTimedOut, StatusConnectFailed, StatusConnectionReset, StatusNotSent}[rnd.IntN(10)]
				at := f.now + time.Duration(rnd.ExpFloat64()*float64(80*ms))
				if rnd.IntN(20) == 0 {
					at = r.expiry // a hang
				}
				if at >= r.expiry {
					at, o.Status = r.expiry, StatusTimedOut
				}
				if a.Timeout > 0 && at > f.now+a.Timeout {
					at, o.Status = f.now+a.Timeout, StatusTimedOut
				}
				o.Latency = at - tr.sent
				due = append(due, pending{at, o})
			case Reject:
				f.refuse(a)
				answers++
			case Fail:
				f.fail(a)
				answers++
			case SetTimer:
				wakes = append(wakes, a.At)
			}
		}
		f.unanswered()
	}
	open()
	act([]Event{listAnd(f, EndpointUpdate{Kind: CachedSnapshot, Servers: slices.Clone(pool)})})
	end := f.now + 20*time.Second
	for f.now < end+5*time.Second {
		f.now += 2 * ms
		var events []Event
		if rnd.IntN(2000) == 0 && f.now < end { // killed and opened again in the same batch
			open()
			events = append(events, listAnd(f, EndpointUpdate{Kind: CachedSnapshot, Servers: slices.Clone(pool)}))
		}
		if i := rnd.IntN(len(pool)); rnd.IntN(700) == 0 && f.now < end {
			switch rnd.IntN(4) {
			case 0:
				pool[i].State = Draining
			case 1: // a restart: same id, new start
				pool[i].State, pool[i].StartedAt = Ready, f.now-time.Duration(rnd.IntN(2000))*ms
			case 2: // a replacement
				old := pool[i]
				old.State = Removed
				pool[i] = Server{ID: nextNode, Shard: old.Shard, Zone: []string{"za", "zb"}[rnd.IntN(2)],
					StartedAt: f.now, Size: 1}
				nextNode++
				events = append(events, listAnd(f, EndpointUpdate{Kind: Delta, Servers: []Server{old}}))
			case 3:
				events = append(events, listAnd(f, EndpointUpdate{Kind: WatchFailed}))
			}
			scope := []UpdateKind{Delta, Snapshot}[rnd.IntN(2)]
			events = append(events, listAnd(f, EndpointUpdate{Kind: scope, Servers: slices.Clone(pool)}))
		}
		for rnd.IntN(3) == 0 && f.now < end {
			c := set.Classes[rnd.IntN(len(set.Classes))]
			v := rnd.IntN(8)
			a := RequestArrived{ID: nextID, Class: c.Name, Plan: set.Plans[v%2].Name, Volume: VolumeID(v),
				Key: uint64(rnd.IntN(12)), TTL: c.Deadline, Units: float64(1 + rnd.IntN(6)),
				Shard: rnd.IntN(set.Shards+1) - 1, Gateways: 1 + v%3, IsRetry: rnd.IntN(6) == 0}
			if a.IsRetry {
				a.TTL = time.Duration(rnd.IntN(int(c.Deadline-ms))) + ms
			}
			nextID++
			r := &judged{a: a, class: c, expiry: f.now + a.TTL}
			f.reqs[a.ID], f.order = r, append(f.order, r)
			f.taken = append(f.taken, f.now)
			events = append(events, a)
		}
		due = slices.DeleteFunc(due, func(p pending) bool {
			if p.at > f.now {
				return false
			}
			r := f.reqs[p.o.ID]
			p.o.RequestDone = r.over || p.o.Status == StatusOK
			if p.o.Status == StatusOK {
				r.over = true
				answers++
			}
			f.outcome(p.o)
			events = append(events, p.o)
			if rnd.IntN(50) == 0 && r.over {
				events = append(events, RequestCanceled{ID: p.o.ID})
			}
			return true
		})
		wakes = slices.DeleteFunc(wakes, func(w time.Duration) bool {
			if w > f.now {
				return false
			}
			events = append(events, TimerFired{})
			return true
		})
		if len(events) > 0 {
			act(events)
		}
	}
	for _, r := range f.reqs {
		if !r.over {
			f.bad("rule 1: %d is open at the end", r.a.ID)
		}
	}
	if sends < 120 || answers < 1000 {
		t.Fatalf("the scenario exercised too little: %d sends, %d answers", sends, answers)
	}
}

// listAnd shows a list to the referee and passes it on.
func listAnd(f *referee, l EndpointUpdate) Event {
	f.list(l)
	return l
}

// TestManyGatewaysShareAColdNode plays gateways that share nothing against one node that restarts, under a
// backlog and with some of them stalled, and adds up what all of them send it in any FallWindow. The node does
// 80 units a second when warm and starts at StartCapacity, the worst that the settings allow.
func TestManyGatewaysShareAColdNode(t *testing.T) {
	for gates, seeds := range map[int]uint64{1: 40, 5: 40, 120: 40, 300: 10} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d/%d", gates, seed), func(t *testing.T) { playCold(t, gates, seed) })
		}
	}
}

func playCold(t *testing.T, gates int, seed uint64) {
	const full = 80.0 // units a second
	set := propertySettings(1)
	set.Gateways, set.Shards, set.PollEndpoints, set.OverloadWindow, set.SlowStartUnits = gates, 1, false, time.Second, 12
	set.Plans[1].Rate = 0.6 * full / 8 // what the volumes are sized for is a usual day's load
	rnd := rand.New(rand.NewPCG(seed, 11))
	now, restart := time.Hour, time.Hour+30*time.Second
	type pending struct {
		at time.Duration
		o  AttemptEnded
	}
	ss, asleep, due := make([]*Scheduler, gates), make([]time.Duration, gates), make([][]pending, gates)
	queue := make([][]Event, gates)
	units := map[RequestID]float64{}
	for i := range ss {
		s, err := New(set, rnd.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		ss[i] = s
		queue[i] = []Event{EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1, Shard: 0}}}}
	}
	var window []sent
	free, id, warmUnits, coldUnits, borne := now, RequestID(1), 0.0, 0.0, 0.0
	for ; now < restart+12*time.Second; now += 4 * ms {
		cold := now >= restart
		rate := full
		if cold {
			age := float64(now-restart) / float64(set.SlowStartDuration)
			rate *= set.InitialCapacity + (1-set.InitialCapacity)*age
			borne += set.SlowStartUnits * (1 + (1/set.InitialCapacity-1)*age) * 0.004 / set.OverloadWindow.Seconds()
		}
		if now == restart {
			for i := range ss {
				queue[i] = append(queue[i], EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, Shard: 0, StartedAt: now}}})
			}
		}
		load := 0.6
		if cold {
			load = 2 // a backlog of repeats
		}
		for range 4 {
			if rnd.Float64() < load*full/3.5*0.001 { // requests of 1 to 6 units
				v, hosts := rnd.IntN(8), max(gates/8, min(gates, 14))
				i := (v*hosts + rnd.IntN(hosts)) % gates // a volume comes through its own gateways, and no others
				a := RequestArrived{ID: id, Class: "all", Plan: "large", Volume: VolumeID(v), Key: uint64(id),
					TTL: 4 * time.Second, Units: float64(1 + rnd.IntN(6)), Gateways: hosts}
				units[id] = a.Units
				queue[i], id = append(queue[i], a), id+1
			}
		}
		for i, s := range ss {
			if now < asleep[i] {
				continue
			}
			if rnd.IntN(1500) == 0 {
				asleep[i] = now + time.Duration(1000+rnd.IntN(1000))*ms
			}
			due[i] = slices.DeleteFunc(due[i], func(p pending) bool {
				if p.at <= now {
					p.o.Latency += now - p.at
					queue[i] = append(queue[i], p.o)
				}
				return p.at <= now
			})
			events := append(queue[i], TimerFired{})
			queue[i] = nil
			for _, a := range s.Step(now, events) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				u := units[send.ID]
				free = max(free, now) + time.Duration(u/rate*float64(time.Second))
				due[i] = append(due[i], pending{free, AttemptEnded{ID: send.ID, Server: 1, Status: StatusOK, Latency: free - now, RequestDone: true}})
				if !cold {
					warmUnits += u
					continue
				}
				coldUnits += u
				window = append(window, sent{now, u})
				for now-window[0].at > set.OverloadWindow {
					window = window[1:]
				}
				sum := 0.0
				for _, w := range window {
					sum += w.units
				}
				if most := set.OverloadMultiple * rate * set.OverloadWindow.Seconds(); sum > most {
					t.Fatalf("rule 4: %.0f units within %v, %v after its start; it falls at %.0f",
						sum, set.OverloadWindow, now-restart, most)
				}
			}
		}
	}
	// Of what the settings let it bear, each gateway has its even part, and uses it as far as it is asked just then.
	least := 0.15
	if gates == 300 {
		least = 0.06 // each is asked for a call in seven windows
	}
	if warmUnits < 0.4*full*30 || coldUnits < least*borne {
		t.Errorf("%.0f units while warm, %.0f of %.0f while cold: too little", warmUnits, coldUnits, borne)
	}
	t.Logf("%.0f units while warm, %.0f of %.0f while cold", warmUnits, coldUnits, borne)
}
