package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/testbed/memnet"
)

const (
	playFor = 14 * time.Second
	slackMs = 50 // by which every limit of time is longer on sockets
	sockets = 512
)

// Result is what a play shows.
type Result struct {
	Violations               []string // each breach of a rule, in words
	Crashed, Lost            int
	Served, Rejected, Failed int
	RejectedAttempts         int // attempts that nodes turned away
	DrainedServers           int // nodes that were closed under load
}

type world struct {
	d   *Deployment
	net memnet.Net
	mu  sync.Mutex
	rnd *rand.Rand // of nodes' work; guarded by mu
	res Result

	instances []*instance
	changes   []change // as published
	gates     []*gate
	requests  map[string]*request
	stores    map[uint64]*store // of limits, by volume
	wg        sync.WaitGroup
}

// change is an entry of the list as discovery publishes it; its version is its place and one.
type change struct {
	inst  *instance
	state string
	at    time.Time
}

// gate is one gateway with the discovery that it sees.
type gate struct {
	n        int
	g        *gateway.Gateway
	killed   bool
	stopping time.Time
	started  time.Time
	told     map[*instance]time.Time // that it is closed, in this life
	down     bool                    // its discovery
	watches  map[chan struct{}]bool
	lastEnd  time.Time // of a watch
	kick     chan struct{}
	clients  int // connections that they hold: at most a third of the gateway's descriptors

	discovery *http.Server
}

type store struct {
	level float64
	at    time.Time
}

// request is what a client has asked for and what became of it.
type request struct {
	class    class
	vol      *volume
	units    float64
	shard    int
	arrivals []*arrival
	answered time.Time
}

type arrival struct {
	at   time.Time
	inst *instance
	ran  bool // or may have
	out  bool // the node works on it, and its connection is open
}

// Run plays a deployment; it must run in a bubble.
func Run(d *Deployment) Result {
	w := &world{d: d, rnd: rand.New(rand.NewPCG(d.Seed, 23)), requests: map[string]*request{}, stores: map[uint64]*store{}}
	w.mu.Lock()
	for s := range d.Shards {
		w.publish(w.newInstance(fmt.Sprintf("s-%d", s), s, time.Time{}), "Ready", 0)
	}
	for i := range d.Gateways {
		g := &gate{n: i, watches: map[chan struct{}]bool{}, kick: make(chan struct{})}
		w.gates = append(w.gates, g)
		w.serveDiscovery(g)
	}
	w.mu.Unlock()
	for _, g := range w.gates {
		w.start(g)
	}
	time.Sleep(100 * time.Millisecond)
	w.wg.Go(w.faults)
	for i := range d.Volumes {
		w.wg.Go(func() { w.traffic(&d.Volumes[i], rand.New(rand.NewPCG(d.Seed, 100+uint64(i)))) })
	}
	w.wg.Wait()
	time.Sleep(8 * time.Second)
	for _, g := range w.gates {
		if g.g != nil {
			w.crashed(g.n, g.g)
			g.g.Close()
		}
		g.discovery.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, inst := range w.instances {
		inst.stop()
	}
	return w.res
}

func (w *world) broken(format string, args ...any) {
	if len(w.res.Violations) < 20 {
		w.res.Violations = append(w.res.Violations, fmt.Sprintf(format, args...))
	} else {
		w.res.Violations[19] = "and more"
	}
}

// ---- discovery ----

// publish makes a change known behind discovery's lag.
func (w *world) publish(inst *instance, state string, lagMs float64) {
	time.AfterFunc(clock.Duration(lagMs), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.changes = append(w.changes, change{inst, state, time.Now()})
		inst.listed = true
		for _, g := range w.gates {
			if w.d.Push && !g.down {
				w.holds(g)
			}
			close(g.kick)
			g.kick = make(chan struct{})
		}
	})
}

// holds notes that all published by now counts as told to a gateway. w.mu is held.
func (w *world) holds(g *gate) {
	for _, c := range w.changes {
		if _, ok := g.told[c.inst]; !ok && c.state != "Ready" && g.told != nil {
			g.told[c.inst] = time.Now()
		}
	}
}

// list is the whole list as of so many changes, in discovery's form.
func (w *world) list(g *gate, upTo int) map[string]any {
	last := map[string]map[string]any{}
	for _, c := range w.changes[:upTo] {
		if e := c.entry(g); c.state == "Gone" {
			if old := last[c.inst.name]; old != nil && old["started_ms"] == e["started_ms"] {
				delete(last, c.inst.name)
			}
		} else {
			last[c.inst.name] = e
		}
	}
	servers := []any{}
	for _, e := range last {
		servers = append(servers, e)
	}
	return map[string]any{"version": upTo, "full": true, "servers": servers}
}

func (c change) entry(g *gate) map[string]any {
	return map[string]any{"id": c.inst.name, "addr": nodeAt(g.n, c.inst.n), "zone": c.inst.zone, "kind": "k",
		"cell": c.inst.shard, "state": c.state, "weight": 1.0, "started_ms": c.inst.startedMs()}
}

func (w *world) serveDiscovery(g *gate) {
	ln, err := w.net.Listen(agentAt(g.n))
	if err != nil {
		panic(err)
	}
	g.discovery = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		if g.down {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		end, mine := make(chan struct{}), g.g
		g.watches[end] = true
		w.mu.Unlock()
		defer func() {
			w.mu.Lock()
			delete(g.watches, end)
			g.lastEnd = time.Now()
			w.mu.Unlock()
		}()
		if !w.d.Push {
			time.Sleep(10 * time.Millisecond)
		}
		for first := true; ; first = false {
			w.mu.Lock()
			kick := g.kick
			var out map[string]any
			switch {
			case after > len(w.changes) || first && after == 0:
				out = w.list(g, len(w.changes))
			case after < len(w.changes) || first:
				entries := []any{}
				for _, c := range w.changes[after:] {
					entries = append(entries, c.entry(g))
				}
				out = map[string]any{"version": len(w.changes), "full": false, "servers": entries}
			}
			after = len(w.changes)
			if g.g == mine { // this life's
				w.holds(g)
			}
			w.mu.Unlock()
			line := []byte{}
			if out != nil {
				line, _ = json.Marshal(out)
			}
			rw.Write(append(line, '\n'))
			rw.(http.Flusher).Flush()
			select {
			case <-kick:
			case <-time.After(2 * time.Second):
			case <-end:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
	})}
	go g.discovery.Serve(ln)
}

// ---- gateways ----

// start starts a gateway with a list that may be old.
func (w *world) start(g *gate) {
	w.mu.Lock()
	g.killed, g.stopping, g.started, g.lastEnd, g.told = false, time.Time{}, time.Now(), time.Now(), map[*instance]time.Time{}
	if w.d.Push && !g.down {
		w.holds(g)
	}
	old := max(w.d.Shards, len(w.changes)-3)
	text := w.d.config(g.n, w.d.Seed+uint64(g.n), w.list(g, min(old, len(w.changes))))
	w.mu.Unlock()
	var young *gateway.Gateway
	cfg, err := config.Parse(text)
	if err == nil {
		young, err = gateway.New(cfg, &config.Edge{}, clock.NewSystem(), gateway.Network{Listen: w.net.Listen, Dial: w.net.Dial})
	}
	if err == nil {
		w.mu.Lock()
		g.g = young
		w.mu.Unlock()
		err = young.Start()
	}
	if err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.res.Crashed++
		w.broken("gateway %d does not start: %v", g.n, err)
	}
}

// crashed counts a gateway of which a part has ended by itself. It is asked before the play ends that gateway.
func (w *world) crashed(n int, g *gateway.Gateway) {
	select {
	case err := <-g.Failed():
		w.mu.Lock()
		w.res.Crashed++
		w.broken("gateway %d: a part has ended by itself: %v", n, err)
		w.mu.Unlock()
	default:
	}
}

// faults is what goes wrong, drawn by the seed.
func (w *world) faults() {
	rnd := rand.New(rand.NewPCG(w.d.Seed, 24))
	w.mu.Lock()
	next := len(w.instances)
	w.mu.Unlock()
	var all sync.WaitGroup
	at := func(s float64, f func()) {
		all.Go(func() { time.Sleep(time.Duration(s * float64(time.Second))); f() })
	}
	for i := range 1 + rnd.IntN(3) { // nodes are replaced, or restart
		shard, same := rnd.IntN(w.d.Shards), rnd.IntN(3) == 0
		n := next + i
		at(1+8*rnd.Float64(), func() {
			w.mu.Lock()
			var old *instance
			for _, inst := range w.instances {
				if inst.shard == shard && inst.listed && !inst.drains && !inst.dead {
					old = inst
				}
			}
			if old == nil {
				w.mu.Unlock()
				return
			}
			w.res.DrainedServers++
			name := fmt.Sprintf("r-%d", n)
			if same {
				name, old.dead = old.name, true
				old.stop()
			}
			old.drains = true
			young := w.newInstance(name, shard, time.Now())
			w.mu.Unlock()
			// One that drains stays for longer than the rule's grace behind its being told: who has not heard of it is seen.
			stays := max(3000, w.d.DiscoveryLagMs+w.d.DrainGraceMs+2500)
			if !same {
				w.publish(old, "Terminating", w.d.DiscoveryLagMs)
				w.publish(old, "Gone", w.d.DiscoveryLagMs+stays)
			} else {
				w.publish(old, "Gone", w.d.DiscoveryLagMs)
			}
			w.publish(young, "Ready", w.d.DiscoveryLagMs+50)
			time.Sleep(clock.Duration(stays))
			w.mu.Lock()
			old.dead = true
			old.stop()
			w.mu.Unlock()
		})
	}
	for _, g := range w.gates {
		if rnd.IntN(2) == 0 { // its discovery goes away, or only its watches end
			from, long := 1+9*rnd.Float64(), 2*rnd.Float64()*float64(rnd.IntN(2))
			at(from, func() {
				w.mu.Lock()
				g.down = long > 0
				for end := range g.watches {
					close(end)
				}
				w.mu.Unlock()
				time.Sleep(time.Duration(long * float64(time.Second)))
				w.mu.Lock()
				if g.down = false; w.d.Push {
					w.holds(g)
				}
				w.mu.Unlock()
			})
		}
		switch from, away := 2+8*rnd.Float64(), 0.2+2*rnd.Float64(); rnd.IntN(3) {
		case 0: // it is killed
			at(from, func() {
				w.mu.Lock()
				g.killed = true
				old := g.g
				w.mu.Unlock()
				if old == nil {
					return // it did not start
				}
				w.crashed(g.n, old)
				old.Close()
				time.Sleep(time.Duration(away * float64(time.Second)))
				w.start(g)
			})
		case 1: // it is told to end
			at(from, func() {
				w.mu.Lock()
				g.stopping = time.Now()
				old := g.g
				w.mu.Unlock()
				if old == nil {
					return
				}
				w.crashed(g.n, old)
				old.Shutdown()
				w.start(g)
			})
		}
	}
	if rnd.IntN(2) == 0 { // a node says nothing for a while
		shard, long := rnd.IntN(w.d.Shards), 1500*time.Millisecond
		if rnd.IntN(2) == 0 {
			long = 6 * time.Second // longer than a gateway that stops has
		}
		at(2+6*rnd.Float64(), func() {
			w.mu.Lock()
			inst := w.instances[shard]
			inst.frozen = make(chan struct{})
			w.mu.Unlock()
			time.Sleep(long)
			w.mu.Lock()
			close(inst.frozen)
			inst.frozen = nil
			w.mu.Unlock()
		})
	}
	all.Wait()
}

// ---- clients ----

func (w *world) traffic(v *volume, rnd *rand.Rand) {
	began, rate := time.Now(), w.d.Plans[v.Plan].UsualRate*v.Usage/meanUnits
	client := &http.Client{Transport: &http.Transport{DialContext: w.net.Dial, DisableKeepAlives: true}}
	for n := 0; ; n++ {
		now, r := time.Since(began), rate
		if now > playFor/3 && now < playFor*2/3 {
			r = min(rate*v.Surge, 120)
		}
		time.Sleep(time.Duration(rnd.ExpFloat64() / r * float64(time.Second)))
		if time.Since(began) > playFor {
			return
		}
		units := float64(1 + rnd.IntN(3))
		if rnd.IntN(20) == 0 {
			units = mostUnits
		}
		req := &request{class: w.d.Classes[rnd.IntN(len(w.d.Classes))], vol: v, units: units, shard: v.Shards[rnd.IntN(len(v.Shards))]}
		if req.class.write && rnd.IntN(3) == 0 {
			req.shard = -1
		}
		g := w.gates[v.Hosts[min(rnd.IntN(len(v.Hosts)), rnd.IntN(len(v.Hosts)))]]
		id, piece := fmt.Sprintf("%x-%d", v.ID, n), rnd.Uint64()
		w.wg.Go(func() { w.ask(client, g, req, id, piece) })
	}
}

// ask sends one request and judges its answer.
func (w *world) ask(client *http.Client, g *gate, req *request, id string, piece uint64) {
	w.mu.Lock()
	if g.clients >= sockets/3 {
		w.mu.Unlock()
		return
	}
	g.clients++
	w.requests[id] = req
	asked := g.g
	w.mu.Unlock()
	method, body := http.MethodGet, io.Reader(nil)
	if req.class.write {
		method, body = http.MethodPut, struct{ io.Reader }{strings.NewReader("content of " + id)}
	}
	left := time.Duration(req.class.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), left+time.Second)
	defer cancel()
	hr, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/%016x", listenAt(g.n), url.PathEscape(req.class.Name), piece), body)
	if req.class.write {
		hr.ContentLength = int64(len("content of " + id))
	}
	hosts := len(req.vol.Hosts)
	for k, v := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": req.class.Name, "X-Plan": w.d.Plans[req.vol.Plan].Name,
		"X-Time-Left-Ms": strconv.FormatInt(left.Milliseconds(), 10),
		"X-IO":           fmt.Sprintf("volume=%016x,units=%v,shard=%d,hosts=%d", req.vol.ID, req.units, req.shard, hosts)} {
		hr.Header.Set(k, v)
	}
	if req.class.Idempotency == "by_key" {
		hr.Header.Set("Idempotency-Key", "k-"+id)
	}
	began := time.Now()
	resp, err := client.Do(hr)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g.clients--
	req.answered = time.Now()
	took := req.answered.Sub(began)
	if err != nil {
		refused := strings.Contains(err.Error(), "connection refused") // it was never taken
		ended := asked != g.g || g.killed || !g.stopping.IsZero() && began.Sub(g.stopping) > 400*time.Millisecond
		if !refused && !ended {
			w.res.Lost++
			w.broken("%s (%s): gateway %d, up for %v, stopping %v: lost after %v: %v", id, req.class.Name, g.n, began.Sub(g.started), !g.stopping.IsZero(), took, err)
		}
		return
	}
	if late := took - left; late > slackMs*time.Millisecond {
		w.broken("%s: answered %v after its time", id, late)
	}
	ran := false
	for _, a := range req.arrivals {
		ran = ran || a.ran
	}
	switch code := resp.StatusCode; {
	case code == 200:
		w.res.Served++
		if !strings.HasPrefix(string(text), id+" ") {
			w.broken("%s: served with what no node made for it: %q", id, text)
		}
	case code == 429 || code == 503:
		w.res.Rejected++
		if c := req.class; ran && (c.Idempotency == "once" || c.Idempotency == "by_key" && c.KeyScope != "all") {
			w.broken("%s (%s): refused, though it may have run", id, c.Idempotency)
		}
		if resp.Header.Get("Retry-After") != "" && !w.d.RetryAfter {
			w.broken("%s: Retry-After, which the settings forbid", id)
		}
	case code >= 500:
		w.res.Failed++
	default:
		w.broken("%s: a request in the protocol's form got %d: %s", id, code, text)
	}
}
