package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

const (
	stepsPerMs   = 16  // number of steps of a benchmark per simulated millisecond
	maxMapTimers = 1e5 // largest number of timers with which the map is measured, since searching a larger map takes seconds
	timersPerMs  = 4   // each of n timers is set to expire after n/timersPerMs ms, so that about 2 % fire before they are rescheduled
)

// heapEntry is a timer in the heap that is compared with the wheel. A canceled entry stays in the heap until it would have
// fired.
type heapEntry struct {
	at       float64
	canceled bool
}

// timerHeap implements heap.Interface.
type timerHeap []*heapEntry

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(*heapEntry)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// BenchmarkTimers measures a load like that of the exchange store: n timers are pending, and each step reschedules one. The
// time advances by 1 ms every stepsPerMs steps; timers that fire are scheduled again. The wheel is compared with a heap and
// with a map that is searched for expired timers.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		span := float64(n) / timersPerMs
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) { benchmarkWheel(b, n, span) })
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) { benchmarkHeap(b, n, span) })
		if n <= maxMapTimers {
			b.Run(fmt.Sprintf("map/%d", n), func(b *testing.B) { benchmarkMap(b, n, span) })
		}
	}
}

func benchmarkWheel(b *testing.B, n int, span float64) {
	random, now := rand.New(rand.NewPCG(1, 2)), 0.0
	wheel, timers := New[int](0, 1), make([]Timer[int], n)
	for i := range timers {
		wheel.Schedule(&timers[i], random.Float64()*span)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		wheel.Schedule(&timers[random.IntN(n)], now+span)
		if i%stepsPerMs == 0 {
			now++
			wheel.Advance(now, func(timer *Timer[int]) { wheel.Schedule(timer, now+span) })
		}
	}
}

func benchmarkHeap(b *testing.B, n int, span float64) {
	random, now := rand.New(rand.NewPCG(1, 2)), 0.0
	var timers timerHeap
	entries := make([]*heapEntry, n)
	for i := range entries {
		entries[i] = &heapEntry{at: random.Float64() * span}
		heap.Push(&timers, entries[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := random.IntN(n)
		entries[k].canceled = true
		entries[k] = &heapEntry{at: now + span}
		heap.Push(&timers, entries[k])
		if i%stepsPerMs == 0 {
			for now++; timers[0].at <= now; {
				if entry := heap.Pop(&timers).(*heapEntry); !entry.canceled {
					entry.at = now + span
					heap.Push(&timers, entry)
				}
			}
		}
	}
}

func benchmarkMap(b *testing.B, n int, span float64) {
	random, now := rand.New(rand.NewPCG(1, 2)), 0.0
	timers := map[int]float64{}
	for i := range n {
		timers[i] = random.Float64() * span
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		timers[random.IntN(n)] = now + span
		if i%stepsPerMs == 0 {
			now++
			for key, at := range timers {
				if at <= now {
					timers[key] = now + span
				}
			}
		}
	}
}
