// Package soak runs one gateway with all its fronts for devices between stand-in devices on poor links and stand-in
// nodes that fail, drain and start anew, and checks what devices saw against what nodes ran.
//
// It runs on any network and in any time: on loopback sockets by the machine's clock, or in memory in a bubble of
// testing/synctest, where ten minutes take seconds.
package soak

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"path"
	"sync"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed/fakedevice"
	"gaugerelay/internal/testbed/fakefileserver"
	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/invariants"
	"gaugerelay/internal/testbed/linkshaper"
	"gaugerelay/internal/testbed/testsettings"
)

// Options are a run.
type Options struct {
	Duration            time.Duration
	Seed                uint64
	Devices             int
	Links               []linkshaper.Profile // dealt out in turn
	Deduplication       bool                 // without it the same devices speak as the platform's clients do
	Protocols           string               // of "chf": CoAP, HTTP, file commands, dealt out in turn
	RestartInterval     time.Duration        // mean time between restarts of the gateway; 0: none
	ReplacementInterval time.Duration        // mean time between a node's replacements; 0: none
	Faults              fakestorage.Faults
	QuirkRate           float64 // part of the jobs in which devices behave oddly
	Network             gateway.Network

	ResponseTimeout time.Duration // of all devices, before they give up a silent connection; 0: each has its own
	WritesOnly      bool
}

const (
	shards    = 4
	window    = 3 * time.Second // of the stand-in's settings, as is the time of a push
	pushTime  = 5500 * time.Millisecond
	readTime  = 9 * time.Second
	startTime = 50 * time.Millisecond // of a process
	work      = 20 * time.Millisecond // of a node for a request
	root      = "/devices"
)

// Report is what came of a run.
type Report struct {
	*invariants.Result
	Restarts, Replacements int
	Counters               map[string]int64
}

// rig is the run.
type rig struct {
	Options
	check *invariants.Checker
	cells [shards]*fakestorage.Shard
	files [shards]*fakefileserver.Server

	mu       sync.Mutex
	rnd      *rand.Rand
	gw       *gateway.Gateway
	nodes    []*running
	version  uint64
	number   int
	restarts int
	ups      []time.Time // when gateways started
	addrs    map[string]string
	counters map[string]int64
	out      []net.Conn     // to nodes, of the gateway that runs
	ends     int            // of gateways so far
	lives    map[string]int // of the gateway, by the upload key of a file write under way
}

type running struct {
	node  *fakestorage.Server
	entry *lifecycle.Server
	ln    net.Listener
	fileL net.Listener
}

// Run runs it.
func Run(o Options) (*Report, error) {
	r := &rig{Options: o, check: invariants.New(), rnd: rand.New(rand.NewPCG(o.Seed, 1)), addrs: map[string]string{},
		counters: map[string]int64{}, lives: map[string]int{}}
	for i := range shards {
		r.cells[i] = &fakestorage.Shard{Name: fmt.Sprint("cell", i), DedupWindow: window}
		r.files[i] = fakefileserver.NewUnstarted()
		r.files[i].AfterEffect = r.fileRan(i)
		r.files[i].BeforeEffect = func(c fakefileserver.Command) error {
			if c.Op == "write" {
				r.mu.Lock()
				r.lives[c.UploadKey] = len(r.ups) // of the gateway that sent it; it may be another when it is done
				r.mu.Unlock()
				time.Sleep(work)
			}
			return nil
		}
		if err := r.addNode(i, 0); err != nil {
			return nil, err
		}
	}
	if err := r.startGateway(); err != nil {
		return nil, err
	}
	end := time.Now().Add(o.Duration)
	var all sync.WaitGroup
	for i := range o.Devices {
		all.Go(func() { r.device(i, end) })
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { r.drains(stop) })
	faults.Go(func() { r.restart(stop) })
	all.Wait()
	close(stop)
	faults.Wait()
	r.mu.Lock()
	gw := r.gw
	r.mu.Unlock()
	gw.Stop()
	r.collect(gw)
	for _, n := range r.nodes {
		n.stop()
	}
	return &Report{Result: r.check.Result(), Restarts: r.restarts, Replacements: r.number - shards, Counters: r.counters}, nil
}

func (n *running) stop() {
	n.node.Stop()
	n.fileL.Close()
}

// addNode starts a node for a cell and lists it.
func (r *rig) addNode(cell int, startedMs float64) error {
	r.number++
	name := fmt.Sprint("s-", r.number)
	ln, err := r.Network.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	fileL, err := r.Network.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	n := &running{ln: ln, fileL: fileL, node: &fakestorage.Server{Name: name, Shard: r.cells[cell], ServiceTime: work,
		Faults: r.Faults, Checker: r.check},
		entry: &lifecycle.Server{Name: name, Addr: ln.Addr().String(), Shard: cell, Weight: 1, StartedMs: startedMs}}
	n.node.Start(ln, r.Seed+uint64(r.number))
	go r.files[cell].Serve(fileL)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addrs[name] = fileL.Addr().String()
	r.nodes = append(r.nodes, n)
	return nil
}

// list is the present node list.
func (r *rig) list() lifecycle.EndpointUpdate {
	r.version++
	l := lifecycle.EndpointUpdate{Version: r.version, Kind: scheduler.Snapshot}
	for _, n := range r.nodes {
		e := *n.entry
		l.Servers = append(l.Servers, &e)
	}
	return l
}

func (r *rig) tell() {
	r.mu.Lock()
	l, gw := r.list(), r.gw
	r.mu.Unlock()
	gw.Nodes(l)
}

// drains replaces nodes: one drains, another of its cell starts, and the old one is gone a little later.
func (r *rig) drains(stop chan struct{}) {
	for r.ReplacementInterval > 0 && r.pause(stop, r.ReplacementInterval) {
		r.mu.Lock()
		var old *running
		for _, n := range r.nodes {
			if n.entry.State == scheduler.Ready && (old == nil || r.rnd.IntN(shards) == 0) {
				old = n
			}
		}
		old.entry.State = scheduler.Draining
		r.mu.Unlock()
		if r.addNode(old.entry.Shard, clock.Ms(time.Duration(time.Now().UnixNano()))) != nil {
			return
		}
		r.tell()
		old.node.Drain()
		wait := time.NewTimer(3 * time.Second)
		select {
		case <-wait.C:
		case <-stop:
		}
		r.mu.Lock()
		for i, n := range r.nodes {
			if n == old {
				r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
				break
			}
		}
		r.mu.Unlock()
		r.tell()
		old.stop()
	}
}

// pause waits for a drawn time; false if the run is over.
func (r *rig) pause(stop chan struct{}, mean time.Duration) bool {
	r.mu.Lock()
	d := time.Duration(r.rnd.ExpFloat64() * float64(mean))
	r.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}

// restart stops the gateway, by turns outright and in order, and starts it anew.
func (r *rig) restart(stop chan struct{}) {
	for n := 0; r.RestartInterval > 0 && r.pause(stop, r.RestartInterval); n++ {
		r.mu.Lock()
		old := r.gw
		r.mu.Unlock()
		if n%2 == 0 {
			old.Kill()
		} else {
			old.Stop()
		}
		r.resetOut()
		time.Sleep(startTime) // what it sent at the last moment comes to its end
		r.collect(old)
		r.check.RecordRestart()
		if err := r.startGateway(); err != nil {
			panic(err)
		}
		r.mu.Lock()
		r.restarts++
		r.mu.Unlock()
	}
}

func (r *rig) collect(gw *gateway.Gateway) {
	for name, n := range gw.Metrics.Snapshot() {
		r.counters[name] += n
	}
}

// startGateway starts it at the addresses it had.
func (r *rig) startGateway() error {
	set := testsettings.Settings(shards)
	var push scheduler.Class
	for _, c := range set.Classes {
		if c.Name == "push" {
			push = c
		}
	}
	r.mu.Lock()
	known := r.list()
	known.Kind = scheduler.CachedSnapshot
	r.mu.Unlock()
	for _, what := range []string{"platform", "coap", "http", "files"} {
		if r.addrs[what] == "" {
			ln, err := r.Network.Listen("127.0.0.1:0")
			if err != nil {
				return err
			}
			r.addrs[what] = ln.Addr().String()
			ln.Close()
		}
	}
	cfg := &config.Config{Name: "soak", Listen: r.addrs["platform"], Discovery: "127.0.0.1:1", MaxSockets: 4096,
		IdleConnTimeoutMs: 30_000, ConnectTimeoutMs: 1000, KnownEndpoints: known, Settings: set, Seed: r.Seed}
	edge := &config.Edge{SFTP: &config.SFTP{Listen: r.addrs["files"], MaxConns: 4 * r.Devices, UnitBytes: 16 << 10,
		ReadClass: set.Classes[0], WriteClass: push, Roots: []config.SFTPRoot{{Path: root, Plan: "business", Volume: 7, Hosts: 1}},
		LookupBackend: r.fileAddr}}
	if r.Deduplication {
		edge.Devices = &config.Devices{CoAP: r.addrs["coap"], HTTP: r.addrs["http"], MaxConns: 4 * r.Devices, MaxOpenRequests: 8,
			MaxMessageBytes: 33 << 10, FirstMessageTimeout: 10 * time.Second, IdleTimeout: time.Minute, HoldOff: time.Second,
			Exchanges: exchange.Settings{MaxExchanges: 100 * r.Devices, MaxDevices: 2*r.Devices + 8, MaxActivePerDevice: 16,
				MaxWaitingCopies: 4, MaxHeldBytes: 64 << 20, MaxBodyBytes: 64 << 10, MaxUploadBlocks: 1024, RetentionMs: 30_000,
				UploadIdleTimeoutMs: 20_000, MinRunMs: 20, MaxRetryAfterMs: 2000,
				Link: exchange.LinkSettings{MinIdleTimeoutMs: 2000, MaxIdleTimeoutMs: 8000, MinBlockSize: 64, MaxBlockSize: 8 << 10, MaxBlockTransferMs: 300}}}
	}
	gw, err := gateway.New(cfg, edge, clock.NewSystem(), gateway.Network{Listen: r.Network.Listen, Dial: r.dialNodes()})
	if err != nil {
		return err
	}
	if err := gw.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gw = gw
	r.ups = append(r.ups, time.Now())
	return nil
}

// dialNodes is how the next gateway connects to nodes: the end of a process resets its connections.
func (r *rig) dialNodes() func(ctx context.Context, network, addr string) (net.Conn, error) {
	dial := r.Network.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	r.mu.Lock()
	mine := r.ends
	r.mu.Unlock()
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.ends != mine { // it has ended in the meantime
			c.Close()
			return nil, net.ErrClosed
		}
		r.out = append(r.out, c)
		return c, nil
	}
}

// resetOut ends what a gateway has left behind.
func (r *rig) resetOut() {
	r.mu.Lock()
	out := r.out
	r.out = nil
	r.ends++
	r.mu.Unlock()
	for _, c := range out {
		c.Close()
	}
}

func (r *rig) fileAddr(node string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addr, ok := r.addrs[node]
	return addr, ok
}

// fileRan tells the checker of WRITEs that reached a file port.
func (r *rig) fileRan(cell int) func(fakefileserver.Command) error {
	return func(c fakefileserver.Command) error {
		if c.Op == "write" {
			r.mu.Lock()
			life := r.lives[c.UploadKey] // a file client can't mark a repeat: to a gateway that has started anew it is new
			delete(r.lives, c.UploadKey)
			r.mu.Unlock()
			r.check.RecordExecution(path.Base(c.Path), invariants.Execution{Server: "file", Shard: fmt.Sprint("cell", cell), Key: c.UploadKey,
				Content: fakestorage.Digest(c.Data), At: time.Now(), Deduplicated: c.Deduplicated, Incarnation: life})
		}
		return nil
	}
}

// dial connects a device to a front over a link.
func (r *rig) dial(what string, s *linkshaper.Shaper) fakedevice.Dialer {
	return func(ctx context.Context) (net.Conn, fakedevice.Link, error) {
		r.mu.Lock()
		addr := r.addrs[what]
		r.mu.Unlock()
		dial := r.Network.Dial
		if dial == nil {
			dial = (&net.Dialer{}).DialContext
		}
		up, err := dial(ctx, "tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		near, far := net.Pipe()
		began := time.Now()
		link := s.Join(far, up)
		return near, &restartable{link, r, began}, nil
	}
}

// restartable is a link to a gateway that may have been killed.
type restartable struct {
	*linkshaper.Link
	r     *rig
	began time.Time
}

func (l *restartable) FaultySince(since time.Time) bool {
	return l.Link.FaultySince(since) || l.r.restartedSince(l.began)
}

func (r *rig) restartedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ups[len(r.ups)-1].After(t)
}

// device is one device's life.
func (r *rig) device(i int, end time.Time) {
	rnd := rand.New(rand.NewPCG(r.Seed, uint64(1000+i)))
	link := &linkshaper.Shaper{Profile: r.Links[i%len(r.Links)], Seed: r.Seed*1_000_003 + uint64(i)}
	name := fmt.Sprint("device-", i)
	d := &fakedevice.Device{Name: name, Checker: r.check, Rand: rnd, QuirkRate: r.QuirkRate,
		ResponseTimeout: time.Duration(1500+rnd.IntN(2000)) * time.Millisecond}
	if r.ResponseTimeout > 0 {
		d.ResponseTimeout = r.ResponseTimeout
	}
	kind := r.Protocols[(i/len(r.Links))%len(r.Protocols)]
	block := []int{0, 1024, 4096, 8192}[rnd.IntN(4)]
	wire := func() fakedevice.Transport {
		switch {
		case kind == 'f':
			return &fakedevice.SFTP{Dial: r.dial("files", link), Root: root, ResponseTime: window}
		case !r.Deduplication:
			return &fakedevice.HTTP{Device: name, Dial: r.dial("platform", link), WithoutDeviceHeaders: true}
		case kind == 'h':
			return &fakedevice.HTTP{Device: name, Dial: r.dial("http", link)}
		}
		return &fakedevice.CoAP{Device: name, Dial: r.dial("coap", link), BlockSize: block, MaxMessageSize: 16 << 10}
	}
	if kind == 'f' { // it can't mark a copy: what it sends on purpose is another WRITE
		d.QuirkRate = 0
	}
	d.Transport = wire()
	defer d.Transport.Close()
	if kind != 'f' { // a file client's connections share no name
		d.SecondTransport = wire()
		defer d.SecondTransport.Close()
	}
	time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
	for n := 0; time.Now().Before(end); n++ {
		j := r.job(rnd, i, n, kind)
		size := len(j.Body)
		worth := 1.0 // of a bulk-read, as the stand-in's settings have it
		if j.Write {
			worth = 2
		}
		r.check.Begin(invariants.Exchange{ID: j.Object, Write: j.Write, Weight: worth, DedupWindow: window, Deadline: j.Deadline, Size: size})
		d.Do(j)
		time.Sleep(time.Duration(50+rnd.IntN(500)) * time.Millisecond)
	}
}

// job draws an exchange.
func (r *rig) job(rnd *rand.Rand, dev, n int, kind byte) fakedevice.Exchange {
	var id [8]byte
	binary.BigEndian.PutUint32(id[:4], uint32(dev+1))
	binary.BigEndian.PutUint32(id[4:], uint32(n+1))
	j := fakedevice.Exchange{Object: hex.EncodeToString(id[:]), Key: fmt.Sprintf("key-%d", n), Shard: rnd.IntN(shards+1) - 1}
	size := 100 + rnd.IntN(1500)
	if rnd.IntN(4) == 0 {
		size = 2000 + rnd.IntN(12_000)
	}
	if kind == 'f' || r.WritesOnly || rnd.Float64() < 0.6 {
		j.Write, j.Class, j.Deadline = true, "push", time.Now().Add(pushTime)
		j.Body = fakestorage.ObjectData("body-"+j.Object, size)
		return j
	}
	if j.Shard < 0 {
		j.Shard = 0
	}
	j.Class, j.Deadline, j.Size = "bulk-read", time.Now().Add(readTime), 2*size
	return j
}
