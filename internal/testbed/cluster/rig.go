// Package fleet starts several processes of the real program on loopback, with stand-ins for nodes, the list of nodes
// and clients, injects faults between the gateways and into them, and counts at the nodes and the clients what must
// never be. It knows a gateway by its command line, its ports and its answers only.
//
// A scenario is plain Go with a seed. The schedule that the seed draws is printed, so that it can be played again.
package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gaugerelay/internal/testbed/process"
)

// RecoveryBoundMs bounds Result.RecoverMs: what gateways found fades, the rest between two tries passes, and the count
// takes a step. A datagram that is lost would add the age of words; no scenario that measures it loses any.
const RecoveryBoundMs = 2408.0 + 400 + 400

// Options are a run.
type Options struct {
	Binary         string // of the gateway
	Gateways       int
	HostsPerVolume int // gateways through which each volume's requests come
	Volumes        int
	Shards         int
	Seed           uint64
	Gossip         bool // whether gateways speak with each other
	LeaseMs        float64
	TimeScale      float64 // how long each scenario lasts, as a part of its own time; 0: whole
}

// Result is what a run has shown.
type Result struct {
	Kills, Pauses, Partitions        int
	Stalls                           int // of the whole machine
	Served, Rejected, Failed         int
	ServedUnits                      float64
	Lost, DuplicateArrivals, Crashed int
	OverLimit                        int     // volumes whose store fell below the rule's slack
	MaxOverLimit                     float64 // units below an empty store at the worst
	AllowedOverLimit                 float64 // what the rule allows
	Datagrams                        int
	WrongEjections                   int     // gateways that were kept from a node which served them well
	RecoveryMs                       float64 // until a node that failed for all is used again
	StaleListSendRate                float64 // tries a second at a draining node of which a gateway's own list is silent
	EjectedSendRate                  float64 // tries a second from each gateway at a node that fails for all, behind a second of it
	Violations                       []string
}

// Cluster is a running fleet.
type Cluster struct {
	opt      Options
	platform *platform
	liar     *liar
	gates    []*process.Process
	links    [][]*proxy // from, to
	rnd      *rand.Rand
	log      *process.Log
	dir      string

	mu     sync.Mutex
	res    Result
	breach int   // the log's line of the first one
	lead   []int // of each volume: which of its hosts has most of its traffic
	load   float64
	stop   chan struct{}
	all    sync.WaitGroup
	next   int
}

// StartCluster starts a fleet.
func StartCluster(o Options) (r *Cluster, err error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	r = &Cluster{opt: o, rnd: rand.New(rand.NewPCG(o.Seed, 42)), log: process.NewLog(), dir: dir, lead: make([]int, o.Volumes),
		load: 1.4, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.platform, err = newPlatform(o.Gateways, o.Shards, o.HostsPerVolume); err != nil {
		return r, err
	}
	for i := range o.Gateways {
		p := &process.Process{Index: i, Name: fmt.Sprintf("n%d", i), Binary: o.Binary, Log: r.log}
		// A gateway that starts anew has the addresses that it had. No connection out is made from this host, so none
		// can have taken its port meanwhile.
		host := fmt.Sprintf("127.1.%d.%d:0", 1+os.Getpid()%250, i+1)
		if p.ListenAddr, err = freePort("tcp", host); err != nil {
			return r, err
		}
		if p.PeerAddr, err = freePort("udp", host); err != nil {
			return r, err
		}
		r.gates = append(r.gates, p)
	}
	if err = r.connect(); err != nil {
		return r, err
	}
	if r.liar, err = newLiar(len(r.gates)); err != nil {
		return r, err
	}
	for i, p := range r.gates {
		config, err := r.platform.config(p.Name, p.ListenAddr, i, o.Gateways)
		if err != nil {
			return r, err
		}
		var edge map[string]any
		if o.Gossip {
			peers := []string{}
			for j := range r.gates {
				at := r.gates[j].PeerAddr
				if j != i {
					at = r.links[i][j].conn.LocalAddr().String()
				}
				peers = append(peers, at)
			}
			peers = append(peers, r.liar.conn.LocalAddr().String())
			edge = map[string]any{"fleet": map[string]any{"listen": p.PeerAddr, "self": i, "peers": peers, "key": fleetKey,
				"period_ms": 200, "lease_ms": o.LeaseMs}}
		}
		if err := p.WriteConfig(filepath.Join(dir, p.Name), config, edge); err != nil {
			return r, err
		}
		if err := p.Start(); err != nil {
			return r, err
		}
	}
	for v := range o.Volumes {
		r.all.Go(func() { r.traffic(v) })
	}
	r.all.Go(r.watch)
	return r, nil
}

// stallMs is how late a sleep of this program ends before the machine counts as stalled.
const stallMs = 200

// watch notes when the machine is too busy to tell anything: the rules on time are then not this program's to judge.
func (r *Cluster) watch() {
	for last := time.Now(); ; {
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		now := time.Now()
		if now.Sub(last) > stallMs*time.Millisecond {
			r.log.Printf("(the machine stalled for %v)", now.Sub(last))
			for _, p := range r.gates {
				p.RecordStall(last, now)
			}
			r.count(func(res *Result) { res.Stalls++ })
		}
		last = now
	}
}

// connect puts a proxy between each gateway and each other, each way.
func (r *Cluster) connect() error {
	for i := range r.gates {
		var row []*proxy
		for j, to := range r.gates {
			if i == j {
				row = append(row, nil)
				continue
			}
			at, err := net.ResolveUDPAddr("udp", to.PeerAddr)
			if err != nil {
				return err
			}
			p, err := newProxy(at, r.opt.Seed<<16+uint64(i<<8+j))
			if err != nil {
				return err
			}
			row = append(row, p)
		}
		r.links = append(r.links, row)
	}
	return nil
}

// Close ends all that was started.
func (r *Cluster) Close() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.all.Wait()
	for _, p := range r.gates {
		if p.Running() {
			p.Kill()
		}
	}
	for _, row := range r.links {
		for _, p := range row {
			if p != nil {
				p.conn.Close()
			}
		}
	}
	if r.liar != nil {
		r.liar.conn.Close()
	}
	if r.platform != nil {
		r.platform.close()
	}
	os.RemoveAll(r.dir)
}

// Result is what has been counted so far.
func (r *Cluster) Result() Result {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.res
	res.Violations = append([]string(nil), r.res.Violations...)
	slack := max(mostUnits, 0.1*limitStore(r.opt.HostsPerVolume))
	res.AllowedOverLimit = slack + limitRate*slackMs/1000
	for v, s := range r.platform.stores {
		res.MaxOverLimit = max(res.MaxOverLimit, -s.worst)
		if -s.worst > res.AllowedOverLimit {
			res.OverLimit++
			res.Violations = append(res.Violations, fmt.Sprintf("volume %x: %.1f units over its limit, %.1f are allowed", v, -s.worst, res.AllowedOverLimit))
		}
	}
	res.DuplicateArrivals = r.platform.doubled
	if res.DuplicateArrivals > 0 {
		res.Violations = append(res.Violations, fmt.Sprintf("%d requests of a class that must never run twice came to nodes again", res.DuplicateArrivals))
	}
	for _, row := range r.links {
		for _, p := range row {
			if p != nil {
				p.mu.Lock()
				res.Datagrams += p.link.passed
				p.mu.Unlock()
			}
		}
	}
	return res
}

// ---- faults ----

// each calls f for each link, with its two ends.
func (r *Cluster) each(f func(from, to int) DatagramFaults) {
	for i, row := range r.links {
		for j, p := range row {
			if p != nil {
				p.set(f(i, j))
			}
		}
	}
}

func (r *Cluster) partition(side func(g int) bool, oneWay bool) {
	r.count(func(res *Result) { res.Partitions++ })
	r.log.Printf("(partition, one way %v)", oneWay)
	r.each(func(from, to int) DatagramFaults {
		return DatagramFaults{Cut: side(from) != side(to) && (!oneWay || side(from))}
	})
}

func (r *Cluster) heal() {
	r.log.Printf("(links are well)")
	r.each(func(int, int) DatagramFaults { return DatagramFaults{} })
}

func (r *Cluster) kill(g int) {
	r.count(func(res *Result) { res.Kills++ })
	r.gates[g].Kill()
}

func (r *Cluster) restart(g int) {
	if err := r.gates[g].Start(); err != nil {
		r.broken("%v", err)
	}
}

func (r *Cluster) pause(g int, d time.Duration) {
	r.count(func(res *Result) { res.Pauses++ })
	r.gates[g].Signal(syscall.SIGSTOP)
	r.wait(d)
	r.gates[g].Signal(syscall.SIGCONT)
}

// ejected counts the gateways, of some, that have nearly stopped sending to a node between two counts, while they sent
// to the next as before: each request goes to either by chance.
func (r *Cluster) ejected(of func(g int) bool, shard int, before [][]int) {
	now := r.platform.counts()
	for g := range r.gates {
		next := (shard + 1) % r.opt.Shards
		there, other := now[g][shard]-before[g][shard], now[g][next]-before[g][next]
		if of(g) && other >= 20 && 4*there < other {
			r.count(func(res *Result) { res.WrongEjections++ })
			r.broken("n%d sent %d requests to a node that serves it well, %d to the other", g, there, other)
		}
	}
}

// recovers waits until a node that is well again gets half of what the next one gets, from all gateways together, and
// notes how long that took. It gives up behind twice the bound.
func (r *Cluster) recovers(shard int) {
	began, last := time.Now(), r.platform.counts()
	for {
		r.whole(400 * time.Millisecond)
		now := r.platform.counts()
		there, next := 0, 0
		for g := range r.gates {
			there += now[g][shard] - last[g][shard]
			next += now[g][(shard+1)%r.opt.Shards] - last[g][(shard+1)%r.opt.Shards]
		}
		last = now
		took := float64(time.Since(began).Milliseconds())
		if 2*there >= next && there >= len(r.gates) || took > 2*RecoveryBoundMs {
			r.count(func(res *Result) { res.RecoveryMs = max(res.RecoveryMs, took) })
			if took > RecoveryBoundMs && r.opt.TimeScale == 0 { // short runs are for any machine, and times are this one's
				r.broken("a node that is well again is used after %.0f ms, bound %.0f", took, RecoveryBoundMs)
			}
			return
		}
	}
}

// shift gives the lead of each volume to the next of its hosts.
func (r *Cluster) shift() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for v := range r.lead {
		r.lead[v] = (r.lead[v] + 1) % r.opt.HostsPerVolume
	}
}

// whole waits for all of a time, also where the run is short: a bound of the program's has to pass.
func (r *Cluster) whole(d time.Duration) {
	select {
	case <-r.stop:
	case <-time.After(d):
	}
}

// wait waits, for a part of the time where the run is to be short.
func (r *Cluster) wait(d time.Duration) {
	if r.opt.TimeScale > 0 {
		d = time.Duration(float64(d) * r.opt.TimeScale)
	}
	r.whole(d)
}

func (r *Cluster) count(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.res)
}

func (r *Cluster) broken(format string, args ...any) {
	text, at := fmt.Sprintf(format, args...), r.log.Position()
	r.log.Printf("BROKEN: %s", text)
	r.count(func(res *Result) {
		if res.Violations = append(res.Violations, text); len(res.Violations) == 1 {
			r.breach = at
		}
	})
}

// FirstViolationLog is what all processes wrote around the first breach, or at the end where it was counted there.
func (r *Cluster) FirstViolationLog() string {
	r.mu.Lock()
	at := r.breach
	r.mu.Unlock()
	if at == 0 {
		at = r.log.Position()
	}
	return strings.Join(r.log.LinesAround(at, 50, 20), "\n")
}

// ---- clients ----

func volumeID(v int) uint64 { return uint64(0xb000 + v) }

// hosts are the gateways through which a volume's requests come.
func (r *Cluster) hosts(v int) (gates []*process.Process) {
	for i := range r.opt.HostsPerVolume {
		gates = append(gates, r.gates[(v+i)%len(r.gates)])
	}
	return gates
}

// traffic is a volume's: load times its limit, nearly all through the gateway that has the lead.
func (r *Cluster) traffic(v int) {
	rnd := rand.New(rand.NewPCG(r.opt.Seed, uint64(100+v)))
	volume := volumeID(v)
	hosts := r.hosts(v)
	var clients []*http.Client
	for range hosts {
		clients = append(clients, &http.Client{Timeout: deadlineMs*time.Millisecond + time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	}
	for {
		r.mu.Lock()
		load, lead := r.load, r.lead[v]
		r.mu.Unlock()
		gap := time.Duration(rnd.ExpFloat64() / (load * limitRate / meanUnits) * float64(time.Second))
		select {
		case <-r.stop:
			return
		case <-time.After(gap):
		}
		g := lead
		if rnd.IntN(20) == 0 {
			g = rnd.IntN(len(hosts))
		}
		units := 1 + rnd.IntN(3)
		if rnd.IntN(25) == 0 {
			units = int(mostUnits)
		}
		r.mu.Lock()
		r.next++
		id := requestID(volume, units, r.next)
		r.mu.Unlock()
		shard := rnd.IntN(r.opt.Shards)
		r.all.Go(func() { r.ask(clients[g], hosts[g], volume, units, shard, id) })
	}
}

func (r *Cluster) ask(c *http.Client, g *process.Process, volume uint64, units, shard int, id string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/pull/%016x", g.ListenAddr, volume), nil)
	if err != nil {
		return
	}
	for k, v := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": "pull", "X-Plan": "basic",
		"X-Time-Left-Ms": strconv.Itoa(deadlineMs),
		"X-IO":           fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=%d", volume, units, shard, r.opt.HostsPerVolume)} {
		req.Header.Set(k, v)
	}
	began := time.Now()
	resp, err := c.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	ended := time.Now()
	if err != nil {
		if !g.InterruptedDuring(began.Add(-50*time.Millisecond), ended) && !strings.Contains(err.Error(), "refused") {
			r.broken("%s: %s lost after %v: %v", id, g.Name, ended.Sub(began), err)
			r.count(func(res *Result) { res.Lost++ })
		}
		return
	}
	r.count(func(res *Result) {
		switch {
		case resp.StatusCode == http.StatusOK && strings.HasPrefix(string(text), id+" "):
			res.Served++
			res.ServedUnits += float64(units)
		case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
			res.Rejected++
		case resp.StatusCode >= 500:
			res.Failed++
		default:
			res.Violations = append(res.Violations, fmt.Sprintf("%s: answered %d %.40q", id, resp.StatusCode, text))
		}
	})
	if late := ended.Sub(began) - deadlineMs*time.Millisecond; late > 500*time.Millisecond && !g.InterruptedDuring(began.Add(-50*time.Millisecond), ended) {
		r.broken("%s: answered %v late", id, late)
	}
}
