package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// FuzzWheel checks random steps against the plain program: a list that is searched.
func FuzzWheel(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{0, 255, 3, 0, 64, 0, 0, 63, 1, 3, 255, 2, 3, 200, 3, 250})
	f.Add([]byte{0, 5, 4, 0, 5, 3, 3, 9, 0, 5, 0, 5, 3, 1, 3, 255, 3, 255, 3, 255})
	f.Add([]byte{7, 240, 11, 255, 15, 255, 3, 100, 7, 255, 3, 128, 11, 255})
	f.Fuzz(func(t *testing.T, steps []byte) {
		type plain struct {
			timer *Timer[int]
			at    int64
			order int
		}
		const tick = 4.0
		w := New[int](1000, tick)
		var model []plain
		now, order := int64(0), 0 // in ticks
		remove := func(x *Timer[int]) bool {
			n := len(model)
			model = slices.DeleteFunc(model, func(p plain) bool { return p.timer == x })
			return len(model) < n
		}
		var all []*Timer[int]
		add := func(x *Timer[int], after int64) {
			remove(x)
			order++
			model = append(model, plain{x, max(now+1, now+after), order})
			w.Schedule(x, 1000+tick*float64(now+after))
		}
		for i := 0; i+1 < len(steps); i += 2 {
			far := int64(1) << (steps[i] >> 2 % 32) // up to beyond the horizon
			n := int64(steps[i+1]) * max(1, far/64)
			switch steps[i] % 4 {
			case 0, 1:
				x := &Timer[int]{Value: len(all)}
				all = append(all, x)
				add(x, n)
			case 2:
				if len(all) > 0 {
					x := all[int(n)%len(all)]
					if got, want := w.Cancel(x), remove(x); got != want {
						t.Fatalf("cancelled %v, want %v", got, want)
					}
				}
			case 3:
				end := now + n
				w.Advance(1000+tick*float64(end), func(x *Timer[int]) {
					best := slices.MinFunc(model, func(a, b plain) int {
						if a.at != b.at {
							return int(min(1, max(-1, a.at-b.at)))
						}
						return a.order - b.order
					})
					if best.timer != x || best.at > end {
						t.Fatalf("fired %d, want %d, due at %d of %d", x.Value, best.timer.Value, best.at, end)
					}
					now = best.at
					remove(x)
					if x.Value%3 == 0 && x.Value > 0 { // a timer that sets itself and cancels another
						add(x, int64(x.Value))
						y := all[x.Value-1]
						if w.Cancel(y) != remove(y) {
							t.Fatal("a timer cancelled from within another")
						}
						x.Value-- // not for ever
					}
				})
				now = end
			}
			if w.Len() != len(model) {
				t.Fatalf("%d timers, want %d", w.Len(), len(model))
			}
			next, ok := w.NextExpiry()
			for _, p := range model {
				if p.at <= now {
					t.Fatalf("%d was due at %d, it is %d", p.timer.Value, p.at, now)
				}
				if due := 1000 + tick*float64(p.at); next > due {
					t.Fatalf("next at %v, but %d is due at %v", next, p.timer.Value, due)
				}
			}
			if ok != (len(model) > 0) || ok && next <= 1000+tick*float64(now) {
				t.Fatalf("next %v, %v at %d with %d timers", next, ok, now, len(model))
			}
		}
	})
}

func TestOddTimes(t *testing.T) {
	w := New[string](0, 1)
	var fired []string
	for i, at := range []float64{-5, 0, 0.5, 1, 1.5} {
		w.Schedule(&Timer[string]{Value: fmt.Sprint(i)}, at)
	}
	far := &Timer[string]{Value: "far"}
	w.Schedule(far, 1e300)
	w.Advance(1, func(x *Timer[string]) { fired = append(fired, x.Value) })
	if !slices.Equal(fired, []string{"0", "1", "2", "3"}) || w.Len() != 2 {
		t.Errorf("fired %v by 1 ms, %d left", fired, w.Len())
	}
	w.Advance(3e9, func(x *Timer[string]) { fired = append(fired, x.Value) })
	if !far.Pending() || len(fired) != 5 || !w.Cancel(far) || w.Cancel(far) {
		t.Errorf("fired %v by 3e9 ms", fired)
	}
}

// The plain rivals: a heap in which cancelled entries stay until they come up, and a map that is searched.

type heapEntry struct {
	at   float64
	dead bool
}

type plainHeap []*heapEntry

func (h plainHeap) Len() int           { return len(h) }
func (h plainHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h plainHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *plainHeap) Push(x any)        { *h = append(*h, x.(*heapEntry)) }
func (h *plainHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// BenchmarkTimers is a ledger's use: n deadlines wait; each step moves one, and one in sixteen lets a
// millisecond pass and what is due is set again. One in a hundred is due before it is moved.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		span := float64(n) / 4 // how far ahead deadlines lie
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			r, now := rand.New(rand.NewPCG(1, 2)), 0.0
			w, all := New[int](0, 1), make([]Timer[int], n)
			for i := range all {
				w.Schedule(&all[i], r.Float64()*span)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.Schedule(&all[r.IntN(n)], now+span)
				if i%16 == 0 {
					now++
					w.Advance(now, func(x *Timer[int]) { w.Schedule(x, now+span) })
				}
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			r, now := rand.New(rand.NewPCG(1, 2)), 0.0
			var h plainHeap
			all := make([]*heapEntry, n)
			for i := range all {
				all[i] = &heapEntry{at: r.Float64() * span}
				heap.Push(&h, all[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := r.IntN(n)
				all[k].dead = true
				all[k] = &heapEntry{at: now + span}
				heap.Push(&h, all[k])
				if i%16 == 0 {
					for now++; h[0].at <= now; {
						if x := heap.Pop(&h).(*heapEntry); !x.dead {
							x.at = now + span
							heap.Push(&h, x)
						}
					}
				}
			}
		})
		if n > 1e5 {
			continue // the search takes seconds
		}
		b.Run(fmt.Sprintf("map/%d", n), func(b *testing.B) {
			r, now := rand.New(rand.NewPCG(1, 2)), 0.0
			m := map[int]float64{}
			for i := range n {
				m[i] = r.Float64() * span
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m[r.IntN(n)] = now + span
				if i%16 == 0 {
					now++
					for k, at := range m {
						if at <= now {
							m[k] = now + span
						}
					}
				}
			}
		})
	}
}
