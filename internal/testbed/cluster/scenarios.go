package cluster

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// Scenario is something that happens to a fleet. It ends with all gateways up and all links well.
type Scenario struct {
	Name string
	Play func(r *Cluster)
}

// Scenarios are played in this order.
var Scenarios = []Scenario{
	{"calm: the lead changes", func(r *Cluster) {
		for range 3 {
			r.wait(4 * time.Second)
			r.shift()
		}
	}},
	{"halves cut off from each other, both at the limit", func(r *Cluster) {
		r.partition(func(g int) bool { return g%2 == 0 }, false)
		r.wait(time.Second)
		r.shift()
		r.wait(2 * time.Second)
		r.heal()
		r.wait(time.Second)
	}},
	{"cut one way, then the other", func(r *Cluster) {
		for way := range 2 {
			r.partition(func(g int) bool { return (g == 0) == (way == 0) }, true)
			r.wait(1500 * time.Millisecond)
			r.shift()
		}
		r.heal()
		r.wait(500 * time.Millisecond)
	}},
	{"a fifth is lost, a fifth comes twice, bits flip, order changes", func(r *Cluster) {
		r.each(func(int, int) DatagramFaults {
			return DatagramFaults{LossRate: 0.2, DuplicateRate: 0.2, BitFlipRate: 0.1, DelayMs: 5, JitterMs: 120}
		})
		for range 3 {
			r.wait(1200 * time.Millisecond)
			r.shift()
		}
		r.heal()
	}},
	{"acknowledgements are lost: grants do not come", func(r *Cluster) {
		r.each(func(from, to int) DatagramFaults { return DatagramFaults{Cut: from > to, DelayMs: 3} })
		r.shift()
		r.wait(2 * time.Second)
		r.heal()
		r.wait(500 * time.Millisecond)
	}},
	{"a lender and a borrower killed, started anew", func(r *Cluster) {
		for range 3 {
			g := r.rnd.IntN(len(r.gates))
			r.kill(g)
			r.wait(time.Duration(100+r.rnd.IntN(900)) * time.Millisecond)
			r.restart(g)
			r.shift()
			r.wait(700 * time.Millisecond)
		}
	}},
	{"a holder paused beyond its lease, woken with a full inbox", func(r *Cluster) {
		for range 2 {
			g := r.rnd.IntN(len(r.gates))
			r.shift()
			r.wait(800 * time.Millisecond)
			r.pause(g, time.Duration(2.5*r.opt.LeaseMs)*time.Millisecond)
			r.wait(700 * time.Millisecond)
		}
	}},
	{"most of the fleet killed at once", func(r *Cluster) {
		n := max(1, len(r.gates)*7/10)
		for g := range n {
			r.kill(g)
		}
		r.wait(time.Second)
		for g := range n {
			r.restart(g)
		}
		r.wait(time.Second)
	}},
	{"all peers silent", func(r *Cluster) {
		r.count(func(res *Result) { res.Partitions++ })
		r.each(func(int, int) DatagramFaults { return DatagramFaults{Cut: true} })
		r.shift()
		r.wait(2500 * time.Millisecond)
		r.heal()
		r.wait(500 * time.Millisecond)
	}},
	{"told to end one after the other, under load", func(r *Cluster) {
		for g := range min(2, len(r.gates)) {
			r.gates[g].Stop()
			r.restart(g)
			r.wait(300 * time.Millisecond)
		}
	}},
	{"paused and killed while cut off", func(r *Cluster) {
		r.partition(func(g int) bool { return g == 1 }, false)
		r.shift()
		r.wait(500 * time.Millisecond)
		r.gates[0].Signal(syscall.SIGSTOP)
		r.wait(time.Second)
		r.kill(1)
		r.gates[0].Signal(syscall.SIGCONT)
		r.count(func(res *Result) { res.Pauses++ })
		r.wait(300 * time.Millisecond)
		r.restart(1)
		r.heal()
		r.wait(time.Second)
	}},
	{"a node fails for all", func(r *Cluster) {
		for g := range r.gates {
			r.platform.fail(g, 0, true)
		}
		r.wait(1500 * time.Millisecond)
		before, began := r.platform.counts(), time.Now()
		r.wait(2 * time.Second)
		for g, now := range r.platform.counts() {
			tries := float64(now[0]-before[g][0]) / time.Since(began).Seconds()
			r.count(func(res *Result) { res.EjectedSendRate = max(res.EjectedSendRate, tries) })
			r.platform.fail(g, 0, false)
		}
		r.recovers(0)
		before = r.platform.counts()
		r.wait(2 * time.Second)
		r.ejected(func(int) bool { return true }, 0, before)
	}},
	{"a node fails for one gateway alone", func(r *Cluster) {
		r.platform.fail(0, 0, true)
		r.wait(time.Second)
		before := r.platform.counts()
		r.wait(3 * time.Second)
		r.ejected(func(g int) bool { return g != 0 }, 0, before)
		r.platform.fail(0, 0, false)
		r.wait(time.Second)
	}},
	{"one of the fleet lies", func(r *Cluster) {
		before := r.platform.counts()
		for round := range 20 {
			for _, p := range r.gates {
				if at, err := net.ResolveUDPAddr("udp", p.PeerAddr); err == nil {
					r.liar.lie(at, r.opt.Shards, r.opt.Volumes, uint64(round+1))
				}
			}
			r.wait(150 * time.Millisecond)
		}
		r.ejected(func(int) bool { return true }, 0, before)
		r.ejected(func(int) bool { return true }, 1, before)
	}},
	{"a node drains, and one gateway's list does not say so", func(r *Cluster) {
		r.mu.Lock()
		unheard := r.hosts(0)[r.lead[0]].Index // one with traffic
		r.mu.Unlock()
		others := func(f func(g int)) {
			for g := range r.gates {
				if g != unheard {
					f(g)
				}
			}
		}
		others(func(g int) { r.platform.drain(g, 1, true) })
		r.whole(1500 * time.Millisecond) // the settings' grace, and a half of it for the list
		before, began := r.platform.counts(), time.Now()
		r.wait(2 * time.Second)
		now := r.platform.counts()
		tries := float64(now[unheard][1]-before[unheard][1]) / time.Since(began).Seconds()
		r.count(func(res *Result) { res.StaleListSendRate = max(res.StaleListSendRate, tries) })
		others(func(g int) {
			if n := now[g][1] - before[g][1]; n > 0 {
				r.broken("n%d sent %d requests to a node that drains", g, n)
			}
			r.platform.drain(g, 1, false)
		})
		r.wait(time.Second)
	}},
	{"the way to a node is silent for one gateway, then breaks", func(r *Cluster) {
		before := r.platform.counts()
		way := r.platform.ways[0][2%r.opt.Shards]
		way.set(StreamFaults{}, StreamFaults{Stalled: true}) // what is sent arrives, and no answer comes back
		r.wait(2 * time.Second)
		way.reset()
		way.set(StreamFaults{}, StreamFaults{})
		r.ejected(func(g int) bool { return g != 0 }, 2%r.opt.Shards, before)
		r.wait(time.Second)
	}},
	{"answers break off, requests drip, lists are late", func(r *Cluster) {
		for g, ways := range r.platform.ways {
			for _, way := range ways {
				way.set(StreamFaults{DelayMs: 2, ChunkSize: 120}, StreamFaults{ResetAfterBytes: 400 + 100*g})
			}
			r.platform.listWays[g].set(StreamFaults{}, StreamFaults{ChunkSize: 40})
		}
		r.wait(2 * time.Second)
		for g, ways := range r.platform.ways {
			for _, way := range ways {
				way.set(StreamFaults{}, StreamFaults{})
			}
			r.platform.listWays[g].reset()
			r.platform.listWays[g].set(StreamFaults{}, StreamFaults{})
		}
		r.wait(time.Second)
	}},
	{"one without fleet among the others", func(r *Cluster) {
		p := r.gates[r.rnd.IntN(len(r.gates))]
		args := p.Args
		r.kill(p.Index)
		p.Args = nil // as the last version is
		r.restart(p.Index)
		for range 2 {
			r.wait(1500 * time.Millisecond)
			r.shift()
		}
		r.kill(p.Index)
		p.Args = args
		r.restart(p.Index)
		r.wait(500 * time.Millisecond)
	}},
	{"a partition heals ten times", func(r *Cluster) {
		for i := range 10 {
			r.partition(func(g int) bool { return g <= i%3 }, i%4 == 3)
			r.wait(200 * time.Millisecond)
			r.heal()
			r.wait(200 * time.Millisecond)
			if i%3 == 2 {
				r.shift()
			}
		}
	}},
}

// Run plays scenarios in turn until the time is over, all of them at least once where that is zero, and tells what must
// never be. One that breaks a rule ends the run, with what the processes wrote around it.
func Run(o Options, long time.Duration, only string, out io.Writer) (Result, error) {
	var play []Scenario
	for _, s := range Scenarios {
		if only == "" || s.Name == only {
			play = append(play, s)
		}
	}
	if len(play) == 0 {
		return Result{}, fmt.Errorf("there is no scenario %q", only)
	}
	r, err := StartCluster(o)
	if err != nil {
		return Result{}, err
	}
	defer r.Close()
	began := time.Now()
	for turn := 0; long == 0 && turn < len(play) || time.Since(began) < long; turn++ {
		s := play[turn%len(play)]
		before := r.Result()
		r.log.Printf("(scenario: %s)", s.Name)
		s.Play(r)
		for _, p := range r.gates {
			if !p.Running() {
				r.broken("%s has ended by itself", p.Name)
				r.count(func(res *Result) { res.Crashed++ })
				r.restart(p.Index)
			}
		}
		after := r.Result()
		fmt.Fprintf(out, "%-66s served %5d units, refused %4d; worst %5.1f units over, bound %.1f\n", s.Name,
			int(after.ServedUnits-before.ServedUnits), after.Rejected-before.Rejected, after.MaxOverLimit, after.AllowedOverLimit)
		if len(after.Violations) > 0 {
			fmt.Fprintf(out, "seed %d, %s; the merged log around the first breach:\n%s\n", o.Seed, s.Name, r.FirstViolationLog())
			break
		}
	}
	return r.Result(), nil
}
