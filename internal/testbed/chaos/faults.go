package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// fault is a kind of trouble. It may last; faults of all kinds overlap.
type fault struct {
	name   string
	weight int
	play   func(r *rig, rnd *rand.Rand)
}

// faults are all kinds. The weights tell how often each is drawn.
var faults = []fault{
	{"kill", 3, killed},
	{"stop", 3, stopped},
	{"pause", 3, paused},
	{"discovery-down", 2, discoveryDown},
	{"discovery-slow", 1, discoverySlow},
	{"watches-silent", 2, watchesSilent},
	{"watches-reset", 2, watchesReset},
	{"replace", 4, replaced},
	{"restart", 2, restarted},
	{"manner", 5, mannered},
	{"reload", 2, reloaded},
}

func faultByName(name string) *fault {
	for i := range faults {
		if faults[i].name == name {
			return &faults[i]
		}
	}
	return nil
}

// quiet is how long nothing happens at first, and at the end, where what is under way shall be seen.
const (
	quietAtFirst  = time.Second
	quietAtTheEnd = 2 * time.Second
)

// schedule draws faults one after the other, with pauses that let several overlap.
func (r *rig) schedule() {
	rnd := rand.New(rand.NewPCG(r.opt.Seed, 2))
	var bag []*fault
	for i := range faults {
		if len(r.opt.Faults) == 0 || slices.Contains(r.opt.Faults, faults[i].name) {
			for range faults[i].weight {
				bag = append(bag, &faults[i])
			}
		}
	}
	end := r.began.Add(time.Duration(r.opt.Seconds*float64(time.Second)) - quietAtTheEnd)
	if !r.sleep(quietAtFirst) || len(bag) == 0 {
		return
	}
	for time.Now().Before(end) {
		f, own := bag[rnd.IntN(len(bag))], rand.New(rand.NewPCG(rnd.Uint64(), 3))
		r.mu.Lock()
		r.faults++
		r.mu.Unlock()
		r.log.Printf("(fault: %s)", f.name)
		r.all.Go(func() { f.play(r, own) })
		if !r.sleep(time.Duration(rnd.ExpFloat64() * float64(700*time.Millisecond))) {
			return
		}
	}
}

// sleep waits; false: the run is over.
func (r *rig) sleep(d time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func between(rnd *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rnd.Float64()*float64(to-from))
}

// some draws a part of the gateways.
func (r *rig) some(rnd *rand.Rand, part float64) (of func(int) bool) {
	chosen := make([]bool, len(r.gateways))
	for i := range chosen {
		chosen[i] = rnd.Float64() < part
	}
	return func(g int) bool { return chosen[g] }
}

// each plays something with a few gateways at once, those that no other fault handles.
func (r *rig) each(rnd *rand.Rand, f func(g *gateway)) {
	for range 1 + rnd.IntN(max(1, len(r.gateways)/6)) {
		g := r.gateways[rnd.IntN(len(r.gateways))]
		r.all.Go(func() {
			if !g.busy.TryLock() {
				return
			}
			defer g.busy.Unlock()
			f(g)
		})
	}
}

// again starts a gateway that is away.
func (r *rig) again(g *gateway) {
	if err := r.configure(g); err != nil {
		r.note(&r.crashed, "%s: %v", g.Name, err)
		return
	}
	if err := r.startGateway(g); err != nil {
		r.note(&r.crashed, "%v", err)
	}
}

// checkAlive notes a process that has ended by itself, and starts it anew.
func (r *rig) checkAlive(g *gateway) bool {
	if g.Running() {
		return true
	}
	r.note(&r.crashed, "%s has ended by itself", g.Name)
	r.again(g)
	return false
}

func killed(r *rig, rnd *rand.Rand) {
	away := between(rnd, 50*time.Millisecond, 1500*time.Millisecond)
	r.each(rnd, func(g *gateway) {
		if !r.checkAlive(g) {
			return
		}
		r.readViolations(g)
		over := r.opened(&g.kills)
		g.Kill()
		r.sleep(away)
		r.again(g)
		over()
	})
}

func stopped(r *rig, rnd *rand.Rand) {
	r.each(rnd, func(g *gateway) {
		if !r.checkAlive(g) {
			return
		}
		r.readViolations(g)
		over := r.opened(&g.stops)
		if !g.Stop() {
			r.note(&r.crashed, "%s was still there 10 s after SIGTERM", g.Name)
		}
		r.again(g)
		over()
	})
}

func paused(r *rig, rnd *rand.Rand) {
	long := between(rnd, 50*time.Millisecond, 3*time.Second)
	r.each(rnd, func(g *gateway) {
		if !r.checkAlive(g) {
			return
		}
		over := r.opened(&g.pauses)
		g.Signal(syscall.SIGSTOP)
		time.Sleep(long)
		g.Signal(syscall.SIGCONT)
		over()
	})
}

func reloaded(r *rig, rnd *rand.Rand) {
	r.each(rnd, func(g *gateway) {
		if !r.checkAlive(g) {
			return
		}
		g.at = 1 - g.at
		if err := r.configure(g); err == nil {
			g.Signal(syscall.SIGHUP)
			r.sleep(100 * time.Millisecond)
		}
	})
}

func discoveryDown(r *rig, rnd *rand.Rand) {
	r.discovery.setDown(true, outage(rnd.IntN(2)))
	r.sleep(between(rnd, time.Second, 12*time.Second))
	r.discovery.setDown(false, 0)
}

func discoverySlow(r *rig, rnd *rand.Rand) {
	r.discovery.setCost(between(rnd, 10*time.Millisecond, 150*time.Millisecond))
	r.sleep(between(rnd, time.Second, 6*time.Second))
	r.discovery.setCost(callCost)
}

func watchesSilent(r *rig, rnd *rand.Rand) { r.discovery.setSilent(r.some(rnd, rnd.Float64())) }

func watchesReset(r *rig, rnd *rand.Rand) { r.discovery.resetWatches(r.some(rnd, rnd.Float64())) }

// replaced lets a server drain and puts another in its place; the old one stays for longer than the grace, so that a
// gateway that goes on using it is seen.
func replaced(r *rig, rnd *rand.Rand) {
	for range 1 + rnd.IntN(max(1, r.opt.Shards/3)) {
		shard := rnd.IntN(r.opt.Shards)
		refuses, gap := rnd.IntN(2) == 0, between(rnd, 0, time.Second)
		r.mu.Lock()
		old := r.current[shard]
		if r.replacing[shard] { // by one that is not listed yet
			r.mu.Unlock()
			continue
		}
		r.replacing[shard] = true
		name := fmt.Sprintf("s-%d-%d", shard, len(r.servers))
		young, err := newServer(name, shard, "", time.Now(), r.opt.Seed+uint64(len(r.servers)))
		if err != nil {
			r.mu.Unlock()
			return
		}
		r.servers = append(r.servers, young)
		r.mu.Unlock()
		old.drain(refuses)
		r.discovery.publish(change{server: old, state: "Terminating"})
		r.all.Go(func() {
			r.sleep(gap)
			r.discovery.publish(change{server: young, state: "Ready"})
			r.mu.Lock()
			r.current[shard], r.replacing[shard] = young, false
			r.mu.Unlock()
			r.sleep(14 * time.Second)
			r.discovery.publish(change{server: old, state: "Gone"})
			r.sleep(4 * time.Second)
			old.stop()
		})
	}
}

// restarted ends a server and starts it under its name and address: a new run of it, that is cold.
func restarted(r *rig, rnd *rand.Rand) {
	shard := rnd.IntN(r.opt.Shards)
	away := between(rnd, 0, time.Second)
	r.mu.Lock()
	old := r.current[shard]
	old.mu.Lock()
	busy := old.draining || old.closed || r.replacing[shard]
	old.mu.Unlock()
	r.replacing[shard] = r.replacing[shard] || !busy
	r.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		r.mu.Lock()
		r.replacing[shard] = false
		r.mu.Unlock()
	}()
	old.stop()
	if !r.sleep(away) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	young, err := newServer(old.name, shard, old.addr, time.Now(), r.opt.Seed+uint64(len(r.servers)))
	if err != nil {
		return
	}
	r.servers = append(r.servers, young)
	r.current[shard] = young
	r.discovery.publish(change{server: young, state: "Ready"})
}

func mannered(r *rig, rnd *rand.Rand) {
	how, long := manner(1+rnd.IntN(int(mannersNumber)-1)), between(rnd, 200*time.Millisecond, 4*time.Second)
	r.mu.Lock()
	s := r.current[rnd.IntN(r.opt.Shards)]
	r.mu.Unlock()
	s.behave(how, long)
}
