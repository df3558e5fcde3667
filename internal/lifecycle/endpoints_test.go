package lifecycle_test

import (
	"fmt"
	"testing"
	"time"

	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// TestSilentWatchKeepsLease guards against a list that stays in use because discovery refuses calls, although a silent watch has missed
// changes before. After a watch that was not silent, such calls renew the lease.
func TestSilentWatchKeepsLease(t *testing.T) {
	const lastMessageMs, failedCallMs, leaseMs = 1000, 4000, 6000
	for name, c := range map[string]struct {
		end     lifecycle.EndpointUpdate
		failure lifecycle.CallFailure
		wantMs  float64
	}{
		"healthy, then rejected":    {lifecycle.EndpointUpdate{Kind: scheduler.WatchClosed}, lifecycle.CallRejected, failedCallMs + leaseMs},
		"silent, then rejected":     {lifecycle.EndpointUpdate{Kind: scheduler.WatchClosed, Failure: lifecycle.WatchSilent}, lifecycle.CallRejected, lastMessageMs + leaseMs},
		"silent, then unreachable":  {lifecycle.EndpointUpdate{Kind: scheduler.WatchClosed, Failure: lifecycle.WatchSilent}, lifecycle.CallUnreachable, lastMessageMs + leaseMs},
		"idle, then rejected":       {lifecycle.EndpointUpdate{Kind: scheduler.WatchIdle, Failure: lifecycle.WatchSilent}, lifecycle.CallRejected, lastMessageMs + leaseMs},
		"idle, then without result": {lifecycle.EndpointUpdate{Kind: scheduler.WatchIdle, Failure: lifecycle.WatchSilent}, lifecycle.CallInconclusive, lastMessageMs + leaseMs},
	} {
		t.Run(name, func(t *testing.T) {
			fakeScheduler := &scriptedScheduler{}
			lease := endpointlease.New(endpointlease.Settings{MaxNotificationDelayMs: leaseMs}, 0)
			manager := lifecycle.New(lifecycle.Options{Scheduler: fakeScheduler, Environment: fakeEnvironment{}, EndpointLease: lease})
			list := snapshot(scheduler.Ready)
			list.CompleteAsOfMs = lastMessageMs
			manager.UpdateEndpoints(list)
			manager.UpdateEndpoints(c.end)
			manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.WatchFailed, CompleteAsOfMs: failedCallMs, Failure: c.failure})
			manager.Step(failedCallMs)
			last := fakeScheduler.events[len(fakeScheduler.events)-1].(scheduler.EndpointUpdate)
			if want := time.Duration(c.wantMs) * time.Millisecond; last.ValidUntil != want {
				t.Errorf("the list is valid until %v, want %v", last.ValidUntil, want)
			}
		})
	}
}

// An upstream that has not sent an attempt yet must find out that the server is draining, has moved or was removed.
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
				t.Error("the entry of a ready server is closed, want open")
			}
			manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.WatchFailed})
			manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Delta})
			if first.Servers[0].Closed() {
				t.Error("the entry of a ready server is closed after a failed watch and an empty delta, want open")
			}
			if manager.UpdateEndpoints(change); !first.Servers[0].Closed() {
				t.Error("the entry of the server is open after the update, want closed")
			}
		})
	}
}

// An attempt may hold an entry that a later entry has replaced. A drain closes both entries, and a server that becomes ready again
// does not reopen them, because they refer to its earlier process.
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
			t.Errorf("entry %d: Closed() = %v, want the opposite", i, !want)
		}
	}
}

// A gateway is ready once it has a usable endpoint list. An empty cached snapshot or a failed watch does not provide one.
func TestReady(t *testing.T) {
	manager := newManager(&scriptedScheduler{})
	for _, update := range []lifecycle.EndpointUpdate{{Kind: scheduler.CachedSnapshot}, {Kind: scheduler.WatchFailed}} {
		if manager.UpdateEndpoints(update); manager.Ready() {
			t.Errorf("the gateway is ready after the update %+v", update)
		}
	}
	if manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}); !manager.Ready() {
		t.Error("the gateway is not ready after a snapshot from discovery")
	}
	manager = newManager(&scriptedScheduler{})
	cached := snapshot(scheduler.Ready)
	cached.Kind = scheduler.CachedSnapshot
	if manager.UpdateEndpoints(cached); !manager.Ready() {
		t.Error("the gateway is not ready after a cached snapshot with a server")
	}
}

// Servers are replaced again and again by servers with new names. The Manager must delete the state of each removed server, or
// its memory would grow without bound. No id may be used twice.
func TestRemovedServersAreDeleted(t *testing.T) {
	fakeScheduler := &scriptedScheduler{}
	manager := newManager(fakeScheduler)
	ids := map[scheduler.ServerID]bool{}
	for i := range 1000 {
		name := fmt.Sprint("s-", i)
		manager.UpdateEndpoints(lifecycle.EndpointUpdate{Servers: []*lifecycle.Server{{Name: name, Addr: "127.0.0.1:1"}}})
		removal := lifecycle.EndpointUpdate{Servers: []*lifecycle.Server{
			{Name: name, State: scheduler.Removed},
			{Name: "unknown", State: scheduler.Removed},
		}}
		if i%2 == 1 { // every other server is removed by a snapshot that does not list it
			removal = lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}
		}
		manager.UpdateEndpoints(removal)
		manager.Step(float64(i))
		for _, event := range fakeScheduler.events {
			for _, server := range event.(scheduler.EndpointUpdate).Servers {
				ids[server.ID] = true
			}
		}
		fakeScheduler.events = nil
	}
	if count := manager.ServerCount(); count != 0 || len(ids) != 1000 {
		t.Errorf("%d servers are left, want none; %d ids were used, want 1000", count, len(ids))
	}
}

// repeatedDelta returns a delta that lists the servers s-0, s-1, ... once for each of the given states.
func repeatedDelta(serverCount int, states ...scheduler.ServerState) (update lifecycle.EndpointUpdate) {
	for _, state := range states {
		for i := range serverCount {
			update.Servers = append(update.Servers,
				&lifecycle.Server{Name: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Shard: i, State: state})
		}
	}
	return update
}

// An update may list a server twice. The later entry determines the state of the server, also for holders of the earlier entry,
// and no state is left once the server is removed.
func TestUpdateWithDuplicateEntries(t *testing.T) {
	const serverCount = 200
	fakeScheduler := &scriptedScheduler{}
	manager := newManager(fakeScheduler)
	update := repeatedDelta(serverCount, scheduler.Ready, scheduler.Draining)
	manager.UpdateEndpoints(update)
	manager.Step(0)
	if manager.ServerCount() != serverCount {
		t.Errorf("%d servers are listed, want %d", manager.ServerCount(), serverCount)
	}
	for i, server := range update.Servers {
		if !server.Closed() {
			t.Fatalf("entry %d is open, although the later entry of its server is draining", i)
		}
	}
	lastStates := map[scheduler.ServerID]scheduler.ServerState{}
	for _, server := range fakeScheduler.events[0].(scheduler.EndpointUpdate).Servers {
		lastStates[server.ID] = server.State
	}
	if len(lastStates) != serverCount {
		t.Errorf("the scheduler got %d different servers, want all 200", len(lastStates))
	}
	for id, state := range lastStates {
		if state != scheduler.Draining {
			t.Errorf("the last state of server %d is %v, want draining", id, state)
		}
	}
	manager.UpdateEndpoints(repeatedDelta(serverCount, scheduler.Removed, scheduler.Removed))
	manager.Step(0)
	if manager.ServerCount() != 0 {
		t.Errorf("%d servers are left after the removal of all, want none", manager.ServerCount())
	}
}
