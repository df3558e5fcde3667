package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func live(name string, started float64) Endpoint {
	return Endpoint{Name: name, Ready: true, StartedMs: started}
}
func closed(name string, started float64) Endpoint {
	return Endpoint{Name: name, StartedMs: started}
}

func TestNewsThatFallBack(t *testing.T) {
	l := NewTracker(Update{Version: 41, Snapshot: true, Endpoints: []Endpoint{live("a", 0), live("b", 0), closed("c", 5)}})
	for i, c := range []struct {
		atMs float64
		news Update
		want string
	}{
		{1, Update{Version: 42, Endpoints: []Endpoint{closed("a", 0)}}, "take [0]"},
		// An agent that has died comes back with nothing, then with an older list: nothing is emptied or opened.
		{2, Update{Version: 0, Snapshot: true}, "take []"},
		{3, Update{Version: 40, Snapshot: true, Endpoints: []Endpoint{live("a", 0), live("b", 0), live("gone", 0)}}, "take []"},
		{4, Update{Version: 40, Endpoints: []Endpoint{closed("b", 0), closed("c", 4), live("c", 4)}}, "take [0]"},
		{5, Update{Version: 40, Endpoints: []Endpoint{live("b", 0), live("c", 6)}}, "take [1]"},
		// It catches up, and falls back again.
		{6, Update{Version: 42, Endpoints: []Endpoint{live("b", 0)}}, "take [0]"},
		{7, Update{Version: 3, Endpoints: []Endpoint{live("x", 0)}}, "take []"},
		{6 + RegressionTimeoutMs, Update{Version: 4}, "take []"},
		{7 + RegressionTimeoutMs, Update{Version: 5, Endpoints: []Endpoint{live("x", 0)}}, "anew"},
		{8 + RegressionTimeoutMs, Update{Version: 5, Snapshot: true, Endpoints: []Endpoint{live("x", 0), live("a", 0)}}, "take [0 1] of all"},
	} {
		d := l.Apply(c.atMs, c.news)
		got := fmt.Sprintf("take %v", d.Accepted)
		if d.Snapshot {
			got += " of all"
		}
		if d.Resync {
			got = "anew"
		}
		if got != c.want {
			t.Errorf("%d: %+v: %s, want %s", i, c.news, got, c.want)
		}
	}
	l.Reset()
	if d := l.Apply(9+RegressionTimeoutMs, Update{Version: 1, Snapshot: true, Endpoints: []Endpoint{live("a", 0)}}); !d.Snapshot || len(d.Accepted) != 1 {
		t.Errorf("another service's list: %+v", d)
	}
}

// model keeps all that was ever told and looks it through: what may be open is what the newest numbered news say, and
// what has started later than any news that closed it.
type model struct {
	version uint64
	open    map[string]float64 // by name: its start
	shut    map[string]float64
}

func (m *model) take(n Update, d Decision) error {
	if d.Snapshot && n.Version < m.version {
		return fmt.Errorf("an older list counts as all nodes")
	}
	if n.Version >= m.version {
		if d.Resync || len(d.Accepted) != len(n.Endpoints) || d.Snapshot != n.Snapshot {
			return fmt.Errorf("news in order do not count in full: %+v", d)
		}
		m.version = n.Version
		if d.Snapshot {
			clear(m.open)
			clear(m.shut)
		}
	}
	for _, i := range d.Accepted {
		e := n.Endpoints[i]
		if older := n.Version < m.version; older && e.Ready {
			if at, ok := m.shut[e.Name]; !ok && m.open[e.Name] == 0 || ok && e.StartedMs <= at {
				return fmt.Errorf("opened by older news: %+v", e)
			}
		}
		delete(m.open, e.Name)
		delete(m.shut, e.Name)
		if e.Ready {
			m.open[e.Name] = e.StartedMs
		} else if !e.Removed {
			m.shut[e.Name] = e.StartedMs
		}
	}
	return nil
}

func FuzzList(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		l, m, now := NewTracker(Update{}), &model{open: map[string]float64{}, shut: map[string]float64{}}, 0.0
		version := uint64(10)
		for range 300 {
			now += rnd.Float64() * 1000
			switch rnd.IntN(8) {
			case 0:
				version -= min(version, uint64(rnd.IntN(12)))
			case 1, 2, 3:
				version += uint64(rnd.IntN(3))
			}
			n := Update{Version: version, Snapshot: rnd.IntN(4) == 0}
			for range rnd.IntN(4) {
				n.Endpoints = append(n.Endpoints, Endpoint{Name: fmt.Sprint(rnd.IntN(4)), StartedMs: 1 + float64(rnd.IntN(3))})
				e := &n.Endpoints[len(n.Endpoints)-1]
				e.Ready = rnd.IntN(2) == 0
				e.Removed = !e.Ready && rnd.IntN(2) == 0
			}
			d := l.Apply(now, n)
			if d.Resync {
				m.version = 0
				continue
			}
			if err := m.take(n, d); err != nil {
				t.Fatal(err)
			}
			if len(l.nodes) > len(m.open)+len(m.shut) {
				t.Fatalf("%d nodes kept, %d told", len(l.nodes), len(m.open)+len(m.shut))
			}
		}
	})
}
