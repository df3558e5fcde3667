// Package workbudget bounds the processor time that the gateway spends on its clients, by connection, by host and in total.
//
// A Budget is shared by all frontends of a gateway. Each connection has an Account, to which its frontend charges the work that the
// connection causes. While a connection has done more work than its allowance, its frontend does not read from it. A response that the
// gateway makes without the event loop also waits for the allowances of the host and of all connections. Waiting connections
// get equal parts of what there is. Work that would wait for too long is refused, and its connection closed. Work is estimated by what is done, not measured: a
// goroutine that waits for a processor causes no work.
//
// Times are in milliseconds. The package runs no goroutine. Its methods may be called from any goroutine.
package workbudget

import (
	"cmp"
	"slices"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

// Names of metrics.
const (
	gaugeWaiting   = "client_work_waiting_now"
	counterRefused = "client_work_refused"
)

// Budget counts and bounds the work of all connections. Create one with New.
type Budget struct {
	clock    clock.Clock
	registry *metrics.Registry
	perMs    Work // work that the gateway can do in a millisecond

	mu               sync.Mutex
	accounts         map[*Account]struct{} // open accounts
	hosts            map[string]*host      // by name
	nextForgetMs     float64               // time before which forgetHosts does nothing
	total            bucket
	waiting          []*waiter // in the order in which they go
	arrivals         int       // number of waiters so far
	virtualTime      Work      // what each of the connections that wait has got, as far as they wait; new ones begin there
	releaseScheduled bool      // whether a timer will call release
}

// New returns a budget without accounts for a gateway that has the given number of cores.
func New(cores float64, budgetClock clock.Clock, registry *metrics.Registry) *Budget {
	perMs := Work(cores * microsPerMs)
	b := &Budget{clock: budgetClock, registry: registry, perMs: perMs, accounts: map[*Account]struct{}{}, hosts: map[string]*host{},
		total: newBucket(perMs*totalShare, totalBurst, budgetClock.NowMs())}
	registry.AddGauge(gaugeWaiting, b.waitingNow)
	return b
}

// waitingNow returns the number of connections whose work waits for the allowances of their hosts and of all connections.
func (b *Budget) waitingNow() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.waiting))
}

// host counts the work of all connections from one host.
type host struct {
	bucket bucket
	conns  int // number of open accounts
	usage  usage
}

const (
	// maxHosts bounds the number of hosts whose work is counted. The work of further hosts is counted together.
	maxHosts = 4096
	// otherHosts is the name under which the work of hosts beyond maxHosts is counted.
	otherHosts = "others"
	// negligibleWork is the work below which a host without connections is forgotten.
	negligibleWork Work = 1
	// forgetIntervalMs is the time between two looks for hosts to forget, which take long while there are many.
	forgetIntervalMs = 1000
)

// hostOf returns the counts of a host. The caller holds b.mu.
func (b *Budget) hostOf(name string, nowMs float64) *host {
	if known := b.hosts[name]; known != nil {
		return known
	}
	if len(b.hosts) >= maxHosts {
		b.forgetHosts(nowMs)
	}
	if len(b.hosts) >= maxHosts {
		name = otherHosts
		if known := b.hosts[name]; known != nil {
			return known
		}
	}
	added := &host{bucket: newBucket(b.perMs*hostShare, hostBurst, nowMs)}
	b.hosts[name] = added
	return added
}

// forgetHosts removes hosts that have no connection and have done nothing lately. The caller holds b.mu.
func (b *Budget) forgetHosts(nowMs float64) {
	if nowMs < b.nextForgetMs {
		return
	}
	b.nextForgetMs = nowMs + forgetIntervalMs
	for name, known := range b.hosts {
		if known.conns == 0 && known.usage.at(nowMs) < negligibleWork {
			delete(b.hosts, name)
		}
	}
}

// Usage is the work of a connection or of a host in about the last second.
type Usage struct {
	Client string // host:port of a connection, or a host
	Work   Work
}

// Busiest returns the connections and the hosts that have caused the most work lately, at most n of each, the busiest first.
func (b *Budget) Busiest(n int) (connections, hosts []Usage) {
	b.mu.Lock()
	nowMs := b.clock.NowMs()
	for a := range b.accounts {
		connections = append(connections, Usage{a.client, a.usage.at(nowMs)})
	}
	for name, known := range b.hosts {
		hosts = append(hosts, Usage{name, known.usage.at(nowMs)})
	}
	b.mu.Unlock()
	return busiest(connections, n), busiest(hosts, n)
}

// busiest returns the first n elements in the order of their work.
func busiest(usages []Usage, n int) []Usage {
	slices.SortFunc(usages, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Work, x.Work), cmp.Compare(x.Client, y.Client))
	})
	return usages[:min(n, len(usages))]
}
