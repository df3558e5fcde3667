// Package workbudget counts the processor time that the gateway spends on its clients, by connection and by client address.
//
// A Budget is shared by all frontends of a gateway. Each connection has an Account, to which its frontend charges the work that the
// connection causes. Work is estimated by what is done, not measured: a goroutine that waits for a processor causes no work.
//
// Times are in milliseconds. The package runs no goroutine. Its methods may be called from any goroutine.
package workbudget

import (
	"cmp"
	"math"
	"net"
	"slices"
	"sync"

	"gaugerelay/internal/clock"
)

// Work is an estimate of processor time in microseconds.
type Work float64

// Work of the steps that clients cause.
const (
	// Connection is the work of accepting and closing a connection.
	Connection Work = 60
	// Read is the work of reading bytes once, however few, without the bytes themselves.
	Read Work = 5
	// Request is the work of parsing a request or a message and answering it without the event loop.
	Request Work = 20
	// Submission is the work of passing a request through the event loop, without attempts.
	Submission Work = 50
	// perKiB is the work of copying bytes from or to a connection.
	perKiB Work = 0.5
	// Report is the work of writing a page of metrics.
	Report Work = 100
)

const bytesPerKiB = 1 << 10

// Bytes returns the work of copying bytes from or to a connection.
func Bytes(n int) Work { return Work(n) * perKiB / bytesPerKiB }

// usageDecayMs is the time in which work that was counted decays to 1/e of its amount.
const usageDecayMs = 1000

// usage is work that decays.
type usage struct {
	work Work // at atMs
	atMs float64
}

// at returns the work that is left at nowMs.
func (u *usage) at(nowMs float64) Work {
	return u.work * Work(math.Exp(-max(0, nowMs-u.atMs)/usageDecayMs))
}

// add adds work at nowMs.
func (u *usage) add(work Work, nowMs float64) { u.work, u.atMs = u.at(nowMs)+work, nowMs }

// Budget counts the work of all connections. Create one with New.
type Budget struct {
	clock clock.Clock

	mu           sync.Mutex
	accounts     map[*Account]struct{} // open accounts
	addresses    map[string]*address   // by host
	nextForgetMs float64               // time before which forgetAddresses does nothing
}

// address counts the work of all connections from one host.
type address struct {
	host  string
	conns int // number of open accounts
	usage usage
}

// maxAddresses bounds the number of hosts whose work is counted. The work of further hosts is counted together.
const maxAddresses = 4096

// otherAddresses is the name under which the work of hosts beyond maxAddresses is counted.
const otherAddresses = "others"

// New returns a budget without accounts.
func New(budgetClock clock.Clock) *Budget {
	return &Budget{clock: budgetClock, accounts: map[*Account]struct{}{}, addresses: map[string]*address{}}
}

// Account counts the work of one connection. A nil *Account counts nothing.
type Account struct {
	budget  *Budget
	client  string // address of the client, host:port
	address *address

	// Guarded by budget.mu.

	usage usage
}

// Open returns an account for a connection with the given client and charges the work of the connection to it. A nil Budget returns
// nil. The account must be closed.
func (b *Budget) Open(client net.Addr) *Account {
	if b == nil {
		return nil
	}
	name := client.String()
	host, _, err := net.SplitHostPort(name)
	if err != nil { // not an address with a port
		host = name
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, client: name, address: b.addressOf(host)}
	a.address.conns++
	b.accounts[a] = struct{}{}
	a.chargeLocked(Connection, b.clock.NowMs())
	return a
}

// addressOf returns the counts of a host. The caller holds b.mu.
func (b *Budget) addressOf(host string) *address {
	if known := b.addresses[host]; known != nil {
		return known
	}
	if len(b.addresses) >= maxAddresses {
		b.forgetAddresses()
	}
	if len(b.addresses) >= maxAddresses {
		host = otherAddresses
		if known := b.addresses[host]; known != nil {
			return known
		}
	}
	added := &address{host: host}
	b.addresses[host] = added
	return added
}

// negligibleWork is the work below which an address without connections is forgotten.
const negligibleWork Work = 1

// forgetIntervalMs is the time between two looks for hosts to forget, which take long while there are many.
const forgetIntervalMs = 1000

// forgetAddresses removes hosts that have no connection and have done nothing lately. The caller holds b.mu.
func (b *Budget) forgetAddresses() {
	nowMs := b.clock.NowMs()
	if nowMs < b.nextForgetMs {
		return
	}
	b.nextForgetMs = nowMs + forgetIntervalMs
	for host, known := range b.addresses {
		if known.conns == 0 && known.usage.at(nowMs) < negligibleWork {
			delete(b.addresses, host)
		}
	}
}

// Charge counts work of the connection. It does not block.
func (a *Account) Charge(work Work) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.chargeLocked(work, a.budget.clock.NowMs())
}

// chargeLocked counts work of the connection. The caller holds budget.mu.
func (a *Account) chargeLocked(work Work, nowMs float64) {
	a.usage.add(work, nowMs)
	a.address.usage.add(work, nowMs)
}

// Close ends the account. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if _, open := a.budget.accounts[a]; !open {
		return
	}
	delete(a.budget.accounts, a)
	a.address.conns--
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
	for _, known := range b.addresses {
		hosts = append(hosts, Usage{known.host, known.usage.at(nowMs)})
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
