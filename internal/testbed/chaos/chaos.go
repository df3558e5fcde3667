// Package chaos runs several processes of the real program on loopback against fakes of discovery, of the storage
// servers and of the clients, injects faults that overlap, drawn by a seed, and judges what servers and clients saw by
// the rules that must always hold. It knows a gateway by its command line, its ports, its signals and its answers only.
package chaos

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/testbed/process"
)

// Options are a run.
type Options struct {
	Binary          string // of the gateway
	Gateways        int
	FleetSize       int // as many gateways as the settings name; 0: as many as there are
	Shards          int
	Seconds         float64
	Seed            uint64
	PushDiscovery   bool    // lists are pushed by an agent; otherwise asked for
	RequestRate     float64 // requests a second to each gateway
	FailSystemCalls bool    // the program was built with the chaos tag: its system calls fail now and then
	DebugLog        bool    // gateways log each request
	Faults          []string
	LogOutput       io.Writer // gets the log of all processes where a rule was broken
}

func (o *Options) siblings() int {
	if o.FleetSize > 0 {
		return o.FleetSize
	}
	return o.Gateways
}

// gateway is one process, with when it was started, killed, told to end, and held up.
type gateway struct {
	*process.Process
	config string // its file
	at     int    // which of its two discovery addresses it uses

	busy   sync.Mutex // held by the fault that handles the process
	lives  []time.Time
	kills  []span
	stops  []span
	pauses []span
}

// rig is a run.
type rig struct {
	opt       Options
	began     time.Time
	dir       string
	log       *process.Log
	discovery *discovery
	gateways  []*gateway
	clients   []*clients

	mu         sync.Mutex
	rnd        *rand.Rand
	servers    []*server
	current    []*server // by shard: the one that serves it
	replacing  []bool    // by shard: another is being put in its place
	stalls     []span
	faults     int
	crashed    []string
	violations []string

	stop chan struct{}
	all  sync.WaitGroup // faults and clients
	http *http.Client
}

// Run plays a run and judges it.
func Run(o Options) (*Result, error) {
	r, err := start(o)
	if err != nil {
		r.close()
		return nil, err
	}
	defer r.close()
	r.play()
	return r.finish(), nil
}

// start starts the fakes and the processes.
func start(o Options) (*rig, error) {
	r := &rig{opt: o, began: time.Now(), log: process.NewLog(), rnd: rand.New(rand.NewPCG(o.Seed, 1)), stop: make(chan struct{}),
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if r.dir, err = os.MkdirTemp("", "chaos"); err != nil {
		return r, err
	}
	if r.discovery, err = newDiscovery(o.Gateways, o.PushDiscovery); err != nil {
		return r, err
	}
	for shard := range o.Shards {
		s, err := newServer(fmt.Sprintf("s-%d", shard), shard, "", time.Time{}, o.Seed)
		if err != nil {
			return r, err
		}
		r.servers, r.current, r.replacing = append(r.servers, s), append(r.current, s), append(r.replacing, false)
		r.discovery.publish(change{server: s, state: "Ready"})
	}
	for n := range o.Gateways {
		g, err := r.newGateway(n)
		if err != nil {
			return r, err
		}
		r.gateways = append(r.gateways, g)
		r.clients = append(r.clients, &clients{gateway: n, addr: g.ListenAddr, rnd: rand.New(rand.NewPCG(o.Seed, uint64(1000+n)))})
	}
	started := make(chan error, o.Gateways)
	for _, g := range r.gateways {
		go func() { started <- r.startGateway(g) }()
	}
	for range r.gateways {
		err = first(err, <-started)
	}
	return r, err
}

func first(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// newGateway writes what a gateway is told; it does not run yet.
func (r *rig) newGateway(n int) (*gateway, error) {
	// No connection out is made from this host, so none takes the port while the process is away.
	ln, err := net.Listen("tcp", fmt.Sprintf("127.2.%d.%d:0", 1+os.Getpid()%250, n+1))
	if err != nil {
		return nil, err
	}
	listen := ln.Addr().String()
	ln.Close()
	name := fmt.Sprintf("n%d", n)
	g := &gateway{Process: &process.Process{Index: n, Name: name, ListenAddr: listen, Binary: r.opt.Binary, Log: r.log}}
	if err := r.configure(g); err != nil {
		return nil, err
	}
	if r.opt.FailSystemCalls {
		// A wall clock may be off by an hour either way, and system calls fail now and then.
		offsets := []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}
		g.Env = append(g.Env, fmt.Sprintf("GAUGERELAY_FAULTS=seed=%d,rate=0.03,wall=%v", r.opt.Seed<<8+uint64(n), offsets[n%len(offsets)]))
	}
	if r.opt.DebugLog {
		g.Args = append(g.Args, "--log-level=debug")
	}
	return g, nil
}

// configure writes a gateway's file for the discovery address that it uses now.
func (r *rig) configure(g *gateway) error {
	text, err := gatewayConfig(r.opt, g.Index, g.ListenAddr, r.discovery.addrs[g.Index][g.at], r.discovery.known())
	if err != nil {
		return err
	}
	if g.config != "" {
		return os.WriteFile(g.config, text, 0o644)
	}
	dir := filepath.Join(r.dir, g.Name)
	g.config = filepath.Join(dir, "config.json")
	return g.WriteConfig(dir, text, nil)
}

func (r *rig) startGateway(g *gateway) error {
	r.mu.Lock()
	g.lives = append(g.lives, time.Now())
	r.mu.Unlock()
	return g.Start()
}

// play lets clients ask and faults happen for the run's time.
func (r *rig) play() {
	go r.watchMachine()
	for _, c := range r.clients {
		r.all.Go(func() { c.traffic(r.opt.RequestRate, r.opt.Shards, r.stop, &r.all) })
	}
	r.all.Go(r.schedule)
	time.Sleep(time.Duration(r.opt.Seconds * float64(time.Second)))
	close(r.stop)
	r.all.Wait()
}

// finish ends the gateways as the platform does and judges the run.
func (r *rig) finish() *Result {
	res := &Result{Gateways: r.opt.Gateways, Seed: r.opt.Seed}
	for _, g := range r.gateways {
		if g.Running() {
			r.readViolations(g)
		} else {
			r.crashed = append(r.crashed, g.Name+" has ended by itself")
		}
	}
	res.Faults, res.Stalls = r.faults, len(r.stalls)
	for _, text := range r.crashed {
		res.broken(&res.Crashed, "%s", text)
	}
	for _, text := range r.violations {
		res.broken(&res.GatewayReported, "%s", text)
	}
	r.judge(res)
	if res.ViolationCount() > 0 && r.opt.LogOutput != nil {
		for _, line := range r.log.LinesAround(0, 0, 1<<30) {
			fmt.Fprintln(r.opt.LogOutput, line)
		}
	}
	return res
}

func (r *rig) close() {
	for _, c := range r.clients {
		c.closeIdle()
	}
	for _, g := range r.gateways {
		if g.Running() {
			g.Kill()
		}
	}
	for _, s := range r.servers {
		s.stop()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	os.RemoveAll(r.dir)
}

// stallLimit is how late a sleep of this program ends before the machine counts as stalled.
const stallLimit = 60 * time.Millisecond

// watchMachine notes when the machine is too busy to tell anything of times.
func (r *rig) watchMachine() {
	const every = 10 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-r.stop:
			return
		case <-time.After(every):
		}
		now := time.Now()
		if now.Sub(last) > every+stallLimit {
			r.mu.Lock()
			r.stalls = append(r.stalls, span{last, now})
			r.mu.Unlock()
			r.log.Printf("(the machine stalled for %v)", now.Sub(last))
		}
		last = now
	}
}

// violation matches the counters of rules that a gateway itself has seen broken.
var violation = regexp.MustCompile(`(?m)^(rule_violations_\w+) ([1-9]\d*)$`)

// readViolations reads the counters that a gateway keeps of broken rules.
func (r *rig) readViolations(g *gateway) {
	resp, err := r.http.Get("http://" + g.ListenAddr + "/metrics")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for _, m := range violation.FindAllStringSubmatch(string(text), -1) {
		if m[1] == "rule_violations_closed_without_response" || len(g.pauses) == 0 { // a stop between a decision and its byte is nobody's fault
			r.note(&r.violations, "%s counts %s %s", g.Name, m[1], m[2])
		}
	}
}

func (r *rig) note(to *[]string, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*to = append(*to, fmt.Sprintf(format, args...))
}

// opened opens a span of a gateway; the function that is returned ends it.
func (r *rig) opened(spans *[]span) (over func()) {
	r.mu.Lock()
	*spans = append(*spans, span{from: time.Now()})
	at := len(*spans) - 1
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		(*spans)[at].to = time.Now()
	}
}

// ParseFaults reads the names of faults, separated by commas; "" stands for all of them.
func ParseFaults(text string) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	names := strings.Split(text, ",")
	for _, name := range names {
		if faultByName(name) == nil {
			return nil, fmt.Errorf("there is no fault %s", strconv.Quote(name))
		}
	}
	return names, nil
}
