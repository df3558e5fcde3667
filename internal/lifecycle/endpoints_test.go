package lifecycle_test

import (
	"fmt"
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// An upstream that holds an attempt back must see that its server has drained, moved or been removed.
func TestServerIsClosedByUpdates(t *testing.T) {
	for name, change := range map[string]lifecycle.EndpointUpdate{
		"draining": snapshot(scheduler.Draining),
		"removed":  snapshot(scheduler.Removed),
		"missing":  {Kind: scheduler.Snapshot},
		"moved":    {Kind: scheduler.Delta, Servers: []*lifecycle.Server{{Name: "a", Addr: "127.0.0.1:2"}}},
	} {
		t.Run(name, func(t *testing.T) {
			manager := newManager(&scriptedScheduler{})
			first := snapshot(scheduler.Ready)
			manager.UpdateEndpoints(first)
			if first.Servers[0].Closed() {
				t.Error("closed from the start")
			}
			manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.WatchFailed})
			manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Delta})
			if first.Servers[0].Closed() {
				t.Error("closed by a failed watch or an empty delta")
			}
			if manager.UpdateEndpoints(change); !first.Servers[0].Closed() {
				t.Error("not closed")
			}
		})
	}
}

// An attempt may hold an entry that a later one has replaced: a drain closes both. A server that comes back does not open the
// entries of the earlier process.
func TestReplacedEntryClosesWithItsServer(t *testing.T) {
	manager := newManager(&scriptedScheduler{})
	var entries []*lifecycle.Server
	for _, state := range []scheduler.ServerState{scheduler.Ready, scheduler.Ready, scheduler.Draining, scheduler.Ready} {
		update := snapshot(state)
		update.Kind = scheduler.Delta
		manager.UpdateEndpoints(update)
		entries = append(entries, update.Servers[0])
	}
	for i, want := range []bool{true, true, true, false} {
		if entries[i].Closed() != want {
			t.Errorf("entry %d: closed is %v", i, !want)
		}
	}
}

// A gateway is ready once it has a list that can be used: a cached one may be empty, and a watch may fail.
func TestReady(t *testing.T) {
	manager := newManager(&scriptedScheduler{})
	for _, update := range []lifecycle.EndpointUpdate{{Kind: scheduler.CachedSnapshot}, {Kind: scheduler.WatchFailed}} {
		if manager.UpdateEndpoints(update); manager.Ready() {
			t.Errorf("ready by %+v", update)
		}
	}
	if manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}); !manager.Ready() {
		t.Error("not ready though discovery has responded")
	}
	manager = newManager(&scriptedScheduler{})
	cached := snapshot(scheduler.Ready)
	cached.Kind = scheduler.CachedSnapshot
	if manager.UpdateEndpoints(cached); !manager.Ready() {
		t.Error("not ready with a cached server")
	}
}

// Servers come and go under ever new names: the state does not grow, and no id is used twice.
func TestRemovedServersAreForgotten(t *testing.T) {
	decisions := &scriptedScheduler{}
	manager := newManager(decisions)
	ids := map[scheduler.ServerID]bool{}
	for i := range 1000 {
		name := fmt.Sprint("s-", i)
		manager.UpdateEndpoints(lifecycle.EndpointUpdate{Servers: []*lifecycle.Server{{Name: name, Addr: "127.0.0.1:1"}}})
		removal := lifecycle.EndpointUpdate{Servers: []*lifecycle.Server{
			{Name: name, State: scheduler.Removed},
			{Name: "unknown", State: scheduler.Removed},
		}}
		if i%2 == 1 { // or the next snapshot lacks it
			removal = lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}
		}
		manager.UpdateEndpoints(removal)
		manager.Step(float64(i))
		for _, event := range decisions.events {
			for _, server := range event.(scheduler.EndpointUpdate).Servers {
				ids[server.ID] = true
			}
		}
		decisions.events = nil
	}
	if count := manager.ServerCount(); count != 0 || len(ids) != 1000 {
		t.Errorf("%d servers are left; %d ids", count, len(ids))
	}
}

// repeatedDelta returns a delta that lists servers s-0, s-1, ... once for each state.
func repeatedDelta(names int, states ...scheduler.ServerState) (update lifecycle.EndpointUpdate) {
	for _, state := range states {
		for i := range names {
			update.Servers = append(update.Servers,
				&lifecycle.Server{Name: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Shard: i, State: state})
		}
	}
	return update
}

// An update may list a server twice: the later entry counts, also for what holds the earlier one, and nothing is left of either
// once the server is removed.
func TestUpdateWithDuplicateEntries(t *testing.T) {
	const names = 200
	decisions := &scriptedScheduler{}
	manager := newManager(decisions)
	update := repeatedDelta(names, scheduler.Ready, scheduler.Draining)
	manager.UpdateEndpoints(update)
	manager.Step(0)
	if manager.ServerCount() != names {
		t.Errorf("%d servers, want %d", manager.ServerCount(), names)
	}
	for i, server := range update.Servers {
		if !server.Closed() {
			t.Fatalf("entry %d of a server that drains by a later one is open", i)
		}
	}
	lastStates := map[scheduler.ServerID]scheduler.ServerState{}
	for _, server := range decisions.events[0].(scheduler.EndpointUpdate).Servers {
		lastStates[server.ID] = server.State
	}
	if len(lastStates) != names {
		t.Errorf("the scheduler got %d servers", len(lastStates))
	}
	for id, state := range lastStates {
		if state != scheduler.Draining {
			t.Errorf("the last state of server %d is %v", id, state)
		}
	}
	manager.UpdateEndpoints(repeatedDelta(names, scheduler.Removed, scheduler.Removed))
	manager.Step(0)
	if manager.ServerCount() != 0 {
		t.Errorf("%d servers, and all are removed", manager.ServerCount())
	}
}
