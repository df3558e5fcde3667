package lifecycle_test

import (
	"fmt"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/lifecycle"
)

// script is a module that does what a fuzzer's bytes say, as far as the module's own contract allows.
type script struct {
	actions []scheduler.Action
	seen    []scheduler.Event
}

func (s *script) Step(_ time.Duration, events []scheduler.Event) []scheduler.Action {
	s.seen = append(s.seen, events...)
	out := s.actions
	s.actions = nil
	return out
}

type quiet struct{ probes, watches int }

func (*quiet) SetTimer(float64)                {}
func (q *quiet) WatchEndpoints()               { q.watches++ }
func (q *quiet) ProbeServer(*lifecycle.Server) { q.probes++ }
func (*quiet) Log(string)                      {}
func (*quiet) Count(string)                    {}
func (*quiet) Trace(string, ...any)            {}

type carrier struct{ started []lifecycle.Attempt }

func (c *carrier) Start(a lifecycle.Attempt) func() {
	c.started = append(c.started, a)
	return func() {}
}

func nodes(states ...scheduler.ServerState) (l lifecycle.EndpointUpdate) {
	l.Kind = scheduler.Snapshot
	for i, s := range states {
		l.Servers = append(l.Servers, &lifecycle.Server{Name: string(rune('a' + i)), Addr: "127.0.0.1:1", State: s})
	}
	return l
}

// FuzzRequests checks random steps against a model of each request: it is open, answered or its client is gone;
// whatever races, it has at most one answer, and the module learns each attempt's end once, with the truth on
// whether the request is over.
func FuzzRequests(f *testing.F) {
	f.Add([]byte{0, 1, 2, 5, 3})
	f.Add([]byte{0, 1, 1, 2, 2, 10, 2, 4, 3, 5})
	f.Add([]byte{0, 8, 1, 9, 4, 2, 12, 5, 13, 3, 11, 2})
	f.Add([]byte{0, 1, 3, 2, 2, 0, 1, 6, 7, 2})
	f.Fuzz(func(t *testing.T, steps []byte) {
		type model struct {
			req      *lifecycle.Request
			id       scheduler.RequestID
			answers  int
			over     bool // answered, or its client is gone
			attempts []bool
		}
		mod, car := &script{}, &carrier{}
		c := lifecycle.New(lifecycle.Options{Scheduler: mod, Environment: &quiet{}})
		c.UpdateEndpoints(nodes(scheduler.Ready))
		c.Step(0)
		var all []*model
		for i, s := range steps {
			now := float64(i)
			mod.seen = nil
			if s%8 == 0 || len(all) == 0 {
				m := &model{id: scheduler.RequestID(len(all) + 1)}
				m.req = &lifecycle.Request{RemainingMs: 1000, Upstream: car, Respond: func(lifecycle.Response) { m.answers++ }}
				all = append(all, m)
				c.Submit(now, m.req)
				c.Step(now)
				continue
			}
			m := all[int(s>>3)%len(all)]
			want := 0 // events that the module must see
			switch s % 8 {
			case 1: // the module sends
				if !m.over {
					mod.actions = []scheduler.Action{scheduler.Send{ID: m.id, Server: 1}}
					m.attempts = append(m.attempts, false)
				}
				c.TimerFired()
				want = 1
			case 2, 3: // an attempt ends, perhaps for the second time
				n, status := int(s>>5), scheduler.StatusError
				if s%8 == 2 {
					status = scheduler.StatusOK
				}
				c.Complete(now, m.req, n, lifecycle.AttemptResult{Status: status})
				if n < len(m.attempts) && !m.attempts[n] {
					m.attempts[n], want = true, 1
					m.over = m.over || status == scheduler.StatusOK
				}
			case 4: // the client goes
				c.Cancel(now, m.req)
				if !m.over {
					m.over, want = true, 1
				}
			case 5, 6: // the module gives up, perhaps on what is over
				mod.actions = []scheduler.Action{scheduler.Fail{ID: m.id}}
				if s%8 == 6 {
					mod.actions = []scheduler.Action{scheduler.Reject{ID: m.id}}
				}
				c.TimerFired()
				m.over, want = true, 1
			case 7:
				mod.actions = []scheduler.Action{scheduler.CancelAttempt{ID: m.id, Attempt: int(s >> 5)}, scheduler.ProbeServer{Server: 9},
					scheduler.Send{ID: 999, Server: 1}, scheduler.Send{ID: m.id, Server: 99}, scheduler.Fail{ID: 999}}
				c.TimerFired()
				want = 1
			}
			c.Step(now)
			if len(mod.seen) != want {
				t.Fatalf("step %d (%d): the module saw %v, want %d events", i, s, mod.seen, want)
			}
			if want == 1 {
				if o, ok := mod.seen[0].(scheduler.AttemptEnded); ok && (o.RequestDone != m.over || o.ID != m.id) {
					t.Fatalf("step %d: %+v, over is %v", i, o, m.over)
				}
			}
			if m.answers > 1 {
				t.Fatalf("step %d: %d answers", i, m.answers)
			}
		}
		open, started := 0, 0
		for _, m := range all {
			started += len(m.attempts)
			if !m.over {
				open++
				if m.answers != 0 {
					t.Fatalf("request %d is open and has %d answers", m.id, m.answers)
				}
			}
		}
		if c.OpenRequests() != open || len(car.started) != started {
			t.Fatalf("%d open, want %d; %d started, want %d", c.OpenRequests(), open, len(car.started), started)
		}
	})
}

// A carrier that holds an attempt back must see that its node has drained, moved or gone.
func TestClosedNodes(t *testing.T) {
	for name, change := range map[string]lifecycle.EndpointUpdate{
		"draining": nodes(scheduler.Draining),
		"gone":     nodes(scheduler.Removed),
		"missing":  {Kind: scheduler.Snapshot},
		"moved":    {Kind: scheduler.Delta, Servers: []*lifecycle.Server{{Name: "a", Addr: "127.0.0.1:2"}}},
	} {
		c := lifecycle.New(lifecycle.Options{Scheduler: &script{}, Environment: &quiet{}})
		l := nodes(scheduler.Ready)
		c.UpdateEndpoints(l)
		if l.Servers[0].Closed() {
			t.Errorf("%s: closed from the start", name)
		}
		c.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.WatchFailed})
		c.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Delta})
		if l.Servers[0].Closed() {
			t.Errorf("%s: a broken watch or an empty change closed it", name)
		}
		if c.UpdateEndpoints(change); !l.Servers[0].Closed() {
			t.Errorf("%s: not closed", name)
		}
	}
}

// An attempt may hold an entry that a refreshed one has replaced: the drain closes both. A node that comes back
// does not reopen what was meant for the process before.
func TestARefreshedEntryClosesWithItsNode(t *testing.T) {
	c := lifecycle.New(lifecycle.Options{Scheduler: &script{}, Environment: &quiet{}})
	var held []*lifecycle.Server
	for _, state := range []scheduler.ServerState{scheduler.Ready, scheduler.Ready, scheduler.Draining, scheduler.Ready} {
		l := nodes(state)
		l.Kind = scheduler.Delta
		c.UpdateEndpoints(l)
		held = append(held, l.Servers[0])
	}
	for i, want := range []bool{true, true, true, false} {
		if held[i].Closed() != want {
			t.Errorf("entry %d: closed %v", i, !want)
		}
	}
}

// A client may be gone before the loop has come to its request.
func TestGoneBeforeTaken(t *testing.T) {
	mod := &script{}
	c := lifecycle.New(lifecycle.Options{Scheduler: mod, Environment: &quiet{}})
	r := &lifecycle.Request{Respond: func(lifecycle.Response) { t.Error("answered") }}
	c.Cancel(0, r)
	c.Submit(1, r)
	if c.Step(1); len(mod.seen) != 0 || c.OpenRequests() != 0 {
		t.Errorf("the module saw %v", mod.seen)
	}
}

// A gateway is ready once it holds a list that can be used: known may be empty, and a watch may fail.
// sleeper is a module that waits for one time and for nothing else, as the real one does.
type sleeper struct {
	at    time.Duration
	awake bool
}

func (s *sleeper) Step(now time.Duration, events []scheduler.Event) []scheduler.Action {
	if _, ok := events[0].(scheduler.TimerFired); ok {
		s.awake = now >= s.at
		return nil
	}
	return []scheduler.Action{scheduler.SetTimer{At: s.at}}
}

type alarm struct {
	quiet
	ms float64
}

func (a *alarm) SetTimer(ms float64) { a.ms = ms }

// A time since the epoch loses some hundred nanoseconds as float64 milliseconds. A wake at the time that was asked
// for is never seen as one too early; one that is too early by more stays so.
func TestAWakeIsNeverEarlyByRounding(t *testing.T) {
	rounded := 0
	for ns := range time.Duration(2000) {
		m, a := &sleeper{at: 1_796_000_000_123_456_789 + 7*ns}, &alarm{}
		c := lifecycle.New(lifecycle.Options{Scheduler: m, Environment: a})
		c.UpdateEndpoints(lifecycle.EndpointUpdate{})
		c.Step(1.796e12)
		if time.Duration(a.ms*1e6) < m.at {
			rounded++
		}
		if c.TimerFired(); ns%2 == 0 {
			c.Step(a.ms)
		} else {
			c.Step(a.ms - 0.01)
		}
		if m.awake != (ns%2 == 0) {
			t.Fatalf("asked for %d, at %v ms: awake %v", m.at, a.ms, m.awake)
		}
	}
	if rounded == 0 {
		t.Error("no time was rounded down")
	}
}

func TestReady(t *testing.T) {
	c := lifecycle.New(lifecycle.Options{Scheduler: &script{}, Environment: &quiet{}})
	for _, l := range []lifecycle.EndpointUpdate{{Kind: scheduler.CachedSnapshot}, {Kind: scheduler.WatchFailed}} {
		if c.UpdateEndpoints(l); c.Ready() {
			t.Errorf("ready by %+v", l)
		}
	}
	if c.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}); !c.Ready() {
		t.Error("not ready though discovery has answered")
	}
	c = lifecycle.New(lifecycle.Options{Scheduler: &script{}, Environment: &quiet{}})
	known := nodes(scheduler.Ready)
	known.Kind = scheduler.CachedSnapshot
	if c.UpdateEndpoints(known); !c.Ready() {
		t.Error("not ready with a known node")
	}
}

// A second request by the name of an open one is rejected, and the first one's answer is its own. Once that and
// all its attempts are over the name is free.
func TestNameOfAnOpenRequest(t *testing.T) {
	mod, car := &script{}, &carrier{}
	c := lifecycle.New(lifecycle.Options{Scheduler: mod, Environment: &quiet{}})
	c.UpdateEndpoints(nodes(scheduler.Ready))
	c.Step(0)
	var got []lifecycle.ResponseKind
	take := func() *lifecycle.Request {
		r := &lifecycle.Request{ClientID: "a", RemainingMs: 100, Upstream: car, Respond: func(a lifecycle.Response) { got = append(got, a.Kind) }}
		mod.seen = nil
		c.Submit(1, r)
		c.Step(1)
		return r
	}
	first := take()
	mod.actions = []scheduler.Action{scheduler.Send{ID: 1, Server: 1}}
	c.TimerFired()
	c.Step(1)
	if take(); len(mod.seen) != 0 || len(got) != 1 || got[0] != lifecycle.DuplicateID {
		t.Errorf("the module saw %v; answers %v", mod.seen, got)
	}
	c.Cancel(0, first)
	if take(); len(mod.seen) != 1 || len(got) != 2 { // its attempt is still out
		t.Errorf("the module saw %v; answers %v", mod.seen, got)
	}
	c.Complete(2, first, 0, lifecycle.AttemptResult{Status: scheduler.StatusOK})
	if take(); len(got) != 2 || c.OpenRequests() != 1 {
		t.Errorf("answers %v, %d open", got, c.OpenRequests())
	}
}

// Nodes come and go with ever new names; what is held of them does not grow, and no id is used twice.
func TestGoneNodesAreForgotten(t *testing.T) {
	mod := &script{}
	c := lifecycle.New(lifecycle.Options{Scheduler: mod, Environment: &quiet{}})
	ids := map[scheduler.ServerID]bool{}
	for i := range 1000 {
		name := fmt.Sprint("s-", i)
		c.UpdateEndpoints(lifecycle.EndpointUpdate{Servers: []*lifecycle.Server{{Name: name, Addr: "127.0.0.1:1"}}})
		last := lifecycle.EndpointUpdate{Servers: []*lifecycle.Server{{Name: name, State: scheduler.Removed}, {Name: "unheard of", State: scheduler.Removed}}}
		if i%2 == 1 { // or the next whole list lacks it
			last = lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}
		}
		c.UpdateEndpoints(last)
		c.Step(float64(i))
		for _, e := range mod.seen {
			for _, n := range e.(scheduler.EndpointUpdate).Servers {
				ids[n.ID] = true
			}
		}
		mod.seen = nil
	}
	if n := c.ServerCount(); n != 0 || len(ids) != 1000 {
		t.Errorf("%d nodes are still known; %d ids", n, len(ids))
	}
}

// TestAListOfDoubles: hundreds of entries, every node named twice: the later entry counts, also for what holds the
// earlier one, and nothing is kept of any once they are gone.
func TestAListOfDoubles(t *testing.T) {
	const names = 200
	mod := &script{}
	c := lifecycle.New(lifecycle.Options{Scheduler: mod, Environment: &quiet{}})
	list := func(states ...scheduler.ServerState) (l lifecycle.EndpointUpdate) {
		for _, s := range states {
			for i := range names {
				l.Servers = append(l.Servers, &lifecycle.Server{Name: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Shard: i, State: s})
			}
		}
		return l
	}
	l := list(scheduler.Ready, scheduler.Draining)
	c.UpdateEndpoints(l)
	c.Step(0)
	if c.ServerCount() != names {
		t.Errorf("%d nodes known, want %d", c.ServerCount(), names)
	}
	for i, n := range l.Servers {
		if !n.Closed() {
			t.Fatalf("entry %d of a node that drains by a later one is open", i)
		}
	}
	last := map[scheduler.ServerID]scheduler.ServerState{}
	for _, n := range mod.seen[0].(scheduler.EndpointUpdate).Servers {
		last[n.ID] = n.State
	}
	if len(last) != names {
		t.Errorf("the module was told of %d nodes", len(last))
	}
	for id, s := range last {
		if s != scheduler.Draining {
			t.Errorf("node %d is told last as %v", id, s)
		}
	}
	c.UpdateEndpoints(list(scheduler.Removed, scheduler.Removed))
	c.Step(0)
	if c.ServerCount() != 0 {
		t.Errorf("%d nodes known, and all are gone", c.ServerCount())
	}
}

// An attempt begins before the module's time for it.
func TestAttemptsHaveTheModulesTimeToBegin(t *testing.T) {
	mod, car := &script{}, &carrier{}
	c := lifecycle.New(lifecycle.Options{Scheduler: mod, Environment: &quiet{}})
	c.UpdateEndpoints(nodes(scheduler.Ready))
	c.Step(0)
	c.Submit(0, &lifecycle.Request{RemainingMs: 1000, Upstream: car, Respond: func(lifecycle.Response) {}})
	mod.actions = []scheduler.Action{scheduler.Send{ID: 1, Server: 1}, scheduler.Send{ID: 1, Server: 1, StartDeadline: 700 * time.Millisecond}}
	c.Step(1)
	if len(car.started) != 2 || car.started[0].Expired(999) || !car.started[0].Expired(999.1) || car.started[1].Expired(699.9) || !car.started[1].Expired(700) {
		t.Errorf("%d started: %+v", len(car.started), car.started)
	}
}
