package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func live(name string, started float64) Entry {
	return Entry{Name: name, Live: true, StartedMs: started}
}
func closed(name string, started float64) Entry {
	return Entry{Name: name, StartedMs: started}
}

func TestNewsThatFallBack(t *testing.T) {
	l := New(News{Version: 41, Whole: true, Entries: []Entry{live("a", 0), live("b", 0), closed("c", 5)}})
	for i, c := range []struct {
		atMs float64
		news News
		want string
	}{
		{1, News{Version: 42, Entries: []Entry{closed("a", 0)}}, "take [0]"},
		// An agent that has died comes back with nothing, then with an older list: nothing is emptied or opened.
		{2, News{Version: 0, Whole: true}, "take []"},
		{3, News{Version: 40, Whole: true, Entries: []Entry{live("a", 0), live("b", 0), live("gone", 0)}}, "take []"},
		{4, News{Version: 40, Entries: []Entry{closed("b", 0), closed("c", 4), live("c", 4)}}, "take [0]"},
		{5, News{Version: 40, Entries: []Entry{live("b", 0), live("c", 6)}}, "take [1]"},
		// It catches up, and falls back again.
		{6, News{Version: 42, Entries: []Entry{live("b", 0)}}, "take [0]"},
		{7, News{Version: 3, Entries: []Entry{live("x", 0)}}, "take []"},
		{6 + FallenMs, News{Version: 4}, "take []"},
		{7 + FallenMs, News{Version: 5, Entries: []Entry{live("x", 0)}}, "anew"},
		{8 + FallenMs, News{Version: 5, Whole: true, Entries: []Entry{live("x", 0), live("a", 0)}}, "take [0 1] of all"},
	} {
		d := l.Take(c.atMs, c.news)
		got := fmt.Sprintf("take %v", d.Take)
		if d.Whole {
			got += " of all"
		}
		if d.Anew {
			got = "anew"
		}
		if got != c.want {
			t.Errorf("%d: %+v: %s, want %s", i, c.news, got, c.want)
		}
	}
	l.Reset()
	if d := l.Take(9+FallenMs, News{Version: 1, Whole: true, Entries: []Entry{live("a", 0)}}); !d.Whole || len(d.Take) != 1 {
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

func (m *model) take(n News, d Decision) error {
	if d.Whole && n.Version < m.version {
		return fmt.Errorf("an older list counts as all nodes")
	}
	if n.Version >= m.version {
		if d.Anew || len(d.Take) != len(n.Entries) || d.Whole != n.Whole {
			return fmt.Errorf("news in order do not count in full: %+v", d)
		}
		m.version = n.Version
		if d.Whole {
			clear(m.open)
			clear(m.shut)
		}
	}
	for _, i := range d.Take {
		e := n.Entries[i]
		if older := n.Version < m.version; older && e.Live {
			if at, ok := m.shut[e.Name]; !ok && m.open[e.Name] == 0 || ok && e.StartedMs <= at {
				return fmt.Errorf("opened by older news: %+v", e)
			}
		}
		delete(m.open, e.Name)
		delete(m.shut, e.Name)
		if e.Live {
			m.open[e.Name] = e.StartedMs
		} else if !e.Gone {
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
		l, m, now := New(News{}), &model{open: map[string]float64{}, shut: map[string]float64{}}, 0.0
		version := uint64(10)
		for range 300 {
			now += rnd.Float64() * 1000
			switch rnd.IntN(8) {
			case 0:
				version -= min(version, uint64(rnd.IntN(12)))
			case 1, 2, 3:
				version += uint64(rnd.IntN(3))
			}
			n := News{Version: version, Whole: rnd.IntN(4) == 0}
			for range rnd.IntN(4) {
				n.Entries = append(n.Entries, Entry{Name: fmt.Sprint(rnd.IntN(4)), StartedMs: 1 + float64(rnd.IntN(3))})
				e := &n.Entries[len(n.Entries)-1]
				e.Live = rnd.IntN(2) == 0
				e.Gone = !e.Live && rnd.IntN(2) == 0
			}
			d := l.Take(now, n)
			if d.Anew {
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
