package cluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
	"gaugerelay/internal/testbed/process"
)

// Streams of random numbers that are derived from the seed of a run. A change of these values changes the schedule of each
// seed.
const (
	datagramStream = 41
	scenarioStream = 42
	trafficStream  = 100 // stream of the first volume; the following volumes use the following numbers
)

// loopbackBlock is the second octet of the loopback addresses of this package's gateways. It differs from that of other
// packages that start gateways; see loopback.Host.
const loopbackBlock = 1

// gossipPeriodMs is the time between two probes that a gateway sends.
const gossipPeriodMs = 200

// defaultLoad is the rate of the traffic of each volume, as a multiple of the volume's limit.
const defaultLoad = 1.4

// A sleep of stallCheckInterval that takes longer than stallLimit counts as a stall of the machine.
const (
	stallCheckInterval = 20 * time.Millisecond
	stallLimit         = 200 * time.Millisecond
)

// Numbers of log lines that FirstViolationLog returns.
const (
	linesBeforeViolation = 50
	linesAfterViolation  = 20
)

// Options are the parameters of a run.
type Options struct {
	Binary         string // path of the gateway program
	Gateways       int
	HostsPerVolume int // number of gateways that receive the requests of each volume
	Volumes        int
	Shards         int
	Seed           uint64
	Gossip         bool    // whether gateways communicate with each other
	LeaseMs        float64 // lifetime of a quota lease
	TimeScale      float64 // factor for the waiting times of scenarios, below 1 for short runs; 0: the waiting times are not changed
}

// Cluster is a running fleet of gateways with its fakes.
type Cluster struct {
	options   Options
	dir       string // directory of the gateways' files
	log       *process.Log
	platform  *platform
	byzantine *byzantinePeer
	gateways  []*process.Process
	links     [][]*datagramProxy // indexed by sender, then by receiver; nil from a gateway to itself
	random    *rand.Rand         // random generator of the scenarios

	stop       chan struct{}  // channel that is closed to end the traffic and the stall detector
	goroutines sync.WaitGroup // goroutines of the traffic and of the stall detector

	mu                sync.Mutex
	result            Result
	violationPosition int   // log position of the first violation that addViolation recorded; 0: none
	primaryHosts      []int // for each volume: index of the host that receives most of the volume's requests
	requestCount      int
}

// StartCluster starts the fakes, the gateways and the traffic. Nothing is left running if it returns an error.
func StartCluster(options Options) (c *Cluster, err error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	c = &Cluster{options: options, random: rand.New(rand.NewPCG(options.Seed, scenarioStream)), log: process.NewLog(), dir: dir,
		primaryHosts: make([]int, options.Volumes), stop: make(chan struct{})}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() (err error) {
	if c.platform, err = newPlatform(c.options.Gateways, c.options.Shards, c.options.HostsPerVolume); err != nil {
		return err
	}
	if err := c.chooseAddresses(); err != nil {
		return err
	}
	if err := c.startLinks(); err != nil {
		return err
	}
	if c.byzantine, err = newByzantinePeer(len(c.gateways)); err != nil {
		return err
	}
	for _, gateway := range c.gateways {
		if err := c.startGateway(gateway); err != nil {
			return err
		}
	}
	for volume := range c.options.Volumes {
		c.goroutines.Go(func() { c.sendRequests(volume) })
	}
	c.goroutines.Go(c.detectStalls)
	return nil
}

// chooseAddresses chooses the addresses of all gateways. A gateway keeps its addresses when it is restarted.
func (c *Cluster) chooseAddresses() (err error) {
	for index := range c.options.Gateways {
		gateway := &process.Process{Index: index, Name: fmt.Sprintf("n%d", index), Binary: c.options.Binary, Log: c.log}
		host := loopback.Host(loopbackBlock, index)
		if gateway.ListenAddr, err = loopback.FreeTCPAddr(host); err != nil {
			return err
		}
		if gateway.PeerAddr, err = loopback.FreeUDPAddr(host); err != nil {
			return err
		}
		c.gateways = append(c.gateways, gateway)
	}
	return nil
}

// startLinks starts a proxy for the datagrams from each gateway to each other one.
func (c *Cluster) startLinks() error {
	for from := range c.gateways {
		var links []*datagramProxy
		for to, receiver := range c.gateways {
			if from == to {
				links = append(links, nil)
				continue
			}
			link, err := newDatagramProxy(receiver.PeerAddr, c.options.Seed<<16+uint64(from<<8+to))
			if err != nil {
				return err
			}
			links = append(links, link)
		}
		c.links = append(c.links, links)
	}
	return nil
}

// startGateway writes the files of a gateway and starts it for the first time.
func (c *Cluster) startGateway(gateway *process.Process) error {
	config := c.platform.gatewayConfig(gateway, c.options.Gateways)
	if err := gateway.WriteConfig(filepath.Join(c.dir, gateway.Name), config, c.edgeConfig(gateway)); err != nil {
		return err
	}
	return gateway.Start()
}

// edgeConfig returns the operator's file of a gateway, or nil if gateways do not communicate. The file lists each other gateway
// with the address of the proxy to it, and the byzantine peer as the last peer.
func (c *Cluster) edgeConfig(gateway *process.Process) *process.EdgeConfig {
	if !c.options.Gossip {
		return nil
	}
	peers := []string{}
	for index, link := range c.links[gateway.Index] {
		if link == nil {
			peers = append(peers, c.gateways[index].PeerAddr)
		} else {
			peers = append(peers, link.addr())
		}
	}
	peers = append(peers, c.byzantine.addr())
	return &process.EdgeConfig{Fleet: &process.FleetConfig{Listen: gateway.PeerAddr, Self: gateway.Index, Peers: peers, Key: fleetKey,
		PeriodMs: gossipPeriodMs, LeaseMs: c.options.LeaseMs}}
}

// detectStalls records the times when the machine is too busy for timing checks.
func (c *Cluster) detectStalls() {
	process.DetectStalls(c.stop, stallCheckInterval, stallLimit, func(stall process.Interval) {
		c.log.Printf("(the machine stalled for %v)", stall.To.Sub(stall.From))
		for _, gateway := range c.gateways {
			gateway.RecordStall(stall)
		}
		c.updateResult(func(result *Result) { result.Stalls++ })
	})
}

// Close ends all processes, fakes and goroutines and removes the files. Further calls have no effect.
func (c *Cluster) Close() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.goroutines.Wait()
	for _, gateway := range c.gateways {
		if gateway.Running() {
			gateway.Kill()
		}
	}
	c.eachLink(func(_, _ int, link *datagramProxy) { link.close() })
	if c.byzantine != nil {
		c.byzantine.close()
	}
	if c.platform != nil {
		c.platform.close()
	}
	_ = os.RemoveAll(c.dir) // a leftover temporary directory is harmless
}

// eachLink calls a function for each proxy between two gateways.
func (c *Cluster) eachLink(visit func(from, to int, link *datagramProxy)) {
	for from, links := range c.links {
		for to, link := range links {
			if link != nil {
				visit(from, to, link)
			}
		}
	}
}

// updateResult calls update with the result while c.mu is held.
func (c *Cluster) updateResult(update func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.result)
}

// addViolation records and logs a violation of an invariant. It increments no count of Result.
func (c *Cluster) addViolation(format string, args ...any) {
	text, position := fmt.Sprintf(format, args...), c.log.Position()
	c.log.Printf("VIOLATION: %s", text)
	c.updateResult(func(result *Result) {
		result.Violations = append(result.Violations, text)
		if len(result.Violations) == 1 {
			c.violationPosition = position
		}
	})
}

// FirstViolationLog returns the log lines of all processes around the first violation. If the position of the first violation
// is not known, because it was not recorded with addViolation, FirstViolationLog returns the last lines.
func (c *Cluster) FirstViolationLog() string {
	c.mu.Lock()
	position := c.violationPosition
	c.mu.Unlock()
	if position == 0 {
		position = c.log.Position()
	}
	return strings.Join(c.log.LinesAround(position, linesBeforeViolation, linesAfterViolation), "\n")
}
