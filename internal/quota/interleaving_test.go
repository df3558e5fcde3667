package quota

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
)

var depth = flag.Int("depth", 4, "length of the event sequences that TestAllInterleavings enumerates")

// Kinds of events of a single gateway. The events of a network of n gateways are numbered from 0: event kind*n+i is the
// event of this kind at gateway i.
const (
	eventStep = iota
	eventChangeDemandAndStep
	eventCrashOrStart
	eventPauseOrResume
	gatewayEventKinds
)

// Kinds of events of the whole network. The number of such an event is its kind plus gatewayEventKinds*n.
const (
	eventTimePasses = iota
	eventHalfLeasePasses
	eventDeliverOldest
	eventDuplicateNewest
	eventLoseOldest
	networkEventKinds
)

// eventCount returns the number of events of a network of n gateways.
func eventCount(n int) int { return gatewayEventKinds*n + networkEventKinds }

// networkEvent returns the number of the event of the given kind in a network of n gateways.
func networkEvent(n, kind int) int { return gatewayEventKinds*n + kind }

// apply applies the event with the given number. Events that are not possible in the current state change nothing.
func (net *network) apply(t testing.TB, event int) {
	n := len(net.gateways)
	if event >= gatewayEventKinds*n {
		net.applyNetworkEvent(event - gatewayEventKinds*n)
		return
	}
	i := event % n
	g := net.gateways[i]
	switch event / n {
	case eventStep:
		net.step(i)
	case eventChangeDemandAndStep:
		g.demand = nextDemand(g.demand)
		net.step(i)
	case eventCrashOrStart:
		if g.dead {
			net.start(t, i)
		} else {
			g.dead = true
		}
	case eventPauseOrResume:
		g.paused = !g.paused
	}
}

func (net *network) applyNetworkEvent(kind int) {
	switch kind {
	case eventTimePasses:
		net.nowMs += 130
		return
	case eventHalfLeasePasses:
		net.nowMs += testSettings(0, 0).LeaseMs / 2
		return
	}
	if len(net.inFlight) == 0 {
		return
	}
	switch kind {
	case eventDeliverOldest:
		net.deliver(0)
	case eventDuplicateNewest:
		net.deliverCopy(len(net.inFlight) - 1)
	case eventLoseOldest:
		net.inFlight = net.inFlight[1:]
	}
}

// nextDemand returns the demand that follows a demand in the cycle of 1, 0.6 and 0.
func nextDemand(demand float64) float64 {
	switch {
	case demand >= 1:
		return 0.6
	case demand > 0:
		return 0
	default:
		return 1
	}
}

// advance replaces a sequence of numbers below base by the next one in lexicographic order. It returns false after the last
// sequence.
func advance(sequence []int, base int) bool {
	for i := len(sequence) - 1; i >= 0; i-- {
		sequence[i]++
		if sequence[i] < base {
			return true
		}
		sequence[i] = 0
	}
	return false
}

// TestAllInterleavings applies every event sequence of length depth to two gateways. After each event it checks that the
// gateways together may use no more than the whole pool, whatever messages are lost, duplicated or delayed and whichever
// gateways pause or crash. The sequences follow several prefixes, in most of which one gateway has lent quota to the other one.
func TestAllInterleavings(t *testing.T) {
	const (
		n       = 2
		step0   = eventStep*n + 0
		step1   = eventStep*n + 1
		demand0 = eventChangeDemandAndStep*n + 0
		demand1 = eventChangeDemandAndStep*n + 1
		crash0  = eventCrashOrStart*n + 0 // crashes gateway 0, or starts it if it has crashed
	)
	pass, half := networkEvent(n, eventTimePasses), networkEvent(n, eventHalfLeasePasses)
	oldest, newest := networkEvent(n, eventDeliverOldest), networkEvent(n, eventDuplicateNewest)
	// After these events, gateway 0 has borrowed quota from gateway 1.
	borrowed := []int{demand0, step1, oldest, step1, oldest, step0}
	afterBorrowing := func(events ...int) []int { return append(slices.Clone(borrowed), events...) }
	prefixes := []struct {
		name   string
		events []int
	}{
		{"start", nil},
		{"both have demand", []int{demand0, demand1, step1, demand0}},
		{"grant delivered", []int{demand0, step1, oldest, step1, oldest}},
		{"borrowed", borrowed},
		{"half of the lease elapsed, duplicate in flight", []int{demand0, step1, oldest, step1, newest, step0, half}},
		{"renewed, second grant in flight", afterBorrowing(half, step0, oldest, step1)},
		{"return in flight", afterBorrowing(pass, demand0)},
		{"grant and later return in flight", afterBorrowing(pass, step0, oldest, step1, pass, demand0)},
		{"two delayed returns, more quota lent since",
			afterBorrowing(pass, demand0, pass, demand0, pass, demand0, newest, step1, newest, step0)},
		{"grant to an earlier incarnation in flight", []int{demand0, crash0, oldest, step1, half, crash0, demand0}},
	}
	for _, prefix := range prefixes {
		t.Run(prefix.name, func(t *testing.T) {
			sequences := applyAllSequences(t, n, prefix.events)
			t.Logf("applied %d sequences of %d events", sequences, *depth)
		})
	}
}

// applyAllSequences applies every event sequence of length depth after a prefix, and returns the number of sequences.
func applyAllSequences(t *testing.T, gateways int, prefix []int) (sequences int) {
	t.Helper()
	sequence := make([]int, *depth)
	for more := true; more; more = advance(sequence, eventCount(gateways)) {
		net := newNetwork(t, gateways)
		for _, event := range prefix {
			net.apply(t, event)
		}
		for at, event := range sequence {
			net.apply(t, event)
			if err := net.checkInvariant(); err != nil {
				t.Fatalf("after the prefix and events %v: %v", sequence[:at+1], err)
			}
		}
		sequences++
	}
	return sequences
}

// TestRandomInterleavings applies long random sequences of events to two to six gateways. After each event it checks that the
// gateways together may use no more than the whole pool.
func TestRandomInterleavings(t *testing.T) {
	const (
		seeds            = 300
		events           = 1500
		minLendingEvents = 1000 // minimum number of events after which gateway 0 has lent quota, so that lending is tested
	)
	maxInUse, lendingEvents := 0.0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		net := newNetwork(t, 2+int(seed%5))
		n := len(net.gateways)
		for range events {
			event := random.IntN(eventCount(n))
			if random.IntN(3) == 0 {
				event = networkEvent(n, eventDeliverOldest) // deliveries are frequent, so that most messages arrive
			}
			net.apply(t, event)
			if err := net.checkInvariant(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if lent, _ := net.gateways[0].allocator.LentAndBorrowed(testPool); lent > 0 {
				lendingEvents++
			}
		}
		maxInUse = max(maxInUse, net.maxInUse)
	}
	t.Logf("at most %.6f of the pool was usable; gateway 0 had lent quota after %d events", maxInUse, lendingEvents)
	if lendingEvents < minLendingEvents {
		t.Errorf("gateway 0 had lent quota after %d events, want at least %d", lendingEvents, minLendingEvents)
	}
}

// FuzzInterleavings checks after each event of a sequence that the gateways together may use no more than the whole pool. The
// first byte of the input determines the number of gateways, and each further byte is an event.
func FuzzInterleavings(f *testing.F) {
	const maxEvents = 2000
	f.Add([]byte{3, 2, 4, 1, 14, 1, 14, 0, 13, 0, 14, 1, 10})
	f.Add([]byte{2, 4, 3, 10, 1, 10, 8, 9, 9, 8, 0, 11})
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) == 0 {
			return
		}
		net := newNetwork(t, 2+int(input[0])%5)
		for _, event := range input[1:min(len(input), maxEvents)] {
			net.apply(t, int(event)%eventCount(len(net.gateways)))
			if err := net.checkInvariant(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
