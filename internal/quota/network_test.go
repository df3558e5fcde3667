package quota

import (
	"fmt"
	"slices"
	"testing"
)

// testPool is the pool that the simulated gateways share.
const testPool = 7

// noTraffic as a gateway's demand means that the pool's traffic does not arrive there at all.
const noTraffic = -1

// roundingError is how far a sum of fractions may exceed 1.
const roundingError = 1e-9

func testSettings(self uint16, incarnation uint32) Settings {
	return Settings{Self: self, Incarnation: incarnation, LeaseMs: 1000, ClockDrift: 0.02, MaxGrantedFraction: 0.75,
		RequestIntervalMs: 100, IdleTimeoutMs: 60_000, MaxPools: 4, MaxPeers: 8}
}

// gateway is a simulated process, with a clock of its own rate and zero.
type gateway struct {
	allocator *Allocator
	clockRate float64
	clockZero float64
	demand    float64
	dead      bool
	paused    bool
	inbox     []Message
}

// packet is a message in flight. Its Peer is the recipient.
type packet struct {
	sender  uint16
	message Message
}

// network simulates gateways that exchange messages, and sums what they may use.
type network struct {
	nowMs           float64
	gateways        []*gateway
	inFlight        []packet
	lastIncarnation uint32
	maxInUse        float64 // the largest sum that checkInvariant has seen
}

// newNetwork returns a network whose gateways have started, at a time when their startup hold is over. Neighbours' clocks
// differ in rate by nearly the drift.
func newNetwork(t testing.TB, gateways int) *network {
	t.Helper()
	net := &network{}
	for i := range gateways {
		g := &gateway{clockRate: 0.981, clockZero: float64(i) * 12345}
		if i%2 == 1 {
			g.clockRate = 1.019
		}
		net.gateways = append(net.gateways, g)
		net.start(t, i)
	}
	net.nowMs = 2 * testSettings(0, 0).GrantHoldMs()
	return net
}

// start starts a new incarnation of a gateway.
func (net *network) start(t testing.TB, i int) {
	t.Helper()
	net.lastIncarnation++
	allocator, err := New(testSettings(uint16(i), net.lastIncarnation))
	if err != nil {
		t.Fatal(err)
	}
	old := net.gateways[i]
	g := &gateway{allocator: allocator, clockRate: old.clockRate, clockZero: old.clockZero}
	net.gateways[i] = g
	g.allocator.Step(net.clock(g), nil, nil)
	g.allocator.SetPeers(net.peersOf(i))
}

// clock returns what a gateway's clock shows.
func (net *network) clock(g *gateway) float64 { return g.clockZero + net.nowMs*g.clockRate }

// peersOf returns all gateways but one.
func (net *network) peersOf(i int) []uint16 {
	var peers []uint16
	for peer := range net.gateways {
		if peer != i {
			peers = append(peers, uint16(peer))
		}
	}
	return peers
}

// step lets a gateway process its inbox and demand.
func (net *network) step(i int) {
	g := net.gateways[i]
	if g.dead || g.paused {
		return
	}
	received := g.inbox
	g.inbox = nil
	g.allocator.SetPeers(net.peersOf(i))
	var demands []Demand
	if g.demand >= 0 {
		demands = []Demand{{Pool: testPool, Gateways: len(net.gateways), Fraction: g.demand}}
	}
	outgoing, _ := g.allocator.Step(net.clock(g), demands, received)
	for _, message := range outgoing {
		net.inFlight = append(net.inFlight, packet{uint16(i), message})
	}
}

// deliver moves a packet to its recipient's inbox.
func (net *network) deliver(at int) {
	net.deliverCopy(at)
	net.inFlight = slices.Delete(net.inFlight, at, at+1)
}

// deliverCopy copies a packet to its recipient's inbox and leaves it in flight, as a network that duplicates it.
func (net *network) deliverCopy(at int) {
	message := net.inFlight[at].message
	recipient := net.gateways[message.Peer]
	if recipient.dead {
		return
	}
	message.Peer = net.inFlight[at].sender
	recipient.inbox = append(recipient.inbox, message)
}

// runReliably runs the network for a while without loss or delay.
func (net *network) runReliably(durationMs float64) {
	const tickMs = 25
	for end := net.nowMs + durationMs; net.nowMs < end; net.nowMs += tickMs {
		for i := range net.gateways {
			net.step(i)
		}
		for len(net.inFlight) > 0 {
			net.deliver(0)
		}
	}
}

// available returns the fraction of the pool that a gateway may use.
func (net *network) available(i int) float64 {
	g := net.gateways[i]
	return g.allocator.AvailableFraction(net.clock(g), testPool)
}

// checkInvariant sums what may be used now. A paused gateway counts with what it finds when it resumes, since it asks its
// allocator before it sends; a dead one uses nothing.
func (net *network) checkInvariant() error {
	sum := 0.0
	for i, g := range net.gateways {
		if g.dead {
			continue
		}
		if g.allocator.pools[testPool] != nil {
			sum += net.available(i)
			continue
		}
		own := 1 / float64(len(net.gateways))
		if g.allocator.inStartupHold(net.clock(g)) {
			own *= 1 - g.allocator.settings.MaxGrantedFraction
		}
		sum += own
	}
	net.maxInUse = max(net.maxInUse, sum)
	if sum > 1+roundingError {
		return fmt.Errorf("at %.0f ms gateways may use %.4f of the pool", net.nowMs, sum)
	}
	return nil
}
