// Package nodelist decides which news of the node list counts. It is pure: the caller brings the time.
//
// News of one watch come in order, and none is missing. Between two watches that does not hold: an agent that died
// comes back with an older list, or with none, and a service that was set up anew counts its versions from the
// beginning. Taken at its word, the first would send requests to nodes of which this gateway has been told that they
// drain or are gone, and the second would empty the list.
package endpoints

// FallenMs is how long news may stay behind the version held before its numbering counts as a new one. Whatever the
// service has to tell counts as told within 6 s: by then an older list has caught up, or there is nothing to catch up
// with.
const FallenMs = 6000

// Entry is what news says of a node.
type Entry struct {
	Name      string
	Live      bool // requests may be sent to it
	Gone      bool
	StartedMs float64 // when it last started; 0: long ago
}

// News is one object of the service.
type News struct {
	Version uint64
	Whole   bool // all nodes; otherwise the changed ones
	Entries []Entry
}

// Decision tells what of the news counts.
type Decision struct {
	Whole bool  // the entries are all nodes there are
	Take  []int // the entries that count, by their place in the news
	// Anew tells that the numbering has begun anew: the news count for nothing, and the whole list is to be asked for
	// as by one who has none.
	Anew bool
}

type node struct {
	live      bool
	startedMs float64
}

// List is what has been told so far. Its size is that of the node list.
type List struct {
	version  uint64
	nodes    map[string]node
	behind   bool
	behindMs float64 // since when
}

// New returns a list that holds what was known before the start.
func New(known News) *List {
	l := &List{nodes: map[string]node{}}
	l.Take(0, known)
	return l
}

// Reset forgets the version, not the nodes: the news to come is another service's. Its first whole list counts.
func (l *List) Reset() { l.version, l.behind = 0, false }

// Take decides on news. nowMs never runs backwards.
//
// While news is behind the version held it may close nodes, unless it speaks of an earlier start; it opens only what
// has started since, and empties nothing.
func (l *List) Take(nowMs float64, n News) (d Decision) {
	if n.Version >= l.version {
		l.version, l.behind = n.Version, false
		d.Whole = n.Whole
		if n.Whole {
			clear(l.nodes)
		}
		for i, e := range n.Entries {
			d.Take = append(d.Take, i)
			l.put(e)
		}
		return d
	}
	if !l.behind {
		l.behind, l.behindMs = true, nowMs
	}
	if nowMs-l.behindMs >= FallenMs {
		l.Reset()
		return Decision{Anew: true}
	}
	for i, e := range n.Entries {
		held, known := l.nodes[e.Name]
		if !known || e.StartedMs < held.startedMs || e.Live && e.StartedMs == held.startedMs {
			continue
		}
		d.Take = append(d.Take, i)
		l.put(e)
	}
	return d
}

func (l *List) put(e Entry) {
	if e.Gone {
		delete(l.nodes, e.Name)
		return
	}
	l.nodes[e.Name] = node{e.Live, e.StartedMs}
}
