package chaos

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
	"gaugerelay/internal/testbed/process"
)

// loopbackBlock is the second octet of the loopback addresses of this package's gateways. It differs from that of other
// packages that start gateways; see loopback.Host.
const loopbackBlock = 2

// systemCallFailureRate is the fraction of system calls that fail in gateways built with the tag chaos.
const systemCallFailureRate = 0.03

// wallClockOffsets are the errors of the wall clocks of gateways built with the tag chaos. The first
// gateway has the first offset, and so on; after the last offset, the next gateway has the first one again.
var wallClockOffsets = []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}

// gateway is a gateway process and the records of its starts and of the faults injected into it. The records are guarded by
// harness.mu during the run.
type gateway struct {
	*process.Process
	dir           string // directory of the files that the gateway reads
	discoveryAddr int    // 0 or 1: which of the two addresses in discovery.addrs the gateway uses
	limits        process.Limits

	faultMu sync.Mutex // held by the fault that currently affects the process; meanwhile, other faults skip the process

	starts       []time.Time
	kills        []process.Interval // from SIGKILL until the gateway is ready again
	terminations []process.Interval // from SIGTERM until the gateway is ready again
	pauses       []process.Interval // from SIGSTOP to SIGCONT
	edge         *edgeAddresses     // nil without the frontends for file commands and devices
	crowds       []process.Interval // while a crowd holds connections
	peakUsage    process.Usage      // largest usage of any of its processes
}

// newGateway writes the files of a gateway but does not start the process.
func (h *harness) newGateway(index int) (*gateway, error) {
	listenAddr, err := loopback.FreeTCPAddr(loopback.Host(loopbackBlock, index))
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%d", index)
	g := &gateway{dir: filepath.Join(h.dir, name), limits: h.drawLimits(index),
		Process: &process.Process{Index: index, Name: name, ListenAddr: listenAddr, Binary: h.options.Binary, Log: h.log}}
	if h.options.EdgeFrontends {
		if g.edge, err = newEdgeAddresses(index); err != nil {
			return nil, err
		}
	}
	if err := g.WriteConfig(g.dir, h.gatewayConfig(g), g.edge.config()); err != nil {
		return nil, err
	}
	if h.options.FailSystemCalls {
		g.Env = append(g.Env, fmt.Sprintf("GAUGERELAY_FAULTS=seed=%d,rate=%v,wall=%v", h.options.Seed<<8+uint64(index),
			systemCallFailureRate, wallClockOffsets[index%len(wallClockOffsets)]))
	}
	if h.options.DebugLog {
		g.Args = append(g.Args, "--log-level=debug")
	}
	return g, nil
}

// writeConfig overwrites the configuration file of a gateway with the current endpoint list and discovery address.
func (h *harness) writeConfig(g *gateway) error {
	return process.RewriteConfig(g.dir, h.gatewayConfig(g))
}

func (h *harness) startGateway(g *gateway) error {
	h.recordStart(g)
	return g.Start()
}

// recordStart records that a process of the gateway is started now.
func (h *harness) recordStart(g *gateway) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.starts = append(g.starts, time.Now())
}

// restartGateway starts a gateway whose process has ended.
func (h *harness) restartGateway(g *gateway) {
	if err := h.writeConfig(g); err != nil {
		h.recordCrash("%s: %v", g.Name, err)
		return
	}
	if err := h.startGateway(g); err != nil {
		h.recordCrash("%v", err)
	}
}

// ensureRunning reports whether the gateway's process is running. If not, it records a crash and starts the process again.
func (h *harness) ensureRunning(g *gateway) bool {
	if g.Running() {
		return true
	}
	h.recordCrash("%s exited unexpectedly", g.Name)
	h.restartGateway(g)
	return false
}

// violationCounter matches the nonzero metrics in which a gateway counts violations that it has detected itself.
var violationCounter = regexp.MustCompile(`(?m)^(rule_violations_\w+) ([1-9]\d*)$`)

// unansweredCounter is the only violation counter that is also checked for a gateway that was paused. The other counters
// can also increase without a bug, if the pause lies between a decision of the gateway and the first byte that the gateway sends.
const unansweredCounter = "rule_violations_closed_without_response"

// recordMetricViolations records the nonzero violation counters of a gateway. It ignores a gateway that does not respond.
func (h *harness) recordMetricViolations(g *gateway) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+g.ListenAddr+"/metrics", nil)
	if err != nil {
		return
	}
	resp, err := h.http.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // after a read error, the counters read so far are recorded
	for _, match := range violationCounter.FindAllStringSubmatch(string(text), -1) {
		if counter, value := match[1], match[2]; counter == unansweredCounter || len(g.pauses) == 0 {
			h.mu.Lock()
			h.metricViolations = append(h.metricViolations, fmt.Sprintf("%s reports the counter %s = %s", g.Name, counter, value))
			h.mu.Unlock()
		}
	}
}
