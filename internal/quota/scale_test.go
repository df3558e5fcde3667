package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// lossyNetwork simulates many gateways in ticks. It loses messages, and delivers the others in the next tick or the one
// after.
type lossyNetwork struct {
	allocators []*Allocator
	random     *rand.Rand
	lossRate   float64
	arrivals   map[int][]packet // by tick
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

// receive returns the messages that arrive in a tick, by recipient.
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

// step steps every gateway that has messages or demands.
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

// available returns the sum of what gateways may use of a pool.
func (net *lossyNetwork) available(nowMs float64, pool int, gateways []int) (sum float64) {
	for _, i := range gateways {
		sum += net.allocators[i].AvailableFraction(nowMs, uint64(pool))
	}
	return sum
}

// demandsOf returns the demands of each gateway, given the gateways of each pool. The first one of a pool uses most of it.
func demandsOf(members [][]int) map[int][]Demand {
	demands := map[int][]Demand{}
	for pool, gateways := range members {
		for k, i := range gateways {
			demand := Demand{Pool: uint64(pool), Gateways: len(gateways), Fraction: 0.01}
			if k == 0 {
				demand.Fraction = 0.9
			}
			demands[i] = append(demands[i], demand)
		}
	}
	return demands
}

// TestLendersAreFoundAmongManyGateways runs 300 gateways with message loss. The traffic of each pool arrives at three of
// them, mostly at the first, and none knows which the others are. Borrowers find the lenders within the bound, and the
// invariant holds in every tick.
func TestLendersAreFoundAmongManyGateways(t *testing.T) {
	const (
		gateways = 300
		pools    = 20
		perPool  = 3
		tickMs   = 25.0
	)
	net := newLossyNetwork(t, gateways, 0.1)
	members := make([][]int, pools) // of each pool, the busy one first
	for pool := range members {
		members[pool] = net.random.Perm(gateways)[:perPool]
	}
	demands := demandsOf(members)

	startMs := testSettings(0, 0).GrantHoldMs() + tickMs
	boundMs := testSettings(0, 0).LenderSearchBoundMs(gateways)
	foundAfterMs := make([]float64, pools)
	for tick := 0; float64(tick)*tickMs < startMs+3*boundMs; tick++ {
		nowMs := startMs + float64(tick)*tickMs
		net.step(tick, nowMs, demands)
		for pool, gateways := range members {
			if sum := net.available(nowMs, pool, gateways); sum > 1+roundingError {
				t.Fatalf("at %.0f ms gateways may use %.4f of pool %d", nowMs, sum, pool)
			}
			if foundAfterMs[pool] == 0 && net.available(nowMs, pool, gateways[:1]) > 0.8 {
				foundAfterMs[pool] = nowMs - startMs
			}
		}
	}

	slices.Sort(foundAfterMs)
	median, last := foundAfterMs[pools/2], foundAfterMs[pools-1]
	t.Logf("both lenders found after %.0f ms in the median, %.0f at most; bound without loss %.0f; %d messages",
		median, last, boundMs, net.sent)
	if foundAfterMs[0] == 0 || median > boundMs+4*tickMs {
		t.Errorf("lenders found after %v ms, want a median within %v and none missing", foundAfterMs, boundMs+4*tickMs)
	}
}
