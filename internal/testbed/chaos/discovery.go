package chaos

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	emptyLineEvery = 2 * time.Second
	callGivenUp    = 2 * time.Second // discovery refuses a call that has waited so long
	callCost       = 3 * time.Millisecond
)

// change is one change of the list; its version is its place in the list of changes, from 1.
type change struct {
	server *server
	state  string
	at     time.Time
}

// delivery is an answer, or a piece of a watch, that was written to a gateway.
type delivery struct {
	at      time.Time
	version int // all changes up to this one have been written
}

// span is a time; a zero end is still to come.
type span struct{ from, to time.Time }

// covers tells whether a moment is inside the span.
func (s span) covers(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// overlaps tells whether any moment between two is inside the span.
func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// outage is how discovery fails while it is down.
type outage uint8

const (
	refusing  outage = iota // answers 503
	resetting               // resets each connection
)

// discovery fakes the service that lists the servers. All gateways share it, each at an address of its own, so that it
// knows who calls.
type discovery struct {
	push bool

	mu         sync.Mutex
	turn       chan struct{} // calls are handled one at a time
	cost       time.Duration // of a call
	down       bool
	how        outage
	up         []span // spans in which it was up; the last is open while it is
	changes    []change
	kick       chan struct{} // closed when something changes
	deliveries [][]delivery  // by gateway
	silences   [][]span
	open       []map[int]*watch // by gateway
	nextWatch  int
	servers    []*http.Server
	addrs      [][2]string // by gateway: two addresses, between which it is moved
}

// watch is an open watch.
type watch struct {
	end    chan struct{}
	silent time.Time // since when it says nothing, until it ends; zero: it speaks
}

func newDiscovery(gateways int, push bool) (*discovery, error) {
	d := &discovery{push: push, turn: make(chan struct{}, 1), cost: callCost, kick: make(chan struct{}),
		up: []span{{from: time.Now()}}, deliveries: make([][]delivery, gateways), silences: make([][]span, gateways)}
	for g := range gateways {
		d.open = append(d.open, map[int]*watch{})
		var addrs [2]string
		for i := range addrs {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return d, err
			}
			addrs[i] = ln.Addr().String()
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(g, w, r) })}
			d.servers = append(d.servers, s)
			go s.Serve(ln)
		}
		d.addrs = append(d.addrs, addrs)
	}
	return d, nil
}

func (d *discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
}

// publish adds changes to the list.
func (d *discovery) publish(changes ...change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		c.at = time.Now()
		d.changes = append(d.changes, c)
	}
	d.wake()
}

// wake lets all watches look again. d.mu is held.
func (d *discovery) wake() {
	close(d.kick)
	d.kick = make(chan struct{})
}

// setDown begins or ends an outage. Watches end as it begins.
func (d *discovery) setDown(down bool, how outage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down == down {
		return
	}
	d.down, d.how = down, how
	if down {
		d.up[len(d.up)-1].to = time.Now()
		d.endWatches(func(int) bool { return true })
		return
	}
	d.up = append(d.up, span{from: time.Now()})
}

// setCost sets what a call costs.
func (d *discovery) setCost(cost time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cost = cost
}

// setSilent makes the open watches of some gateways say nothing any more. Watches opened later speak.
func (d *discovery) setSilent(of func(gateway int) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for g, watches := range d.open {
		for _, w := range watches {
			if of(g) && w.silent.IsZero() {
				w.silent = time.Now()
			}
		}
	}
}

// resetWatches ends the open watches of some gateways.
func (d *discovery) resetWatches(of func(gateway int) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endWatches(of)
}

func (d *discovery) endWatches(of func(gateway int) bool) {
	for g, watches := range d.open {
		for id, w := range watches {
			if of(g) {
				close(w.end)
				delete(watches, id)
			}
		}
	}
}

// list is the whole list as of so many changes.
func (d *discovery) list(upTo int) map[string]any {
	last := map[string]map[string]any{}
	for _, c := range d.changes[:upTo] {
		if c.state == "Gone" {
			delete(last, c.server.name)
		} else {
			last[c.server.name] = c.entry()
		}
	}
	servers := []any{}
	for _, e := range last {
		servers = append(servers, e)
	}
	return map[string]any{"version": upTo, "full": true, "servers": servers}
}

// known is the list as a gateway may have it from before its start.
func (d *discovery) known() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(len(d.changes))
}

func (c change) entry() map[string]any {
	started := 0.0
	if !c.server.started.IsZero() {
		started = float64(c.server.started.UnixMilli())
	}
	return map[string]any{"id": c.server.name, "addr": c.server.addr, "zone": "a", "kind": "k", "cell": c.server.shard,
		"state": c.state, "weight": 1.0, "started_ms": started}
}

// takeTurn waits for the call's turn and lets its cost pass. False: it has waited too long.
func (d *discovery) takeTurn(r *http.Request) bool {
	select {
	case d.turn <- struct{}{}:
	case <-time.After(callGivenUp):
		return false
	case <-r.Context().Done():
		return false
	}
	d.mu.Lock()
	cost := d.cost
	d.mu.Unlock()
	time.Sleep(cost)
	<-d.turn
	return true
}

// isDown answers a call as an outage does, and tells whether there is one.
func (d *discovery) isDown(w http.ResponseWriter) bool {
	d.mu.Lock()
	down, how := d.down, d.how
	d.mu.Unlock()
	if !down {
		return false
	}
	if how == resetting {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "down", http.StatusServiceUnavailable)
	return true
}

// serve handles one call of a gateway: its watch.
func (d *discovery) serve(g int, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	if d.isDown(w) {
		return
	}
	if !d.push && !d.takeTurn(r) {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		d.isDown(w)
		return
	}
	d.nextWatch++
	id, own := d.nextWatch, &watch{end: make(chan struct{})}
	d.open[g][id] = own
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.open[g], id)
		d.mu.Unlock()
	}()
	for first := true; ; first = false {
		line, kick, speaks := d.piece(g, own, &after, first)
		if !speaks {
			d.beSilent(g, own, r)
		}
		if _, err := w.Write(line); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-kick:
		case <-time.After(emptyLineEvery):
		case <-own.end:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// piece is the next line of a watch, and what tells of more. A silent watch has none.
func (d *discovery) piece(g int, own *watch, after *int, first bool) (line []byte, kick <-chan struct{}, speaks bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !own.silent.IsZero() {
		return nil, nil, false
	}
	var out map[string]any
	switch {
	case first && (*after == 0 || *after > len(d.changes)):
		out = d.list(len(d.changes))
	case *after < len(d.changes):
		entries := []any{}
		for _, c := range d.changes[*after:] {
			entries = append(entries, c.entry())
		}
		out = map[string]any{"version": len(d.changes), "full": false, "servers": entries}
	}
	*after = len(d.changes)
	if out != nil {
		line, _ = json.Marshal(out)
	}
	d.deliveries[g] = append(d.deliveries[g], delivery{time.Now(), len(d.changes)})
	return append(line, '\n'), d.kick, true
}

// beSilent keeps a silent watch open until it is ended by anyone, and notes for how long.
func (d *discovery) beSilent(g int, own *watch, r *http.Request) {
	select {
	case <-own.end:
	case <-r.Context().Done():
	}
	d.mu.Lock()
	d.silences[g] = append(d.silences[g], span{own.silent, time.Now()})
	d.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// notified is when a gateway that has run since a time counts as told of the change at a place of the list. The zero
// time: never.
func (d *discovery) notified(g int, since time.Time, place int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.changes[place]
	from := later(c.at, since)
	var told time.Time
	note := func(at time.Time) {
		if told.IsZero() || at.Before(told) {
			told = at
		}
	}
	for _, x := range d.deliveries[g] {
		if x.version > place && !x.at.Before(since) {
			note(x.at)
			break
		}
	}
	missed := false
	for _, s := range d.silences[g] { // what a silent watch misses
		if s.covers(c.at) && s.from.After(since) {
			missed = true
			note(later(c.at, s.from.Add(notifyWithin)))
		}
	}
	within := notifyWithin
	if d.push && !missed {
		within = 0 // the agent is on the gateway's machine: what it has counts as told
	}
	for _, up := range d.up { // it had the change, and could be reached for so long
		if due := later(from, up.from).Add(within); up.to.IsZero() || !due.After(up.to) {
			note(due)
		}
	}
	return told
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
