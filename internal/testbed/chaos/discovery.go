package chaos

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
	"gaugerelay/internal/testbed/process"
)

// defaultCallTime is how long discovery takes to handle a poll while no fault slows it down. With push discovery, an agent on the
// machine of each gateway pushes the list; the agent responds to a call without this delay.
const defaultCallTime = 3 * time.Millisecond

// change is one change of the endpoint list. The n-th change, counted from 1, creates version n of the list.
type change struct {
	server *server
	state  string // one of process.EndpointReady, EndpointDraining and EndpointRemoved
	at     time.Time
}

// delivery records that a message was sent on a gateway's watch.
type delivery struct {
	at      time.Time
	version int // version of the endpoint list that the gateway has after this message
}

// outageKind is how discovery fails during an outage.
type outageKind uint8

const (
	outageUnavailable outageKind = iota // calls get status 503
	outageReset                         // connections are reset
	outageKindCount
)

var outageKindNames = [outageKindCount]string{"unavailable", "reset"}

func (k outageKind) String() string {
	if k < outageKindCount {
		return outageKindNames[k]
	}
	return fmt.Sprintf("outageKind(%d)", uint8(k))
}

// discovery fakes the service that publishes the endpoint list. All gateways share it, but each gateway calls it at addresses
// that no other gateway uses, so that discovery can tell the gateways apart. It records what was sent to each gateway.
type discovery struct {
	push  bool        // whether each gateway has an agent on its machine that pushes the list, instead of one service that all gateways poll
	addrs [][2]string // for each gateway: its two addresses of discovery; reloads switch the gateway between them

	callSlot chan struct{} // holds a token while a poll is handled, so that polls are handled one at a time
	servers  []*http.Server

	mu          sync.Mutex
	callTime    time.Duration
	down        bool
	outage      outageKind
	upIntervals []process.Interval // intervals without an outage; the last one has no end while discovery is up
	changes     []change
	changed     chan struct{}        // channel that is closed at the next change of the list
	deliveries  [][]delivery         // deliveries by gateway
	silences    [][]process.Interval // for each gateway: intervals in which a watch was silent, added when the watch ends
	openWatches []map[int]*watch     // open watches by gateway and watch ID
	lastWatchID int
}

// newDiscovery starts discovery with an empty endpoint list. On an error, the caller must still close the returned
// discovery.
func newDiscovery(gateways int, push bool) (*discovery, error) {
	d := &discovery{push: push, callSlot: make(chan struct{}, 1), callTime: defaultCallTime, changed: make(chan struct{}),
		upIntervals: []process.Interval{{From: time.Now()}}, deliveries: make([][]delivery, gateways),
		silences: make([][]process.Interval, gateways)}
	for gateway := range gateways {
		d.openWatches = append(d.openWatches, map[int]*watch{})
		var addrs [2]string
		for i := range addrs {
			addr, err := d.listen(gateway)
			if err != nil {
				return d, err
			}
			addrs[i] = addr
		}
		d.addrs = append(d.addrs, addrs)
	}
	return d, nil
}

// listen starts an HTTP server for the calls of one gateway.
func (d *discovery) listen(gateway int) (addr string, err error) {
	s, addr, err := loopback.ServeHTTP(func(w http.ResponseWriter, r *http.Request) { d.serveWatch(gateway, w, r) })
	if err != nil {
		return "", err
	}
	d.servers = append(d.servers, s)
	return addr, nil
}

func (d *discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
}

// publish adds a change to the endpoint list.
func (d *discovery) publish(s *server, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, change{server: s, state: state, at: time.Now()})
	close(d.changed)
	d.changed = make(chan struct{})
}

// beginOutage makes discovery fail and ends the open watches. It does nothing if there is an outage already.
func (d *discovery) beginOutage(kind outageKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return
	}
	d.down, d.outage = true, kind
	d.upIntervals[len(d.upIntervals)-1].To = time.Now()
	for gateway := range d.openWatches {
		d.endWatches(gateway)
	}
}

// endOutage ends the current outage, if there is one.
func (d *discovery) endOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.down {
		return
	}
	d.down = false
	d.upIntervals = append(d.upIntervals, process.Interval{From: time.Now()})
}

// setCallTime sets how long discovery takes to handle a poll.
func (d *discovery) setCallTime(callTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callTime = callTime
}

// silenceWatches makes the open watches of the selected gateways stop sending. Later watches are not affected.
func (d *discovery) silenceWatches(selected []bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for gateway, watches := range d.openWatches {
		for _, w := range watches {
			if selected[gateway] && w.silentSince.IsZero() {
				w.silentSince = time.Now()
			}
		}
	}
}

// resetWatches ends the open watches of the selected gateways.
func (d *discovery) resetWatches(selected []bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for gateway := range d.openWatches {
		if selected[gateway] {
			d.endWatches(gateway)
		}
	}
}

// endWatches ends the open watches of a gateway. d.mu must be held.
func (d *discovery) endWatches(gateway int) {
	for id, w := range d.openWatches[gateway] {
		close(w.end)
		delete(d.openWatches[gateway], id)
	}
}

// currentList returns the current endpoint list, which a gateway gets as its cached snapshot in the configuration.
func (d *discovery) currentList() process.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// snapshot returns the endpoint list after all changes. d.mu must be held.
func (d *discovery) snapshot() process.EndpointList {
	latest := map[string]process.Endpoint{}
	for _, c := range d.changes {
		if c.state == process.EndpointRemoved {
			delete(latest, c.server.name)
		} else {
			latest[c.server.name] = c.endpoint()
		}
	}
	list := process.EndpointList{Version: len(d.changes), Snapshot: true, Servers: []process.Endpoint{}}
	for _, endpoint := range latest {
		list.Servers = append(list.Servers, endpoint)
	}
	return list
}

// delta returns the changes since a version of the endpoint list. d.mu must be held.
func (d *discovery) delta(after int) process.EndpointList {
	list := process.EndpointList{Version: len(d.changes), Servers: []process.Endpoint{}}
	for _, c := range d.changes[after:] {
		list.Servers = append(list.Servers, c.endpoint())
	}
	return list
}

func (c change) endpoint() process.Endpoint {
	startedMs := 0.0
	if !c.server.startedAt.IsZero() {
		startedMs = float64(c.server.startedAt.UnixMilli())
	}
	return process.Endpoint{ID: c.server.name, Addr: c.server.addr, Zone: "a", Kind: "k", Shard: c.server.shard, State: c.state,
		Weight: 1, StartedMs: startedMs}
}
