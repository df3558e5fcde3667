// Package soak runs one gateway with all its device frontends between fakes of devices on poor links and fakes of storage
// servers that fail, drain and are replaced. It compares the responses that devices received with the requests that servers
// executed.
//
// The package owns the run: its servers, gateway and devices. [Run] starts a goroutine for each device and for each kind of
// fault and waits for them. Run works with any network and clock: with loopback sockets and the system clock, or in memory in a
// bubble of testing/synctest, where ten minutes take seconds. The random draws of devices and faults depend only on the seed.
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
	Duration time.Duration // time during which devices begin new exchanges
	Seed     uint64
	Devices  int
	// Uploaders is the number of further clients, which upload files by file commands. They use no shaped links.
	Uploaders int
	Links     []linkshaper.Profile // profiles of the links, assigned to the devices in turn
	// Deduplication says whether the gateway gets the operator's settings for devices, with which it deduplicates retransmissions.
	// Without these settings, devices that would use CoAP or HTTP send HTTP requests without device headers to platformFrontend.
	Deduplication       bool
	Protocols           string        // letters from "chf" (CoAP, HTTP, file commands), assigned in turn, each to len(Links) devices in a row
	RestartInterval     time.Duration // mean time between restarts of the gateway; 0: no restarts
	ReplacementInterval time.Duration // mean time between replacements of servers; 0: no replacements
	Faults              fakestorage.Faults
	Crowds              bool    // whether crowds hold connections of the frontends; needs a Network with real sockets
	QuirkRate           float64 // fraction of the exchanges that have a quirk, see fakedevice
	Network             gateway.Network

	ResponseTimeout time.Duration // time without a response after which a device gives up a connection; 0: each device draws its own
	WritesOnly      bool          // whether devices send only writes
}

const (
	shardCount    = 4
	dedupWindow   = 3 * time.Second // deduplication window of the class "push" in testsettings
	writeDeadline = 5500 * time.Millisecond
	readDeadline  = 9 * time.Second
	restartTime   = 50 * time.Millisecond // time between the end of an incarnation of the gateway and the start of the next
	serviceTime   = 20 * time.Millisecond // time that a server needs for a request
	drainTime     = 3 * time.Second       // time for which a replaced server drains before it is stopped
	fileRoot      = "/devices"
)

// Report is the outcome of a run.
type Report struct {
	*invariants.Result
	Restarts     int              // number of restarts of the gateway
	Replacements int              // number of replaced servers
	Counters     map[string]int64 // the gateway's metrics, summed over its incarnations
	// UnreleasedBytes is the memory that the last incarnation still counts as clients' data after its end. It must be 0.
	UnreleasedBytes int64
}

// run is the state of one soak run.
type run struct {
	options Options
	checker *invariants.Checker
	shards  [shardCount]shard

	mu                sync.Mutex // guards the fields below
	random            *rand.Rand // random generator of the faults
	servers           []*server  // servers in the endpoint list
	startedServers    int        // number of servers started so far
	listVersion       uint64     // latest version of the endpoint list
	gateway           *gateway.Gateway
	incarnation       int       // number of the gateway's incarnation, counted from 1
	startedAt         time.Time // when the current incarnation started
	restarts          int
	frontendAddrs     map[frontend]string
	fileAddrs         map[string]string // addresses of the file ports, by name of the server
	upstreamConns     []net.Conn        // upstream connections of the current incarnation
	endedIncarnations int               // number of ended incarnations
	counters          map[string]int64  // see Report.Counters

	// writeIncarnations holds the incarnation that sent each file write in progress, by upload key.
	writeIncarnations map[string]int
}

// Run runs the gateway, servers and devices that the options describe and returns a report.
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
	r.addCounters(last)
	for _, srv := range r.servers {
		srv.stop()
	}
	return &Report{Result: r.checker.Result(), Restarts: r.restarts, Replacements: r.startedServers - shardCount, Counters: r.counters,
		UnreleasedBytes: awaitReleasedMemory(last)}, nil
}

// runDevices runs the devices and injects faults until all devices have ended.
func (r *run) runDevices() {
	end := time.Now().Add(r.options.Duration)
	var devices, faults sync.WaitGroup
	for i := range r.options.Devices {
		devices.Go(func() { r.runDevice(i, end) })
	}
	for i := range r.options.Uploaders {
		devices.Go(func() { r.runUploader(i, end) })
	}
	stop := make(chan struct{})
	faults.Go(func() { r.replaceServers(stop) })
	faults.Go(func() { r.restartGateway(stop) })
	faults.Go(func() { r.overloadFrontends(stop) })
	devices.Wait()
	close(stop)
	faults.Wait()
}

func shardName(index int) string { return fmt.Sprint("shard", index) }
