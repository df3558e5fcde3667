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
	Rejected
	Conflict
)

var names = [...]string{"served", "failed", "refused", "conflict"}

// Execution is a request that reached a node whole.
type Execution struct {
	Server, Shard, Key, Content string
	At                          time.Time
	Deduplicated                bool // by its key
	Incarnation                 int  // of the gateway, for clients that cannot mark a repeat; else 0
	DrainNotified               bool // the node had been told to the gateway as draining for over a second
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
	runs     []Execution
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

// RecordResponse tells what a copy was told. content names the answer's bytes; note is for whoever reads of a fault.
func (c *Checker) RecordResponse(id string, copy int, o Outcome, content, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.get(id)
	x.answers = append(x.answers, answer{copy, o, content, time.Now(), c.life, note})
}

// RecordRestart tells that the gateway has started anew, with nothing known of what it did before.
func (c *Checker) RecordRestart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life++
}

// RecordBytesSent tells what a device's copies took on its link.
func (c *Checker) RecordBytesSent(id string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(id).bytes += bytes
}

// MissingResponses tells of a device that waited to the end on a link that worked.
func (c *Checker) RecordMissingResponse(id, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(id).waited = how
}

// RecordExecution tells of a run at a node.
func (c *Checker) RecordExecution(id string, r Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.get(id)
	x.runs = append(x.runs, r)
}

// Result is the count.
type Result struct {
	Exchanges, Writes                        int
	DuplicateResponses                       int // a copy that was answered twice, or copies of one exchange told different ends
	DisallowedRetries                        int // a write that ran where or when no key protects it, or with another content
	MissingResponses                         int
	LostWrites                               int // served writes that no node ran
	SendsToDraining                          int // to nodes that had been told to drain for more than a second
	ServedInTime                             int
	Weight, WeightInTime                     float64 // of all exchanges, and of those served in time
	ChangedByRestart                         int     // told one end, and to a copy that came after a restart another
	RewritesAfterRestart                     int     // file writes that came again to a gateway that had started anew
	WriteExecutions, BytesSent, PayloadBytes int
	ResponseTimes                            []time.Duration // from the beginning to the first final answer, sorted
	Unserved                                 map[string]int  // exchanges that were not served in time, by the last that their devices heard
	Violations                               []string        // the first of them in words
}

// ViolationCount is the number of things that must never be.
func (r *Result) ViolationCount() int {
	return r.DuplicateResponses + r.DisallowedRetries + r.MissingResponses + r.LostWrites + r.SendsToDraining
}

func (r *Result) fault(count *int, format string, args ...any) {
	*count++
	if len(r.Violations) < 20 {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
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
		r.Weight += x.worth
		r.BytesSent += x.bytes
		r.PayloadBytes += x.size
		copies := map[int]int{}
		var final *answer
		inTime := false
		for i := range x.answers {
			a := &x.answers[i]
			if copies[a.copy]++; copies[a.copy] == 2 {
				r.fault(&r.DuplicateResponses, "%s: copy %d was answered twice: %s", id, a.copy, x.story())
			}
			if a.outcome > Failed || !x.write && final != nil && a.at.After(x.deadline) {
				continue // a read that is asked for once more after its time is another one
			}
			if final == nil {
				final = a
				r.ResponseTimes = append(r.ResponseTimes, a.at.Sub(x.began))
			} else if a.life != x.life && a.outcome != final.outcome && (a.outcome == Failed || !x.write) {
				// "It may have been done" is all that a gateway can say that knows nothing; and a read it runs anew.
				r.ChangedByRestart++
			} else if a.outcome != final.outcome || a.content != final.content {
				r.fault(&r.DuplicateResponses, "%s: told %s, then %s: %s", id, names[final.outcome], names[a.outcome], x.story())
			}
			inTime = inTime || a.outcome == Served && !a.at.After(x.deadline)
		}
		if inTime {
			r.ServedInTime++
			r.WeightInTime += x.worth
		} else if n := len(x.answers); n > 0 {
			r.Unserved[names[x.answers[n-1].outcome]+" "+x.answers[n-1].note]++
		} else {
			r.Unserved["nothing"]++
		}
		if x.waited != "" {
			r.fault(&r.MissingResponses, "%s: no answer by the deadline on a link that worked (%s): %s", id, x.waited, x.story())
		}
		for _, run := range x.runs {
			if run.DrainNotified {
				r.fault(&r.SendsToDraining, "%s: sent to %s, which drains: %s", id, run.Server, x.story())
			}
		}
		if !x.write {
			continue
		}
		r.Writes++
		sort.SliceStable(x.runs, func(i, j int) bool { return x.runs[i].At.Before(x.runs[j].At) })
		for i, run := range x.runs {
			if !run.Deduplicated {
				r.WriteExecutions++
			}
			if first := x.runs[0]; i > 0 && run.Incarnation != first.Incarnation {
				r.RewritesAfterRestart++ // as a new WRITE, which to the protocol it is
			} else if i > 0 && (run.Shard != first.Shard || run.Key != first.Key || run.Content != first.Content && !run.Deduplicated ||
				run.At.Sub(first.At) >= x.window) {
				r.fault(&r.DisallowedRetries, "%s: ran again where nothing protects it: %s", id, x.story())
			}
		}
		if final != nil && final.outcome == Served && len(x.runs) == 0 {
			r.fault(&r.LostWrites, "%s: served, but never run", id)
		}
	}
	sort.Slice(r.ResponseTimes, func(i, j int) bool { return r.ResponseTimes[i] < r.ResponseTimes[j] })
	return r
}

// Quantile is a quantile of the times to an answer.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.ResponseTimes) == 0 {
		return 0
	}
	return r.ResponseTimes[min(int(q*float64(len(r.ResponseTimes))), len(r.ResponseTimes)-1)]
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
		fmt.Fprintf(&b, "; run %s/%s key %.6s content %.6s at %d dropped %v", r.Server, r.Shard, r.Key, r.Content, ms(r.At), r.Deduplicated)
	}
	return b.String()
}
