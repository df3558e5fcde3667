package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The settings that gateways are given. A limit's store holds two of the largest requests for each host, as the
// platform's do.
const (
	limitRate  = 60.0
	mostUnits  = 6.0
	meanUnits  = 2.0
	deadlineMs = 1500
	aimMs      = 400
	slackMs    = 150 // by which the slack of a limit is longer on sockets
)

func limitStore(hosts int) float64 { return max(limitRate, 2*mostUnits*float64(hosts)) }

// store is a volume's limit as the rule counts it, where the nodes are.
type store struct {
	level, most float64
	at          time.Time
	units       float64
	worst       float64 // lowest level
}

// platform is the storage nodes and the service that lists them. It counts what arrives.
type platform struct {
	mu       sync.Mutex
	stores   map[uint64]*store
	arrivals map[string]int // by request
	doubled  int            // requests that a node got again, though it may have run
	hosts    int
	servers  []*http.Server
	all      []*tcpProxy
	addrs    [][]string    // of nodes, as each gateway reaches them
	lists    []string      // where each gateway finds the list
	ways     [][]*tcpProxy // from each gateway to each node
	listWays []*tcpProxy   // and to its list
	drains   [][]bool      // by gateway and node: the list says so
	version  int
	kick     chan struct{} // closed when a list changes
	fails    [][]bool      // by gateway and node: answers it with an error
	got      [][]int       // by gateway and node: requests that have arrived
}

func newPlatform(gateways, shards, hosts int) (*platform, error) {
	p := &platform{stores: map[uint64]*store{}, arrivals: map[string]int{}, hosts: hosts, version: 1, kick: make(chan struct{})}
	for g := range gateways {
		var addrs []string
		var ways []*tcpProxy
		for shard := range shards {
			way, err := p.listen(func(w http.ResponseWriter, r *http.Request) { p.serve(g, shard, w, r) })
			if err != nil {
				return p, err
			}
			addrs, ways = append(addrs, way.ln.Addr().String()), append(ways, way)
		}
		list, err := p.listen(func(w http.ResponseWriter, r *http.Request) { p.watch(g, w, r) })
		if err != nil {
			return p, err
		}
		p.addrs, p.lists = append(p.addrs, addrs), append(p.lists, list.ln.Addr().String())
		p.ways, p.listWays = append(p.ways, ways), append(p.listWays, list)
		p.fails, p.got = append(p.fails, make([]bool, shards)), append(p.got, make([]int, shards))
		p.drains = append(p.drains, make([]bool, shards))
	}
	return p, nil
}

// listen starts a server behind a proxy.
func (p *platform) listen(f http.HandlerFunc) (*tcpProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: f}
	p.servers = append(p.servers, s)
	go s.Serve(ln)
	way, err := newTCPProxy(ln.Addr().String())
	if err == nil {
		p.all = append(p.all, way)
	}
	return way, err
}

func (p *platform) close() {
	for _, way := range p.all {
		way.close()
	}
	for _, s := range p.servers {
		s.Close()
	}
}

// fail makes a node answer a gateway with errors, or well again.
func (p *platform) fail(g, shard int, yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fails[g][shard] = yes
}

// drain makes a gateway's list say that a node drains, or no more.
func (p *platform) drain(g, shard int, yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drains[g][shard] = yes
	p.version++
	close(p.kick)
	p.kick = make(chan struct{})
}

// counts is what has arrived from each gateway at each node.
func (p *platform) counts() (all [][]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.got {
		all = append(all, append([]int(nil), row...))
	}
	return all
}

// serve is a node's work: 5 ms, and what the rule on limits counts.
func (p *platform) serve(g, shard int, w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler) // it was never whole
	}
	id := r.Header.Get("X-Correlation-Id")
	volume, units, ok := parts(id)
	if !ok {
		http.Error(w, "a request that no client sent", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	if p.arrivals[id]++; p.arrivals[id] > 1 {
		p.doubled++
	} else {
		p.take(volume, units)
	}
	p.got[g][shard]++
	fails := p.fails[g][shard]
	p.mu.Unlock()
	if fails {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	time.Sleep(5 * time.Millisecond)
	fmt.Fprintf(w, "%s from %d", id, shard)
}

// take draws a request's units from its volume's limit.
func (p *platform) take(volume uint64, units float64) {
	now := time.Now()
	s := p.stores[volume]
	if s == nil {
		most := limitStore(p.hosts)
		s = &store{level: most, most: most, at: now, worst: most}
		p.stores[volume] = s
	}
	s.level = min(s.most, s.level+limitRate*now.Sub(s.at).Seconds()) - units
	s.at, s.units, s.worst = now, s.units+units, min(s.worst, s.level)
}

// requestID names a request so that nodes know what it counts for.
func requestID(volume uint64, units, n int) string { return fmt.Sprintf("%x-%d-%d", volume, units, n) }

func parts(id string) (volume uint64, units float64, ok bool) {
	f := strings.Split(id, "-")
	if len(f) != 3 {
		return 0, 0, false
	}
	volume, err := strconv.ParseUint(f[0], 16, 64)
	n, err2 := strconv.Atoi(f[1])
	return volume, float64(n), err == nil && err2 == nil
}

func nodeID(shard int) string { return fmt.Sprintf("s-%d", shard) }

func (p *platform) list(g int) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := []any{}
	for i, addr := range p.addrs[g] {
		state := "Ready"
		if p.drains[g][i] {
			state = "Terminating"
		}
		servers = append(servers, map[string]any{"id": nodeID(i), "addr": addr, "zone": "a", "kind": "k", "cell": i,
			"state": state, "weight": 1.0, "started_ms": 0})
	}
	return map[string]any{"version": p.version, "full": true, "servers": servers}
}

// watch is the agent on each gateway's machine: the list, again whenever it changes, and an empty line every 2 s.
func (p *platform) watch(g int, w http.ResponseWriter, r *http.Request) {
	for changed := true; ; {
		p.mu.Lock()
		kick := p.kick
		p.mu.Unlock()
		var line []byte
		if changed {
			line, _ = json.Marshal(p.list(g))
		}
		if _, err := w.Write(append(line, '\n')); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-kick:
			changed = true
		case <-time.After(2 * time.Second):
			changed = false
		}
	}
}

// config is what a gateway is told.
func (p *platform) config(name, listen string, self, gateways int) ([]byte, error) {
	return json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": p.lists[self], "seed": fmt.Sprintf("%016x", self+1),
		"known": p.list(self), "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512},
		"settings": map[string]any{"Siblings": gateways, "SelfIndex": self, "TickMs": 2, "Discovery": "push", "Zones": []string{"a"},
			"Lanes": []any{map[string]any{"Name": "pull", "PromiseMs": aimMs, "DeadlineMs": deadlineMs, "Idempotency": "once", "Worth": 1}},
			"Plans": []any{map[string]any{"Name": "basic", "UsualRate": limitRate / 4, "Reservation": limitRate / 8, "Shares": 1, "Pays": 1,
				"CeilingRate": limitRate, "CapDepth": limitStore(p.hosts), "CapSlack": max(mostUnits, 0.1*limitStore(p.hosts))}},
			"Limits": map[string]any{"AttemptsCap": 2, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500, "ConnIdleMs": 30000,
				"ConnectTimeoutMs": 250},
			"Invariants": map[string]any{"GraceToAnswerMs": 8, "DrainGraceMs": 1000},
			"FamilyInfo": map[string]any{"ClassWrites": []bool{false}, "MeanUnits": meanUnits, "MostUnits": mostUnits, "NShards": len(p.addrs[self]),
				"FairWorth": 0.3, "IdleWorth": 0.05}}})
}
