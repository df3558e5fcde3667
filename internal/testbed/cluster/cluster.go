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

// Streams of random numbers that are drawn from the seed of a run. Values must stay, or seeds give other schedules.
const (
	datagramStream = 41
	scenarioStream = 42
	trafficStream  = 100 // and following, one for each volume
)

// loopbackBlock is the block of loopback addresses that the gateways of this package use.
const loopbackBlock = 1

// gossipPeriodMs is the time between two probes of a gateway.
const gossipPeriodMs = 200

// defaultLoad is the traffic of each volume as a multiple of its limit.
const defaultLoad = 1.4

// A sleep of stallCheckInterval that takes longer than stallLimit counts as a stall of the machine.
const (
	stallCheckInterval = 20 * time.Millisecond
	stallLimit         = 200 * time.Millisecond
)

// Lines of the log that FirstViolationLog returns.
const (
	linesBeforeViolation = 50
	linesAfterViolation  = 20
)

// Options describe a run.
type Options struct {
	Binary         string // path of the gateway program
	Gateways       int
	HostsPerVolume int // gateways that receive the requests of each volume
	Volumes        int
	Shards         int
	Seed           uint64
	Gossip         bool    // gateways communicate with each other
	LeaseMs        float64 // lifetime of a quota lease
	TimeScale      float64 // factor on the time of each scenario, for short runs; 0: 1
}

// Cluster is a running fleet of gateways with its fakes.
type Cluster struct {
	options   Options
	dir       string // of the gateways' files
	log       *process.Log
	platform  *platform
	byzantine *byzantinePeer
	gateways  []*process.Process
	links     [][]*datagramProxy // by sender and receiver; nil from a gateway to itself
	random    *rand.Rand         // used by scenarios alone

	stop       chan struct{}  // closed when the traffic has to end
	goroutines sync.WaitGroup // traffic and the stall detector

	mu                sync.Mutex
	result            Result
	violationPosition int   // of the first violation in the log
	primaryHosts      []int // by volume: which of its hosts receives most of its requests
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

// chooseAddresses chooses the addresses of all gateways, which keep them over restarts.
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

// startLinks starts a proxy from each gateway to each other one.
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

// edgeConfig returns the operator's file of a gateway, or nil if gateways do not communicate. Each peer has the address
// of the proxy to it, and the byzantine peer follows the gateways.
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
	return &process.EdgeConfig{Fleet: process.FleetConfig{Listen: gateway.PeerAddr, Self: gateway.Index, Peers: peers, Key: fleetKey,
		PeriodMs: gossipPeriodMs, LeaseMs: c.options.LeaseMs}}
}

// detectStalls records when the machine is too busy for any judgment on times.
func (c *Cluster) detectStalls() {
	process.DetectStalls(c.stop, stallCheckInterval, stallLimit, func(stall process.Interval) {
		c.log.Printf("(the machine stalled for %v)", stall.To.Sub(stall.From))
		for _, gateway := range c.gateways {
			gateway.RecordStall(stall)
		}
		c.updateResult(func(result *Result) { result.Stalls++ })
	})
}

// Close ends all processes, fakes and goroutines and removes the files. It may be called again.
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
	_ = os.RemoveAll(c.dir) // a temporary directory that stays harms nobody
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

// updateResult changes the result under its lock.
func (c *Cluster) updateResult(update func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.result)
}

// addViolation records a violation of an invariant.
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

// FirstViolationLog returns what all processes logged around the first violation, or last if it was found in the counts
// at the servers.
func (c *Cluster) FirstViolationLog() string {
	c.mu.Lock()
	position := c.violationPosition
	c.mu.Unlock()
	if position == 0 {
		position = c.log.Position()
	}
	return strings.Join(c.log.LinesAround(position, linesBeforeViolation, linesAfterViolation), "\n")
}
