package quota

import (
	"fmt"
	"slices"
	"testing"
)

// testPool is the pool that the simulated gateways share.
const testPool = 7

// noTraffic is a value of gateway.demand: none of the pool's traffic arrives at the gateway, so it reports no demand.
const noTraffic = -1

// roundingError is the amount by which rounding may make a sum of fractions exceed 1.
const roundingError = 1e-9

func testSettings(self uint16, incarnation uint32) Settings {
	return Settings{Self: self, Incarnation: incarnation, LeaseMs: 1000, ClockDrift: 0.02, MaxGrantedFraction: 0.75,
		RequestIntervalMs: 100, IdleTimeoutMs: 60_000, MaxPools: 4, MaxPeers: 8}
}

// gateway is a simulated process with its own clock.
type gateway struct {
	allocator     *Allocator
	clockRate     float64 // ratio of the gateway's clock to the network's time
	clockOffsetMs float64 // what the gateway's clock shows at time 0 of the network, in ms
	demand        float64 // fraction of the pool that the gateway's traffic could use, or noTraffic
	dead          bool
	paused        bool
	inbox         []Message
}

// packet is a message in flight. The field Peer of the message is the recipient.
type packet struct {
	sender  uint16
	message Message
}

// network simulates gateways that exchange messages.
type network struct {
	nowMs           float64
	gateways        []*gateway
	inFlight        []packet
	lastIncarnation uint32
	maxInUse        float64 // largest fraction that the gateways together could use in any call of checkInvariant
}

// newNetwork returns a network of started gateways whose startup hold has ended. The clocks of gateways with even indexes are
// slow, and those of the others fast, by nearly the ClockDrift of 0.02 that testSettings allows.
func newNetwork(t testing.TB, gateways int) *network {
	t.Helper()
	net := &network{}
	for i := range gateways {
		g := &gateway{clockRate: 0.981, clockOffsetMs: float64(i) * 12345}
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
	g := &gateway{allocator: allocator, clockRate: old.clockRate, clockOffsetMs: old.clockOffsetMs}
	net.gateways[i] = g
	g.allocator.Step(net.clock(g), nil, nil)
	g.allocator.SetPeers(net.peersOf(i))
}

// clock returns the current time of a gateway's clock in ms.
func (net *network) clock(g *gateway) float64 { return g.clockOffsetMs + net.nowMs*g.clockRate }

// peersOf returns the indexes of all gateways except i.
func (net *network) peersOf(i int) []uint16 {
	var peers []uint16
	for peer := range net.gateways {
		if peer != i {
			peers = append(peers, uint16(peer))
		}
	}
	return peers
}

// step makes a gateway process its inbox and demand, unless it is dead or paused.
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

// deliverCopy copies a packet to its recipient's inbox and leaves the packet in flight, like a network that duplicates it.
func (net *network) deliverCopy(at int) {
	message := net.inFlight[at].message
	recipient := net.gateways[message.Peer]
	if recipient.dead {
		return
	}
	message.Peer = net.inFlight[at].sender
	recipient.inbox = append(recipient.inbox, message)
}

// runReliably runs the network for durationMs without loss or delay.
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

// checkInvariant returns an error if the gateways together may use more than the whole pool now. A paused gateway counts
// with the fraction that it would find on resuming, because it asks its allocator before it uses quota. A gateway without
// state for the pool counts with its own share, less the part that it must not use during its startup hold. A dead gateway
// uses nothing.
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
		return fmt.Errorf("at %.0f ms the gateways may use %.4f of the pool, want at most 1", net.nowMs, sum)
	}
	return nil
}
