package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// lossyNetwork simulates many gateways in ticks. It drops each message with probability lossRate and delivers the others one
// or two ticks after they are sent.
type lossyNetwork struct {
	allocators []*Allocator
	random     *rand.Rand
	lossRate   float64
	arrivals   map[int][]packet // packets in flight, keyed by the tick in which they arrive
	sent       int
}

func newLossyNetwork(t *testing.T, gateways int, lossRate float64) *lossyNetwork {
	t.Helper()
	net := &lossyNetwork{random: rand.New(rand.NewPCG(1, 9)), lossRate: lossRate, arrivals: map[int][]packet{}}
	var all []uint16
	for i := range gateways {
		allocator, err := New(testSettings(uint16(i), uint32(i+1)))
		if err != nil {
			t.Fatal(err)
		}
		allocator.Step(0, nil, nil)
		net.allocators = append(net.allocators, allocator)
		all = append(all, uint16(i))
	}
	for i, allocator := range net.allocators {
		allocator.SetPeers(slices.DeleteFunc(slices.Clone(all), func(peer uint16) bool { return int(peer) == i }))
	}
	return net
}

// receive returns the messages that arrive in a tick, keyed by recipient.
func (net *lossyNetwork) receive(tick int) map[int][]Message {
	inboxes := map[int][]Message{}
	for _, p := range net.arrivals[tick] {
		recipient := int(p.message.Peer)
		p.message.Peer = p.sender
		inboxes[recipient] = append(inboxes[recipient], p.message)
	}
	delete(net.arrivals, tick)
	return inboxes
}

func (net *lossyNetwork) send(tick int, sender uint16, messages []Message) {
	for _, message := range messages {
		net.sent++
		if net.random.Float64() >= net.lossRate {
			arrival := tick + 1 + net.random.IntN(2)
			net.arrivals[arrival] = append(net.arrivals[arrival], packet{sender, message})
		}
	}
}

// step calls Step on the allocator of every gateway that has messages or demands.
func (net *lossyNetwork) step(tick int, nowMs float64, demands map[int][]Demand) {
	inboxes := net.receive(tick)
	for i, allocator := range net.allocators {
		if len(inboxes[i]) == 0 && len(demands[i]) == 0 {
			continue
		}
		outgoing, _ := allocator.Step(nowMs, demands[i], inboxes[i])
		net.send(tick, uint16(i), outgoing)
	}
}

// available returns the fraction of a pool that the given gateways may use together.
func (net *lossyNetwork) available(nowMs float64, pool int, gateways []int) (sum float64) {
	for _, i := range gateways {
		sum += net.allocators[i].AvailableFraction(nowMs, uint64(pool))
	}
	return sum
}

// demandsOf returns the demands of each gateway, given the gateways of each pool. The first gateway of a pool needs most of
// the pool.
func demandsOf(gatewaysByPool [][]int) map[int][]Demand {
	demands := map[int][]Demand{}
	for pool, gateways := range gatewaysByPool {
		for position, i := range gateways {
			demand := Demand{Pool: uint64(pool), Gateways: len(gateways), Fraction: 0.01}
			if position == 0 {
				demand.Fraction = 0.9
			}
			demands[i] = append(demands[i], demand)
		}
	}
	return demands
}

// TestLendersAreFoundAmongManyGateways runs 300 gateways with message loss. The traffic of each pool arrives at three of
// them, mostly at the first one, and at the start none of the three knows the other two. The test checks that the median
// borrower finds both lenders within LenderSearchBoundMs plus four ticks for the transfer of messages, and that the gateways of a
// pool together may never use more than the whole pool.
func TestLendersAreFoundAmongManyGateways(t *testing.T) {
	const (
		gateways = 300
		pools    = 20
		perPool  = 3
		tickMs   = 25.0
	)
	net := newLossyNetwork(t, gateways, 0.1)
	gatewaysByPool := make([][]int, pools) // the busy gateway of each pool is first
	for pool := range gatewaysByPool {
		gatewaysByPool[pool] = net.random.Perm(gateways)[:perPool]
	}
	demands := demandsOf(gatewaysByPool)

	startMs := testSettings(0, 0).GrantHoldMs() + tickMs
	boundMs := testSettings(0, 0).LenderSearchBoundMs(gateways)
	foundAfterMs := make([]float64, pools)
	for tick := 0; float64(tick)*tickMs < startMs+3*boundMs; tick++ {
		nowMs := startMs + float64(tick)*tickMs
		net.step(tick, nowMs, demands)
		for pool, gateways := range gatewaysByPool {
			if sum := net.available(nowMs, pool, gateways); sum > 1+roundingError {
				t.Fatalf("at %.0f ms the gateways may use %.4f of pool %d, want at most 1", nowMs, sum, pool)
			}
			// The busy gateway owns 1/3 of the pool, and each lender can lend it 3/4 (MaxGrantedFraction) of another 1/3. With one
			// lender it has at most 0.58, so more than 0.8 needs leases from both.
			if foundAfterMs[pool] == 0 && net.available(nowMs, pool, gateways[:1]) > 0.8 {
				foundAfterMs[pool] = nowMs - startMs
			}
		}
	}

	slices.Sort(foundAfterMs)
	median, last := foundAfterMs[pools/2], foundAfterMs[pools-1]
	t.Logf("both lenders found after a median of %.0f ms and a maximum of %.0f ms; bound without loss %.0f ms; %d messages sent",
		median, last, boundMs, net.sent)
	if foundAfterMs[0] == 0 || median > boundMs+4*tickMs {
		t.Errorf("lenders of each pool found after %v ms (0: not found), want all found and a median of at most %v ms",
			foundAfterMs, boundMs+4*tickMs)
	}
}
