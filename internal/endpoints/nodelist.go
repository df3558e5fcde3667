// Package nodelist decides which news of the node list counts. It is pure: the caller brings the time.
//
// Update of one watch come in order, and none is missing. Between two watches that does not hold: an agent that died
// comes back with an older list, or with none, and a service that was set up anew counts its versions from the
// beginning. Taken at its word, the first would send requests to nodes of which this gateway has been told that they
// drain or are gone, and the second would empty the list.
package endpoints

// RegressionTimeoutMs is how long news may stay behind the version held before its numbering counts as a new one. Whatever the
// service has to tell counts as told within 6 s: by then an older list has caught up, or there is nothing to catch up
// with.
const RegressionTimeoutMs = 6000

// Endpoint is what news says of a node.
type Endpoint struct {
	Name      string
	Ready     bool // requests may be sent to it
	Removed   bool
	StartedMs float64 // when it last started; 0: long ago
}

// Update is one object of the service.
type Update struct {
	Version   uint64
	Snapshot  bool // all nodes; otherwise the changed ones
	Endpoints []Endpoint
}

// Decision tells what of the news counts.
type Decision struct {
	Snapshot bool  // the entries are all nodes there are
	Accepted []int // the entries that count, by their place in the news
	// Resync tells that the numbering has begun anew: the news count for nothing, and the whole list is to be asked for
	// as by one who has none.
	Resync bool
}

type node struct {
	live      bool
	startedMs float64
}

// Tracker is what has been told so far. Its size is that of the node list.
type Tracker struct {
	version  uint64
	nodes    map[string]node
	behind   bool
	behindMs float64 // since when
}

// NewTracker returns a list that holds what was known before the start.
func NewTracker(known Update) *Tracker {
	l := &Tracker{nodes: map[string]node{}}
	l.Apply(0, known)
	return l
}

// Reset forgets the version, not the nodes: the news to come is another service's. Its first whole list counts.
func (l *Tracker) Reset() { l.version, l.behind = 0, false }

// Accepted decides on news. nowMs never runs backwards.
//
// While news is behind the version held it may close nodes, unless it speaks of an earlier start; it opens only what
// has started since, and empties nothing.
func (l *Tracker) Apply(nowMs float64, n Update) (d Decision) {
	if n.Version >= l.version {
		l.version, l.behind = n.Version, false
		d.Snapshot = n.Snapshot
		if n.Snapshot {
			clear(l.nodes)
		}
		for i, e := range n.Endpoints {
			d.Accepted = append(d.Accepted, i)
			l.put(e)
		}
		return d
	}
	if !l.behind {
		l.behind, l.behindMs = true, nowMs
	}
	if nowMs-l.behindMs >= RegressionTimeoutMs {
		l.Reset()
		return Decision{Resync: true}
	}
	for i, e := range n.Endpoints {
		held, known := l.nodes[e.Name]
		if !known || e.StartedMs < held.startedMs || e.Ready && e.StartedMs == held.startedMs {
			continue
		}
		d.Accepted = append(d.Accepted, i)
		l.put(e)
	}
	return d
}

func (l *Tracker) put(e Endpoint) {
	if e.Removed {
		delete(l.nodes, e.Name)
		return
	}
	l.nodes[e.Name] = node{e.Ready, e.StartedMs}
}
