package chaos

import (
	"slices"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/process"
)

// TestDrainingServerGetsNoRequestsAfterDiscoveryOutage drains a server right after an outage of discovery. It guards against
// gateways that poll too late after the outage and so do not know that the server drains. The time between two polls of a
// gateway grows with the size of its fleet and with each failed poll. The settings therefore claim 300 gateways, although only 8
// run, and the polls fail during the outage. A gateway is treated as having been notified of the drain at the latest
// maxNotificationDelay after the drain was published, and may send to the server for another drainGrace. The checker reports each
// later attempt at the server.
func TestDrainingServerGetsNoRequestsAfterDiscoveryOutage(t *testing.T) {
	t.Parallel()
	const (
		gateways        = 8
		outageTime      = 9 * time.Second
		observationTime = maxNotificationDelay + drainGrace + 2*time.Second
	)
	h, err := newHarness(Options{Binary: testbed.BuildGateway(t), Gateways: gateways, FleetSize: 300, Shards: 2, Seed: 1, RequestRate: 20})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	h.discovery.beginOutage(outageUnavailable) // most gateways have not polled for the first time yet
	h.startTraffic()
	h.sleep(outageTime)
	h.discovery.endOutage()
	h.current[0].drain(false)
	h.discovery.publish(h.current[0], process.EndpointDraining)
	h.sleep(observationTime)
	h.stopTraffic()
	result := h.finish()
	for _, text := range result.Violations {
		t.Error(text)
	}
	if result.Served < 100*gateways {
		t.Errorf("%d of %d requests were served, want at least 100 for each gateway", result.Served, result.Requests)
	}
}

// latestHeartbeatAge returns the time since the latest message of the gateway whose watch has sent nothing for the longest time.
func (d *discovery) latestHeartbeatAge() (longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, deliveries := range d.deliveries {
		if len(deliveries) == 0 {
			return heartbeatInterval
		}
		longest = max(longest, time.Since(deliveries[len(deliveries)-1].at))
	}
	return longest
}

// silencesEndedAfter returns the number of watches that were silent until then or later.
func (d *discovery) silencesEndedAfter(then time.Time) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, silences := range d.silences {
		for _, silence := range silences {
			if !silence.To.Before(then) {
				n++
			}
		}
	}
	return n
}

// TestDrainMissedBySilentWatchBeforeOutage drains a server while all watches are silent, right before an outage of discovery. It guards
// against gateways that take the refused calls of the outage for a proof that they have missed nothing, and go on sending to the server.
// The silence is longer than the time between two heartbeats, so a heartbeat is overdue on each watch that the outage ends.
func TestDrainMissedBySilentWatchBeforeOutage(t *testing.T) {
	t.Parallel()
	checkDrainMissedBySilentWatch(t, heartbeatInterval+100*time.Millisecond)
}

// TestDrainMissedBetweenHeartbeats is the same with an outage that ends the watches before their next heartbeat is due, so that they
// look like healthy ones.
func TestDrainMissedBetweenHeartbeats(t *testing.T) {
	t.Parallel()
	checkDrainMissedBySilentWatch(t, 1100*time.Millisecond)
}

// checkDrainMissedBySilentWatch silences all watches, drains a server, begins an outage of discovery downAfter the beginning of the
// silence, and checks that no request is sent to the server too late. The silence begins soon after heartbeats, so that few gateways find
// it before the outage.
func checkDrainMissedBySilentWatch(t *testing.T, downAfter time.Duration) {
	t.Helper()
	const (
		gateways     = 8
		warmUp       = 4 * time.Second
		maxWait      = 10 * time.Second // for a time at which all heartbeats are recent
		maxHeartbeat = 800 * time.Millisecond
		drainAfter   = time.Second // from the beginning of the silence on
		outageTime   = 10 * time.Second
	)
	h, err := newHarness(Options{Binary: testbed.BuildGateway(t), Gateways: gateways, FleetSize: gateways, Shards: 2, Seed: 1,
		RequestRate: 20})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	h.startTraffic()
	h.sleep(warmUp)
	for waitUntil := time.Now().Add(maxWait); time.Now().Before(waitUntil) && h.discovery.latestHeartbeatAge() > maxHeartbeat; {
		h.sleep(10 * time.Millisecond)
	}
	h.discovery.silenceWatches(slices.Repeat([]bool{true}, gateways))
	h.sleep(drainAfter)
	h.current[0].drain(false)
	h.discovery.publish(h.current[0], process.EndpointDraining)
	h.sleep(downAfter - drainAfter)
	downAt := time.Now()
	h.discovery.beginOutage(outageUnavailable)
	h.sleep(outageTime)
	h.discovery.endOutage()
	h.sleep(2 * time.Second)
	h.stopTraffic()
	result := h.finish()
	for _, text := range result.Violations {
		t.Error(text)
	}
	silent := h.discovery.silencesEndedAfter(downAt)
	t.Logf("%d of %d watches were silent until the outage; %v", silent, gateways, result)
	if silent == 0 || result.Served < 100*gateways {
		t.Errorf("%d watches were silent until the outage, %d of %d requests were served; want at least one, and 100 for each gateway",
			silent, result.Served, result.Requests)
	}
}
