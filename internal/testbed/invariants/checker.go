// Package invariants compares what devices received with what storage servers executed, and counts what must never happen.
//
// The fakes of devices and servers record into a [Checker]; [Checker.Result] evaluates the records. The package owns the
// records and starts no goroutine; its only clock is time.Now, which tests may run in a bubble of testing/synctest.
package invariants

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Outcome is the outcome of a copy as its device received it.
type Outcome uint8

// The outcomes. Served and Failed are final for the exchange; the others promise that nothing of the copy was done.
const (
	Served Outcome = iota
	Failed
	Rejected
	Conflict
)

var outcomeNames = [...]string{Served: "served", Failed: "failed", Rejected: "rejected", Conflict: "conflict"}

// String returns the outcome in lower case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// final reports whether the outcome ends its exchange.
func (o Outcome) final() bool { return o == Served || o == Failed }

// Exchange is what is known of an exchange before its first copy is sent.
type Exchange struct {
	ID          string
	Write       bool
	Weight      float64       // the priority weight of its class
	DedupWindow time.Duration // for which servers drop repeats of its key
	Deadline    time.Time
	Size        int // bytes of the body
}

// Execution is a request that reached a server completely.
type Execution struct {
	Server, Shard, Key string
	Content            string // the digest of the body
	At                 time.Time
	Deduplicated       bool // whether the server dropped it by its key
	Incarnation        int  // of the gateway, for clients that cannot mark a retry; otherwise 0
	DrainNotified      bool // whether the gateway had been notified over a second ago that the server drains
}

// response is what a copy of an exchange received.
type response struct {
	copy        int
	outcome     Outcome
	content     string
	at          time.Time
	incarnation int // of the gateway
	note        string
}

// exchange is an exchange with all that was recorded of it.
type exchange struct {
	Exchange
	beganAt         time.Time
	incarnation     int // of the gateway when it began
	responses       []response
	executions      []Execution
	missingResponse string // what its device has sent before it timed out on a working link; empty if it did not
	bytesSent       int
}

// Checker records exchanges, their responses and executions. It is safe for concurrent use.
type Checker struct {
	mu          sync.Mutex
	exchanges   map[string]*exchange
	ids         []string // in the order of beginning
	incarnation int      // of the gateway
}

// New returns an empty checker.
func New() *Checker { return &Checker{exchanges: map[string]*exchange{}} }

// find returns the records of an exchange and starts them if there are none. c.mu must be held.
func (c *Checker) find(id string) *exchange {
	x := c.exchanges[id]
	if x == nil {
		x = &exchange{Exchange: Exchange{ID: id}}
		c.exchanges[id] = x
		c.ids = append(c.ids, id)
	}
	return x
}

// Begin records an exchange before its first copy is sent.
func (c *Checker) Begin(e Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.find(e.ID)
	x.Exchange, x.beganAt, x.incarnation = e, time.Now(), c.incarnation
}

// RecordResponse records what a copy received. content is the digest of the response's body; note is added to reports.
func (c *Checker) RecordResponse(id string, copy int, outcome Outcome, content, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.find(id)
	x.responses = append(x.responses, response{copy, outcome, content, time.Now(), c.incarnation, note})
}

// RecordRestart records that the gateway has restarted and knows nothing of what it did before.
func (c *Checker) RecordRestart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnation++
}

// RecordBytesSent records bytes that a device has sent over its link for an exchange.
func (c *Checker) RecordBytesSent(id string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(id).bytesSent += bytes
}

// RecordMissingResponse records that a device waited until the deadline over a working link and received nothing.
func (c *Checker) RecordMissingResponse(id, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(id).missingResponse = how
}

// RecordExecution records a request that reached a server.
func (c *Checker) RecordExecution(id string, e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.find(id)
	x.executions = append(x.executions, e)
}

// history returns all that was recorded of an exchange in one line, with times in milliseconds since its beginning.
func (x *exchange) history() string {
	var b strings.Builder
	sinceBegin := func(t time.Time) int64 { return t.Sub(x.beganAt).Milliseconds() }
	fmt.Fprintf(&b, "deadline %d", sinceBegin(x.Deadline))
	for _, r := range x.responses {
		fmt.Fprintf(&b, "; copy %d %s (%s) by incarnation %d at %d", r.copy, r.outcome, r.note, r.incarnation, sinceBegin(r.at))
	}
	for _, e := range x.executions {
		fmt.Fprintf(&b, "; executed %s/%s key %.6s content %.6s at %d deduplicated %v", e.Server, e.Shard, e.Key, e.Content,
			sinceBegin(e.At), e.Deduplicated)
	}
	return b.String()
}
