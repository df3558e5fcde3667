package chaos

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gaugerelay/internal/testbed/process"
)

// Times of the replacement of a server. A draining server keeps running for longer than the drain grace, so that the
// server records the requests of a gateway that wrongly goes on using it.
const (
	drainTime      = 14 * time.Second // time from listing the replacement to removing the drained server from the endpoint list
	removedRunTime = 4 * time.Second  // time from the removal of the drained server from the list to its end
)

// One fault replaces the servers of at most Options.Shards/shardsPerFault shards, or of one shard if the quotient is 0.
const shardsPerFault = 3

// replaceServers drains the servers of some shards and starts replacements for them. It skips a shard whose server is already
// being replaced or restarted.
func replaceServers(h *harness, random *rand.Rand) {
	for range 1 + random.IntN(max(1, h.options.Shards/shardsPerFault)) {
		shard := random.IntN(h.options.Shards)
		rejectWhileDraining := random.IntN(2) == 0
		gap := randomDuration(random, 0, time.Second)
		drained, replacement, err := h.beginReplacement(shard)
		if errors.Is(err, errReplacing) {
			continue
		}
		if err != nil {
			return
		}
		drained.drain(rejectWhileDraining)
		h.discovery.publish(drained, process.EndpointDraining)
		h.goroutines.Go(func() { h.finishReplacement(drained, replacement, gap) })
	}
}

// errReplacing reports that the server of a shard is already being replaced or restarted.
var errReplacing = errors.New("chaos: server of the shard is already being replaced or restarted")

// beginReplacement starts a replacement for the server of a shard and does not add it to the endpoint list yet.
func (h *harness) beginReplacement(shard int) (drained, replacement *server, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.replacing[shard] {
		return nil, nil, errReplacing
	}
	h.replacing[shard] = true
	count := len(h.servers)
	replacement, err = newServer(serverOptions{name: fmt.Sprintf("s-%d-%d", shard, count), shard: shard, startedAt: time.Now(),
		seed: h.options.Seed + uint64(count)})
	if err != nil {
		return nil, nil, err
	}
	h.servers = append(h.servers, replacement)
	return h.current[shard], replacement, nil
}

// finishReplacement adds a replacement to the endpoint list after a gap. Later it removes the drained server from the list and
// closes it.
func (h *harness) finishReplacement(drained, replacement *server, gap time.Duration) {
	h.sleep(gap)
	h.discovery.publish(replacement, process.EndpointReady)
	h.mu.Lock()
	h.current[replacement.shard], h.replacing[replacement.shard] = replacement, false
	h.mu.Unlock()
	h.sleep(drainTime)
	h.discovery.publish(drained, process.EndpointRemoved)
	h.sleep(removedRunTime)
	drained.close()
}

// restartServer closes a server and starts a new incarnation, which is in slow start, under the same name and address.
func restartServer(h *harness, random *rand.Rand) {
	shard := random.IntN(h.options.Shards)
	downTime := randomDuration(random, 0, time.Second)
	old, ok := h.claimForRestart(shard)
	if !ok {
		return
	}
	defer func() {
		h.mu.Lock()
		h.replacing[shard] = false
		h.mu.Unlock()
	}()
	old.close()
	if !h.sleep(downTime) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	restarted, err := newServer(serverOptions{name: old.name, shard: shard, addr: old.addr, startedAt: time.Now(),
		seed: h.options.Seed + uint64(len(h.servers))})
	if err != nil {
		return
	}
	h.servers = append(h.servers, restarted)
	h.current[shard] = restarted
	h.discovery.publish(restarted, process.EndpointReady)
}

// claimForRestart marks the server of a shard as being restarted. It returns false if the server is draining, closed, or
// already being replaced or restarted.
func (h *harness) claimForRestart(shard int) (current *server, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current = h.current[shard]
	if h.replacing[shard] || !current.inService() {
		return nil, false
	}
	h.replacing[shard] = true
	return current, true
}

// changeServerBehavior makes a server misbehave for a while.
func changeServerBehavior(h *harness, random *rand.Rand) {
	misbehavior := behavior(1 + random.IntN(drawnBehaviorCount-1))
	duration := randomDuration(random, 200*time.Millisecond, 4*time.Second)
	h.mu.Lock()
	s := h.current[random.IntN(h.options.Shards)]
	h.mu.Unlock()
	s.setBehavior(misbehavior, duration)
}
