package cluster

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
	"gaugerelay/internal/testbed/process"
)

const (
	// serviceTime is how long a server takes to process a request.
	serviceTime = 5 * time.Millisecond
	// heartbeatInterval is the time from a message of a watch to the next heartbeat, while the endpoint list does not change.
	heartbeatInterval = 2 * time.Second
)

// platform fakes the storage servers and discovery, and counts the requests that arrive. Each gateway gets
// addresses of its own for the servers and for discovery, so that these can treat gateways differently.
type platform struct {
	hosts   int // number of hosts of each volume
	shards  int
	views   []*gatewayView // views by gateway
	servers []*http.Server
	proxies []*streamProxy

	mu          sync.Mutex
	limits      map[uint64]*tokenBucket // token bucket of each volume, by volume ID
	arrivals    map[string]int          // number of arrivals, by request ID
	duplicates  int                     // number of arrivals, at any server, of requests that had arrived at any server before
	listVersion int
	listChanged chan struct{} // channel that is closed at the next change of an endpoint list
}

// gatewayView is the platform as one gateway sees it. The slices are indexed by shard; draining, failing and received are
// guarded by platform.mu.
type gatewayView struct {
	serverProxies []*streamProxy
	listProxy     *streamProxy
	listAddr      string
	draining      []bool // whether the gateway's endpoint list says that the server of the shard drains
	failing       []bool // whether the server of the shard responds to the gateway with errors
	received      []int  // number of the gateway's requests that have arrived at the server of the shard
}

// newPlatform starts the servers and discovery. On an error, the caller must still close the returned platform.
func newPlatform(gateways, shards, hosts int) (*platform, error) {
	p := &platform{limits: map[uint64]*tokenBucket{}, arrivals: map[string]int{}, hosts: hosts, shards: shards, listVersion: 1,
		listChanged: make(chan struct{})}
	for gateway := range gateways {
		view, err := p.newView(gateway)
		if err != nil {
			return p, err
		}
		p.views = append(p.views, view)
	}
	return p, nil
}

func (p *platform) newView(gateway int) (*gatewayView, error) {
	view := &gatewayView{draining: make([]bool, p.shards), failing: make([]bool, p.shards), received: make([]int, p.shards)}
	for shard := range p.shards {
		proxy, err := p.listen(func(w http.ResponseWriter, r *http.Request) { p.serveRequest(view, shard, w, r) })
		if err != nil {
			return nil, err
		}
		view.serverProxies = append(view.serverProxies, proxy)
	}
	listProxy, err := p.listen(func(w http.ResponseWriter, r *http.Request) { p.serveWatch(gateway, w, r) })
	if err != nil {
		return nil, err
	}
	view.listProxy, view.listAddr = listProxy, listProxy.addr()
	return view, nil
}

// listen starts an HTTP server and a proxy to it.
func (p *platform) listen(handler http.HandlerFunc) (*streamProxy, error) {
	s, addr, err := loopback.ServeHTTP(handler)
	if err != nil {
		return nil, err
	}
	p.servers = append(p.servers, s)
	proxy, err := newStreamProxy(addr)
	if err != nil {
		return nil, err
	}
	p.proxies = append(p.proxies, proxy)
	return proxy, nil
}

func (p *platform) close() {
	for _, proxy := range p.proxies {
		proxy.close()
	}
	for _, s := range p.servers {
		s.Close()
	}
}

// setFailing makes the server of failingShard respond to a gateway with errors, or normally again.
func (p *platform) setFailing(gateway int, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.views[gateway].failing[failingShard] = failing
}

// setDraining makes the endpoint list of a gateway say that the server of drainingShard drains, or that it is ready
// again.
func (p *platform) setDraining(gateway int, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.views[gateway].draining[drainingShard] = draining
	p.listVersion++
	close(p.listChanged)
	p.listChanged = make(chan struct{})
}

// receivedCounts returns how many requests have arrived, by gateway and shard.
func (p *platform) receivedCounts() (counts [][]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, view := range p.views {
		counts = append(counts, append([]int(nil), view.received...))
	}
	return counts
}

// serveRequest handles a request of a gateway to the server of a shard.
func (p *platform) serveRequest(view *gatewayView, shard int, w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler) // an incomplete request is not counted
	}
	idText := r.Header.Get("X-Correlation-Id")
	id, ok := parseRequestID(idText)
	if !ok {
		http.Error(w, "a request that no client sent", http.StatusBadRequest)
		return
	}
	if failing := p.recordArrival(view, shard, idText, id); failing {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	time.Sleep(serviceTime)
	_, _ = fmt.Fprintf(w, "%s from %d", idText, shard) // a write error is ignored, because the gateway may have closed the connection
}

// recordArrival counts the arrival of a request and reports whether the server has to fail the request. Only the first arrival
// of a request takes units from the limit of its volume.
func (p *platform) recordArrival(view *gatewayView, shard int, idText string, id requestID) (failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[idText]++
	if p.arrivals[idText] > 1 {
		p.duplicates++
	} else {
		p.takeUnits(id.volume, float64(id.units))
	}
	view.received[shard]++
	return view.failing[shard]
}

// takeUnits takes the units of a request from the limit of its volume. p.mu must be held.
func (p *platform) takeUnits(volume uint64, units float64) {
	now := time.Now()
	limit := p.limits[volume]
	if limit == nil {
		limit = newTokenBucket(limitBurst(p.hosts), now)
		p.limits[volume] = limit
	}
	limit.take(units, now)
}

// serverID returns the ID of the server of a shard.
func serverID(shard int) string { return fmt.Sprintf("s-%d", shard) }

// endpointList returns the endpoint list that discovery sends to a gateway.
func (p *platform) endpointList(gateway int) process.EndpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.views[gateway]
	list := process.EndpointList{Version: p.listVersion, Snapshot: true, Servers: []process.Endpoint{}}
	for shard, proxy := range view.serverProxies {
		state := process.EndpointReady
		if view.draining[shard] {
			state = process.EndpointDraining
		}
		list.Servers = append(list.Servers, process.Endpoint{ID: serverID(shard), Addr: proxy.addr(), Zone: "a", Kind: "k", Shard: shard,
			State: state, Weight: 1})
	}
	return list
}

// serveWatch handles a watch of a gateway: it sends the endpoint list at first and after each change, and heartbeats while
// the list does not change.
func (p *platform) serveWatch(gateway int, w http.ResponseWriter, r *http.Request) {
	for changed := true; ; {
		p.mu.Lock()
		listChanged := p.listChanged
		p.mu.Unlock()
		var line []byte
		if changed {
			line = p.endpointList(gateway).JSON()
		}
		if _, err := w.Write(append(line, '\n')); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // if the connection is broken, the request's context ends, which ends the watch
		select {
		case <-r.Context().Done():
			return
		case <-listChanged:
			changed = true
		case <-time.After(heartbeatInterval):
			changed = false
		}
	}
}
