package quota

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
)

var depth = flag.Int("depth", 4, "length of the event sequences that TestAllInterleavings enumerates")

// The events of a network of n gateways are numbered. Those of single gateways come first, n of each kind: event
// kind*n+i is of gateway i.
const (
	eventStep = iota
	eventChangeDemandAndStep
	eventCrashOrStart
	eventPauseOrResume
	gatewayEventKinds
)

// The events of the network follow, beginning with number gatewayEventKinds*n.
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

// networkEvent returns the number of an event of a network of n gateways.
func networkEvent(n, kind int) int { return gatewayEventKinds*n + kind }

// apply applies an event by its number. Events that are impossible now change nothing.
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

// nextDemand cycles through all, some and none of the pool.
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

// advance changes a sequence of numbers below base to the next one, and reports false behind the last one.
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

// TestAllInterleavings plays every sequence of depth events of two gateways after several prefixes, in most of which one
// has lent to the other, and checks the invariant after each event.
func TestAllInterleavings(t *testing.T) {
	const (
		n       = 2
		step0   = eventStep*n + 0
		step1   = eventStep*n + 1
		demand0 = eventChangeDemandAndStep*n + 0
		demand1 = eventChangeDemandAndStep*n + 1
		crash0  = eventCrashOrStart*n + 0 // the second one starts it again
	)
	pass, half := networkEvent(n, eventTimePasses), networkEvent(n, eventHalfLeasePasses)
	oldest, newest := networkEvent(n, eventDeliverOldest), networkEvent(n, eventDuplicateNewest)
	// Gateway 0 holds what gateway 1 has lent.
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
		{"half of the lease over, duplicate in flight", []int{demand0, step1, oldest, step1, newest, step0, half}},
		{"renewed, second grant in flight", afterBorrowing(half, step0, oldest, step1)},
		{"return in flight", afterBorrowing(pass, demand0)},
		{"grant and later return in flight", afterBorrowing(pass, step0, oldest, step1, pass, demand0)},
		{"two returns late, more lent since",
			afterBorrowing(pass, demand0, pass, demand0, pass, demand0, newest, step1, newest, step0)},
		{"grant to an earlier incarnation in flight", []int{demand0, crash0, oldest, step1, half, crash0, demand0}},
	}
	for _, prefix := range prefixes {
		t.Run(prefix.name, func(t *testing.T) {
			played := playAllSequences(t, n, prefix.events)
			t.Logf("%d sequences of %d events", played, *depth)
		})
	}
}

// playAllSequences plays every sequence of depth events after a prefix, and returns their number.
func playAllSequences(t *testing.T, gateways int, prefix []int) (played int) {
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
				t.Fatalf("after events %v: %v", sequence[:at+1], err)
			}
		}
		played++
	}
	return played
}

// TestRandomInterleavings plays long random sequences of events of two to six gateways.
func TestRandomInterleavings(t *testing.T) {
	const (
		seeds          = 300
		events         = 1500
		minLentMoments = 1000 // below that the test would show little
	)
	maxInUse, lentMoments := 0.0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		net := newNetwork(t, 2+int(seed%5))
		n := len(net.gateways)
		for range events {
			event := random.IntN(eventCount(n))
			if random.IntN(3) == 0 {
				event = networkEvent(n, eventDeliverOldest) // most messages arrive
			}
			net.apply(t, event)
			if err := net.checkInvariant(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if lent, _ := net.gateways[0].allocator.LentAndBorrowed(testPool); lent > 0 {
				lentMoments++
			}
		}
		maxInUse = max(maxInUse, net.maxInUse)
	}
	t.Logf("at most %.6f in use, %d moments with something lent", maxInUse, lentMoments)
	if lentMoments < minLentMoments {
		t.Errorf("quota was lent at %d moments, want %d or more", lentMoments, minLentMoments)
	}
}

// FuzzInterleavings plays sequences of events: the first byte gives the number of gateways, each other one an event.
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
