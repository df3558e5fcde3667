// Package checker holds what devices saw against what storage nodes ran, and counts what must never be.
package invariants

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Outcome is what a device was told.
type Outcome uint8

// The outcomes. Served and Failed are final; the others promise that nothing of the copy was done.
const (
	Served Outcome = iota
	Failed
	Refused
	Conflict
)

var names = [...]string{"served", "failed", "refused", "conflict"}

// Run is a request that reached a node whole.
type Run struct {
	Node, Cell, Key, Content string
	At                       time.Time
	Dropped                  bool // by its key
	Life                     int  // of the gateway, for clients that cannot mark a repeat; else 0
	Told                     bool // the node had been told to the gateway as draining for over a second
}

type answer struct {
	copy    int
	outcome Outcome
	content string
	at      time.Time
	life    int // of the gateway
	note    string
}

type exchange struct {
	worth    float64
	write    bool
	window   time.Duration
	deadline time.Time
	answers  []answer
	runs     []Run
	waited   string // how its device waited to the end on a link that worked, and heard nothing; "": it did not
	bytes    int    // that the device sent
	size     int    // of what it had to send
	began    time.Time
	life     int // of the gateway, when it began
}

// Checker collects. It is safe for concurrent use.
type Checker struct {
	mu  sync.Mutex
	all map[string]*exchange
	key []string // in the order of beginning

	life int
}

// New returns an empty checker.
func New() *Checker { return &Checker{all: map[string]*exchange{}} }

func (c *Checker) get(id string) *exchange {
	x := c.all[id]
	if x == nil {
		x = &exchange{}
		c.all[id] = x
		c.key = append(c.key, id)
	}
	return x
}

// Begin tells of an exchange before its first copy. worth is its class's, size is what its device has to send at the least.
func (c *Checker) Begin(id string, write bool, worth float64, window time.Duration, deadline time.Time, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.get(id)
	x.worth = worth
	x.write, x.window, x.deadline, x.size, x.began, x.life = write, window, deadline, size, time.Now(), c.life
}

// Answer tells what a copy was told. content names the answer's bytes; note is for whoever reads of a fault.
func (c *Checker) Answer(id string, copy int, o Outcome, content, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.get(id)
	x.answers = append(x.answers, answer{copy, o, content, time.Now(), c.life, note})
}

// Restarted tells that the gateway has started anew, with nothing known of what it did before.
func (c *Checker) Restarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life++
}

// Sent tells what a device's copies took on its link.
func (c *Checker) Sent(id string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(id).bytes += bytes
}

// Unanswered tells of a device that waited to the end on a link that worked.
func (c *Checker) Unanswered(id, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(id).waited = how
}

// Ran tells of a run at a node.
func (c *Checker) Ran(id string, r Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.get(id)
	x.runs = append(x.runs, r)
}

// Result is the count.
type Result struct {
	Exchanges, Writes           int
	DoubleAnswers               int // a copy that was answered twice, or copies of one exchange told different ends
	UnallowedRepeats            int // a write that ran where or when no key protects it, or with another content
	Unanswered                  int
	Phantoms                    int // served writes that no node ran
	LateSends                   int // to nodes that had been told to drain for more than a second
	ServedInTime                int
	Worth, WorthInTime          float64 // of all exchanges, and of those served in time
	Forgotten                   int     // told one end, and to a copy that came after a restart another
	Rewritten                   int     // file writes that came again to a gateway that had started anew
	WriteRuns, BytesSent, Bytes int
	Times                       []time.Duration // from the beginning to the first final answer, sorted
	Unserved                    map[string]int  // exchanges that were not served in time, by the last that their devices heard
	Faults                      []string        // the first of them in words
}

// Bad is the number of things that must never be.
func (r *Result) Bad() int {
	return r.DoubleAnswers + r.UnallowedRepeats + r.Unanswered + r.Phantoms + r.LateSends
}

func (r *Result) fault(count *int, format string, args ...any) {
	*count++
	if len(r.Faults) < 20 {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// Result counts all up.
func (c *Checker) Result() *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{Unserved: map[string]int{}}
	for _, id := range c.key {
		x := c.all[id]
		r.Exchanges++
		r.Worth += x.worth
		r.BytesSent += x.bytes
		r.Bytes += x.size
		copies := map[int]int{}
		var final *answer
		inTime := false
		for i := range x.answers {
			a := &x.answers[i]
			if copies[a.copy]++; copies[a.copy] == 2 {
				r.fault(&r.DoubleAnswers, "%s: copy %d was answered twice: %s", id, a.copy, x.story())
			}
			if a.outcome > Failed || !x.write && final != nil && a.at.After(x.deadline) {
				continue // a read that is asked for once more after its time is another one
			}
			if final == nil {
				final = a
				r.Times = append(r.Times, a.at.Sub(x.began))
			} else if a.life != x.life && a.outcome != final.outcome && (a.outcome == Failed || !x.write) {
				// "It may have been done" is all that a gateway can say that knows nothing; and a read it runs anew.
				r.Forgotten++
			} else if a.outcome != final.outcome || a.content != final.content {
				r.fault(&r.DoubleAnswers, "%s: told %s, then %s: %s", id, names[final.outcome], names[a.outcome], x.story())
			}
			inTime = inTime || a.outcome == Served && !a.at.After(x.deadline)
		}
		if inTime {
			r.ServedInTime++
			r.WorthInTime += x.worth
		} else if n := len(x.answers); n > 0 {
			r.Unserved[names[x.answers[n-1].outcome]+" "+x.answers[n-1].note]++
		} else {
			r.Unserved["nothing"]++
		}
		if x.waited != "" {
			r.fault(&r.Unanswered, "%s: no answer by the deadline on a link that worked (%s): %s", id, x.waited, x.story())
		}
		for _, run := range x.runs {
			if run.Told {
				r.fault(&r.LateSends, "%s: sent to %s, which drains: %s", id, run.Node, x.story())
			}
		}
		if !x.write {
			continue
		}
		r.Writes++
		sort.SliceStable(x.runs, func(i, j int) bool { return x.runs[i].At.Before(x.runs[j].At) })
		for i, run := range x.runs {
			if !run.Dropped {
				r.WriteRuns++
			}
			if first := x.runs[0]; i > 0 && run.Life != first.Life {
				r.Rewritten++ // as a new WRITE, which to the protocol it is
			} else if i > 0 && (run.Cell != first.Cell || run.Key != first.Key || run.Content != first.Content && !run.Dropped ||
				run.At.Sub(first.At) >= x.window) {
				r.fault(&r.UnallowedRepeats, "%s: ran again where nothing protects it: %s", id, x.story())
			}
		}
		if final != nil && final.outcome == Served && len(x.runs) == 0 {
			r.fault(&r.Phantoms, "%s: served, but never run", id)
		}
	}
	sort.Slice(r.Times, func(i, j int) bool { return r.Times[i] < r.Times[j] })
	return r
}

// Quantile is a quantile of the times to an answer.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.Times) == 0 {
		return 0
	}
	return r.Times[min(int(q*float64(len(r.Times))), len(r.Times)-1)]
}

// story is an exchange in one line.
func (x *exchange) story() string {
	var b strings.Builder
	ms := func(t time.Time) int64 { return t.Sub(x.began).Milliseconds() }
	fmt.Fprintf(&b, "deadline %d", ms(x.deadline))
	for _, a := range x.answers {
		fmt.Fprintf(&b, "; copy %d %s (%s) by life %d at %d", a.copy, names[a.outcome], a.note, a.life, ms(a.at))
	}
	for _, r := range x.runs {
		fmt.Fprintf(&b, "; run %s/%s key %.6s content %.6s at %d dropped %v", r.Node, r.Cell, r.Key, r.Content, ms(r.At), r.Dropped)
	}
	return b.String()
}
