// Package invariants compares what devices received with what storage servers executed, and counts the violations of the
// gateway's invariants.
//
// The fakes of devices and servers add records to a [Checker], and [Checker.Result] evaluates them. The package starts no
// goroutine. It reads the time only from time.Now, so it also works in a bubble of testing/synctest.
package invariants

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Outcome is the outcome of one transmission of an exchange, as its device received it.
type Outcome uint8

// Outcomes of a transmission. Served and Failed are final for the exchange. Rejected and Conflict guarantee that nothing was
// executed for the transmission.
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

// Exchange describes an exchange, as known before its first transmission.
type Exchange struct {
	ID          string
	Write       bool
	Weight      float64       // priority weight of the service class
	DedupWindow time.Duration // how long servers recognize a key and do not execute the request again
	Deadline    time.Time
	Size        int // size of the body in bytes
}

// Execution is a request that a server has received completely.
type Execution struct {
	Server, Shard, Key string
	Content            string // digest of the body
	At                 time.Time
	Deduplicated       bool // whether the server recognized the key of an earlier request and did not execute this one
	Incarnation        int  // incarnation of the gateway that sent the request; always 0 for protocols in which clients mark retries
	DrainNotified      bool // whether the gateway had been notified more than 1 s earlier that the server drains
}

// response is the response to one transmission of an exchange.
type response struct {
	copy        int // number of the transmission within its exchange
	outcome     Outcome
	content     string // digest of the body
	at          time.Time
	incarnation int    // incarnation of the gateway when the response was received
	note        string // status of the response, for the texts of violations
}

// exchangeRecord is everything that was recorded about an exchange.
type exchangeRecord struct {
	Exchange
	beganAt         time.Time
	incarnation     int // incarnation of the gateway when the exchange began
	responses       []response
	executions      []Execution
	missingResponse string // what the device had sent when it timed out on a working link; empty if it did not time out
	bytesSent       int    // bytes that the device has sent over its link
}

// Checker records exchanges, their responses and executions. It is safe for concurrent use.
type Checker struct {
	mu          sync.Mutex
	exchanges   map[string]*exchangeRecord
	ids         []string // IDs of the exchanges, in the order of their first records
	incarnation int      // current incarnation of the gateway, counted from 0
	uploads     int      // uploads whose commands all succeeded
	damaged     []string // descriptions of the uploads among them whose file has other content
}

// New returns an empty checker.
func New() *Checker { return &Checker{exchanges: map[string]*exchangeRecord{}} }

// find returns the record of an exchange and creates it if there is none. c.mu must be held.
func (c *Checker) find(id string) *exchangeRecord {
	record := c.exchanges[id]
	if record == nil {
		record = &exchangeRecord{Exchange: Exchange{ID: id}}
		c.exchanges[id] = record
		c.ids = append(c.ids, id)
	}
	return record
}

// Begin records an exchange before its first transmission.
func (c *Checker) Begin(e Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.find(e.ID)
	record.Exchange, record.beganAt, record.incarnation = e, time.Now(), c.incarnation
}

// RecordResponse records the response to a transmission. content is the digest of the response's body; note is added to
// reports.
func (c *Checker) RecordResponse(id string, transmission int, outcome Outcome, content, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.find(id)
	record.responses = append(record.responses, response{transmission, outcome, content, time.Now(), c.incarnation, note})
}

// RecordRestart records that the gateway has restarted and has lost the state of its earlier incarnation.
func (c *Checker) RecordRestart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnation++
}

// RecordUpload records an upload of a file whose commands all succeeded. damage describes how the stored file differs from it, and is
// empty if it does not.
func (c *Checker) RecordUpload(damage string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploads++
	if damage != "" {
		c.damaged = append(c.damaged, damage)
	}
}

// RecordBytesSent records bytes that a device has sent over its link for an exchange.
func (c *Checker) RecordBytesSent(id string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(id).bytesSent += bytes
}

// RecordMissingResponse records that a device waited until the deadline over a working link and received nothing. details
// says what the device had sent.
func (c *Checker) RecordMissingResponse(id, details string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(id).missingResponse = details
}

// RecordExecution records a request of an exchange that a server has received completely.
func (c *Checker) RecordExecution(id string, e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.find(id)
	record.executions = append(record.executions, e)
}

// history formats the record as one line, with times in milliseconds since the exchange began.
func (record *exchangeRecord) history() string {
	var b strings.Builder
	sinceBegin := func(t time.Time) int64 { return t.Sub(record.beganAt).Milliseconds() }
	fmt.Fprintf(&b, "deadline at %d ms", sinceBegin(record.Deadline))
	for _, r := range record.responses {
		fmt.Fprintf(&b, "; transmission %d %s (%s) by incarnation %d at %d ms", r.copy, r.outcome, r.note, r.incarnation,
			sinceBegin(r.at))
	}
	for _, e := range record.executions {
		fmt.Fprintf(&b, "; received by %s/%s with key %.6s and content %.6s at %d ms, deduplicated: %v", e.Server, e.Shard, e.Key,
			e.Content, sinceBegin(e.At), e.Deduplicated)
	}
	return b.String()
}
