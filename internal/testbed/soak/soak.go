// Package soak runs one gateway with all its frontends for devices between fakes of devices on poor links and fakes of
// storage servers that fail, drain and restart, and compares what devices received with what servers executed.
//
// The package owns the run: its servers, gateway and devices. [Run] starts a goroutine for each device and for each kind of
// fault and waits for them. It works on any network and clock: on loopback sockets by the machine's clock, or in memory in a
// bubble of testing/synctest, where ten minutes take seconds. What devices and faults draw depends on the seed alone.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"gaugerelay/internal/gateway"
	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/invariants"
	"gaugerelay/internal/testbed/linkshaper"
)

// Options are the parameters of a run.
type Options struct {
	Duration            time.Duration // how long devices begin new exchanges
	Seed                uint64
	Devices             int
	Links               []linkshaper.Profile // assigned to the devices in turn
	Deduplication       bool                 // whether devices use the frontends for devices; otherwise they speak as other clients do
	Protocols           string               // of "chf": CoAP, HTTP, file commands; assigned to the devices in turn
	RestartInterval     time.Duration        // mean time between restarts of the gateway; 0: none
	ReplacementInterval time.Duration        // mean time between replacements of servers; 0: none
	Faults              fakestorage.Faults
	QuirkRate           float64 // fraction of the exchanges in which a device behaves unusually
	Network             gateway.Network

	ResponseTimeout time.Duration // after which devices give up a silent connection; 0: each draws its own
	WritesOnly      bool
}

const (
	shardCount    = 4
	dedupWindow   = 3 * time.Second // of the class "push" in testsettings
	writeDeadline = 5500 * time.Millisecond
	readDeadline  = 9 * time.Second
	restartTime   = 50 * time.Millisecond // of the gateway's process
	serviceTime   = 20 * time.Millisecond // of a server for a request
	drainTime     = 3 * time.Second       // of a server that is replaced
	fileRoot      = "/devices"
)

// Report is the outcome of a run.
type Report struct {
	*invariants.Result
	Restarts     int              // of the gateway
	Replacements int              // of servers
	Counters     map[string]int64 // sums of the gateways' metrics
}

// run is the state of a run.
type run struct {
	options Options
	checker *invariants.Checker
	shards  [shardCount]shard

	mu             sync.Mutex // guards the fields below
	random         *rand.Rand // of the faults
	servers        []*server  // those that are listed
	startedServers int
	listVersion    uint64
	gateway        *gateway.Gateway
	incarnation    int       // of the gateway, from 1
	startedAt      time.Time // of the present incarnation
	restarts       int
	frontendAddrs  map[frontend]string
	fileAddrs      map[string]string // of file ports, by server
	upstreamConns  []net.Conn        // of the present gateway process
	endedProcesses int               // gateway processes whose connections were reset
	counters       map[string]int64

	// writeIncarnations holds the incarnation that sent each file write in progress, by upload key.
	writeIncarnations map[string]int
}

// Run runs the gateway, servers and devices that the options describe and returns what was observed.
func Run(options Options) (*Report, error) {
	r := &run{options: options, checker: invariants.New(), random: rand.New(rand.NewPCG(options.Seed, 1)),
		frontendAddrs: map[frontend]string{}, fileAddrs: map[string]string{}, counters: map[string]int64{},
		writeIncarnations: map[string]int{}}
	for i := range r.shards {
		r.shards[i] = r.newShard(i)
		if err := r.startServer(i, 0); err != nil {
			return nil, err
		}
	}
	if err := r.startGateway(); err != nil {
		return nil, err
	}
	r.runDevices()
	r.mu.Lock()
	last := r.gateway
	r.mu.Unlock()
	last.Shutdown()
	r.collectCounters(last)
	for _, srv := range r.servers {
		srv.stop()
	}
	return &Report{Result: r.checker.Result(), Restarts: r.restarts, Replacements: r.startedServers - shardCount, Counters: r.counters}, nil
}

// runDevices runs devices and faults until the devices have ended.
func (r *run) runDevices() {
	end := time.Now().Add(r.options.Duration)
	var devices, faults sync.WaitGroup
	for i := range r.options.Devices {
		devices.Go(func() { r.runDevice(i, end) })
	}
	stop := make(chan struct{})
	faults.Go(func() { r.replaceServers(stop) })
	faults.Go(func() { r.restartGateway(stop) })
	devices.Wait()
	close(stop)
	faults.Wait()
}

func shardName(index int) string { return fmt.Sprint("shard", index) }
