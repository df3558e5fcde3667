package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// ready returns the entry of a ready server.
func ready(name string, startedMs float64) Endpoint {
	return Endpoint{Name: name, Ready: true, StartedMs: startedMs}
}

// draining returns the entry of a draining server.
func draining(name string, startedMs float64) Endpoint {
	return Endpoint{Name: name, StartedMs: startedMs}
}

// describe returns a decision as text.
func describe(decision Decision) string {
	switch {
	case decision.Resync:
		return "resync"
	case decision.Snapshot:
		return fmt.Sprintf("snapshot %v", decision.Accepted)
	}
	return fmt.Sprintf("delta %v", decision.Accepted)
}

// TestVersionRegression applies a sequence of updates to one tracker. Each step depends on the previous ones. An update with an
// older version must neither remove a server that it does not list, nor make a draining server ready unless it has restarted.
func TestVersionRegression(t *testing.T) {
	tracker := NewTracker(Update{Version: 41, Snapshot: true,
		Endpoints: []Endpoint{ready("a", 0), ready("b", 0), draining("c", 5)}})
	for i, step := range []struct {
		atMs   float64
		update Update
		want   string
	}{
		{1, Update{Version: 42, Endpoints: []Endpoint{draining("a", 0)}}, "delta [0]"},
		// The discovery agent restarts and serves an empty list, then one that is older than version 42. Neither may remove all
		// servers, or make a draining server ready that has not restarted.
		{2, Update{Version: 0, Snapshot: true}, "delta []"},
		{3, Update{Version: 40, Snapshot: true, Endpoints: []Endpoint{ready("a", 0), ready("b", 0), ready("gone", 0)}}, "delta []"},
		{4, Update{Version: 40, Endpoints: []Endpoint{draining("b", 0), draining("c", 4), ready("c", 4)}}, "delta [0]"},
		{5, Update{Version: 40, Endpoints: []Endpoint{ready("b", 0), ready("c", 6)}}, "delta [1]"},
		// The agent catches up, then serves older versions. After RegressionTimeoutMs the tracker concludes that the
		// source numbers its versions anew, and demands a snapshot.
		{6, Update{Version: 42, Endpoints: []Endpoint{ready("b", 0)}}, "delta [0]"},
		{7, Update{Version: 3, Endpoints: []Endpoint{ready("x", 0)}}, "delta []"},
		{6 + RegressionTimeoutMs, Update{Version: 4}, "delta []"},
		{7 + RegressionTimeoutMs, Update{Version: 5, Endpoints: []Endpoint{ready("x", 0)}}, "resync"},
		{8 + RegressionTimeoutMs, Update{Version: 5, Snapshot: true, Endpoints: []Endpoint{ready("x", 0), ready("a", 0)}}, "snapshot [0 1]"},
	} {
		if got := describe(tracker.Apply(step.atMs, step.update)); got != step.want {
			t.Errorf("step %d: the decision on %+v is %s, want %s", i, step.update, got, step.want)
		}
	}
	tracker.Reset()
	first := Update{Version: 1, Snapshot: true, Endpoints: []Endpoint{ready("a", 0)}}
	if decision := tracker.Apply(9+RegressionTimeoutMs, first); !decision.Snapshot || len(decision.Accepted) != 1 {
		t.Errorf("the decision on the first snapshot of another source is %+v, want all of it accepted as a snapshot", decision)
	}
}

// referenceModel records every accepted endpoint and checks the decisions: a ready endpoint of an older update may be accepted only
// if its server is ready already or has started again since it was reported as draining.
type referenceModel struct {
	version uint64
	ready   map[string]float64 // start times of the ready servers, by name
	closed  map[string]float64 // start times of the draining servers, by name
}

// newReferenceModel returns a model without endpoints.
func newReferenceModel() *referenceModel {
	return &referenceModel{ready: map[string]float64{}, closed: map[string]float64{}}
}

// apply checks a decision and records the endpoints that it accepts.
func (m *referenceModel) apply(update Update, decision Decision) error {
	if decision.Snapshot && update.Version < m.version {
		return fmt.Errorf("an outdated update is applied as a snapshot")
	}
	if update.Version >= m.version {
		if decision.Resync || len(decision.Accepted) != len(update.Endpoints) || decision.Snapshot != update.Snapshot {
			return fmt.Errorf("an update that is not outdated is not applied in full: %+v", decision)
		}
		m.version = update.Version
		if decision.Snapshot {
			clear(m.ready)
			clear(m.closed)
		}
	}
	for _, i := range decision.Accepted {
		endpoint := update.Endpoints[i]
		if update.Version < m.version && endpoint.Ready {
			closedStart, closed := m.closed[endpoint.Name]
			if !closed && m.ready[endpoint.Name] == 0 || closed && endpoint.StartedMs <= closedStart {
				return fmt.Errorf("an outdated update makes ready a server that is unknown or has not restarted: %+v", endpoint)
			}
		}
		m.record(endpoint)
	}
	return nil
}

// record records an accepted endpoint.
func (m *referenceModel) record(endpoint Endpoint) {
	delete(m.ready, endpoint.Name)
	delete(m.closed, endpoint.Name)
	if endpoint.Ready {
		m.ready[endpoint.Name] = endpoint.StartedMs
	} else if !endpoint.Removed {
		m.closed[endpoint.Name] = endpoint.StartedMs
	}
}

// randomUpdate returns a random update with at most three endpoints, whose names are drawn from four.
func randomUpdate(random *rand.Rand, version uint64) Update {
	update := Update{Version: version, Snapshot: random.IntN(4) == 0}
	for range random.IntN(4) {
		endpoint := Endpoint{Name: fmt.Sprint(random.IntN(4)), StartedMs: 1 + float64(random.IntN(3))}
		endpoint.Ready = random.IntN(2) == 0
		endpoint.Removed = !endpoint.Ready && random.IntN(2) == 0
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update
}

// FuzzTracker checks the decisions on random updates, whose versions go forwards and backwards, against the referenceModel.
func FuzzTracker(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		tracker, model, nowMs := NewTracker(Update{}), newReferenceModel(), 0.0
		version := uint64(10)
		for range 300 {
			nowMs += random.Float64() * 1000
			switch random.IntN(8) {
			case 0:
				version -= min(version, uint64(random.IntN(12)))
			case 1, 2, 3:
				version += uint64(random.IntN(3))
			}
			update := randomUpdate(random, version)
			decision := tracker.Apply(nowMs, update)
			if decision.Resync {
				model.version = 0
				continue
			}
			if err := model.apply(update, decision); err != nil {
				t.Fatal(err)
			}
			if len(tracker.startedMs) > len(model.ready)+len(model.closed) {
				t.Fatalf("%d servers are kept, want at most %d", len(tracker.startedMs), len(model.ready)+len(model.closed))
			}
		}
	})
}
