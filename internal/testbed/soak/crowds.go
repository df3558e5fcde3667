package soak

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/gateway"
	"gaugerelay/internal/testbed/overload"
)

const (
	// crowdStream is the stream of random numbers of the crowds, apart from those of the faults.
	crowdStream = 2
	crowdTime   = 2 * time.Second // time for which a crowd stays
	crowdPause  = time.Second     // time between two crowds
	// maxCrowdClients is the size of the largest crowd.
	maxCrowdClients = 80
	// crowdMemoryMB is the memory limit of a gateway with crowds. The process holds the devices and servers as well, so that only the
	// gateway's own count is checked.
	crowdMemoryMB = 192
	// leakTolerance is the time after the end of the devices within which the memory of clients must be released.
	leakTolerance = 3 * time.Second
)

// Beginnings of messages whose clients then stop.
var (
	// fileWriteBeginning is an INIT of version 3 and the header of a WRITE of 60 KiB.
	fileWriteBeginning = []byte{0, 0, 0, 5, 1, 0, 0, 0, 3, 0, 0, 0xf0, 0, 6}
	// coapBeginning is an empty CSM and the header of a PUT with options and payload of 30,000 bytes.
	coapBeginning = []byte{0x00, 0xe1, 0xe0, 0x74, 0x23, 0x03}
)

// overloadFrontends lets crowds of clients that stop within their requests hold connections of the frontends, and floods keep them busy, one
// after the other,
// until stop is closed.
func (r *run) overloadFrontends(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.options.Seed, crowdStream))
	for r.options.Crowds {
		ended := make(chan struct{})
		timer := time.AfterFunc(crowdTime, func() { close(ended) })
		if random.IntN(2) == 0 {
			r.runFlood(random, ended)
		} else {
			r.runCrowd(random, ended)
		}
		timer.Stop()
		select {
		case <-stop:
			return
		case <-time.After(crowdPause):
		}
	}
}

// runCrowd draws a crowd and runs it until ended is closed.
func (r *run) runCrowd(random *rand.Rand, ended <-chan struct{}) {
	clients := 1 + random.IntN(maxCrowdClients)
	switch random.IntN(4) {
	case 0:
		overload.Announcers(r.frontendAddr(sftpFrontend), fileWriteBeginning, clients, ended)
	case 1:
		overload.Announcers(r.frontendAddr(coapFrontend), coapBeginning, clients, ended)
	default:
		frontends := []frontend{platformFrontend, httpFrontend}
		target := r.overloadTarget(frontends[random.IntN(len(frontends))])
		kinds := []overload.CrowdKind{overload.EndlessHead, overload.HalfBody, overload.HeadThenHalfBody, overload.SlowWriter, overload.Silent}
		overload.Crowd(target, kinds[random.IntN(len(kinds))], clients, random.Uint64(), ended)
	}
}

// maxFloodConns is the largest number of connections of a flood. Its clients share the process with the gateway.
const maxFloodConns = 4

// runFlood draws a flood of one of the frontends and runs it until ended is closed.
func (r *run) runFlood(random *rand.Rand, ended <-chan struct{}) {
	options := overload.FloodOptions{Kind: overload.FloodKind(random.IntN(int(overload.FloodKindCount))),
		Connections: 1 + random.IntN(maxFloodConns), ReadResponses: true, Reconnect: random.IntN(4) == 0}
	target := r.overloadTarget(platformFrontend)
	switch {
	case options.Kind == overload.FailingFileCommands:
		target.Addr = r.frontendAddr(sftpFrontend)
	case options.Kind == overload.DevicePings:
		target.Addr = r.frontendAddr(coapFrontend)
	case random.IntN(2) == 0:
		target.Addr = r.frontendAddr(httpFrontend)
	}
	overload.Flood(target, options, random.Uint64(), ended)
}

// overloadTarget returns what the clients of an overload send to a frontend for HTTP.
func (r *run) overloadTarget(f frontend) overload.Target {
	return overload.Target{Addr: r.frontendAddr(f), ReadClass: readClass, WriteClass: writeClass, Plan: "basic", Volume: 99, Shards: shardCount,
		DeadlineMs: 1000}
}

// awaitReleasedMemory returns the bytes that a gateway still counts as clients' data after it has shut down. Unless some are never
// released, they are 0 within leakTolerance.
func awaitReleasedMemory(g *gateway.Gateway) int64 {
	for deadline := time.Now().Add(leakTolerance); ; time.Sleep(10 * time.Millisecond) {
		used := clientMemory(g)
		if used == 0 || time.Now().After(deadline) {
			return used
		}
	}
}

// clientMemory returns the gauge of the memory that clients' data takes, or -1 if there is none.
func clientMemory(g *gateway.Gateway) int64 {
	var text strings.Builder
	g.Metrics.WriteText(&text)
	_, rest, _ := strings.Cut(text.String(), "client_memory_bytes_now ")
	value, _, _ := strings.Cut(rest, "\n")
	used, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return -1
	}
	return used
}
