package fleet

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
	nodes    []*http.Server
	addrs    []string
	list     net.Listener
	srv      *http.Server
}

func newPlatform(shards, hosts int) (*platform, error) {
	p := &platform{stores: map[uint64]*store{}, arrivals: map[string]int{}, hosts: hosts}
	for shard := range shards {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(shard, w, r) })}
		p.nodes, p.addrs = append(p.nodes, s), append(p.addrs, ln.Addr().String())
		go s.Serve(ln)
	}
	var err error
	if p.list, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	p.srv = &http.Server{Handler: http.HandlerFunc(p.watch)}
	go p.srv.Serve(p.list)
	return p, nil
}

func (p *platform) close() {
	p.srv.Close()
	for _, s := range p.nodes {
		s.Close()
	}
}

// serve is a node's work: 5 ms, and what the rule on limits counts.
func (p *platform) serve(shard int, w http.ResponseWriter, r *http.Request) {
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
	p.mu.Unlock()
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

func (p *platform) servers() map[string]any {
	servers := []any{}
	for i, addr := range p.addrs {
		servers = append(servers, map[string]any{"id": fmt.Sprintf("s-%d", i), "addr": addr, "zone": "a", "kind": "k", "cell": i,
			"state": "Ready", "weight": 1.0, "started_ms": 0})
	}
	return map[string]any{"version": 1, "full": true, "servers": servers}
}

// watch is the agent on each gateway's machine: the list, then an empty line every 2 s.
func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	line, _ := json.Marshal(p.servers())
	for {
		if _, err := w.Write(append(line, '\n')); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		line = nil
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// config is what a gateway is told.
func (p *platform) config(name, listen string, self, gateways int) ([]byte, error) {
	return json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": p.list.Addr().String(), "seed": fmt.Sprintf("%016x", self+1),
		"known": p.servers(), "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512},
		"settings": map[string]any{"Siblings": gateways, "SelfIndex": self, "TickMs": 2, "Discovery": "push", "Zones": []string{"a"},
			"Lanes": []any{map[string]any{"Name": "pull", "PromiseMs": aimMs, "DeadlineMs": deadlineMs, "Idempotency": "once", "Worth": 1}},
			"Plans": []any{map[string]any{"Name": "basic", "UsualRate": limitRate / 4, "Reservation": limitRate / 8, "Shares": 1, "Pays": 1,
				"CeilingRate": limitRate, "CapDepth": limitStore(p.hosts), "CapSlack": max(mostUnits, 0.1*limitStore(p.hosts))}},
			"Limits": map[string]any{"AttemptsCap": 2, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500, "ConnIdleMs": 30000,
				"ConnectTimeoutMs": 250},
			"Invariants": map[string]any{"GraceToAnswerMs": 8, "DrainGraceMs": 1000},
			"FamilyInfo": map[string]any{"ClassWrites": []bool{false}, "MeanUnits": meanUnits, "MostUnits": mostUnits, "NShards": len(p.addrs),
				"FairWorth": 0.3, "IdleWorth": 0.05}}})
}
