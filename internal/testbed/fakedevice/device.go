// Package device is a stand-in for devices on poor links, as real ones behave: they give up on a silent connection,
// reconnect and send again, unchanged or changed, over two connections at once, or come back after their answer.
package fakedevice

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/invariants"
)

// Exchange is one exchange of a device.
type Exchange struct {
	Object   string // 16 hex digits
	Key      string
	Write    bool
	Class    string
	Body     []byte
	Size     int // of a read's answer
	Shard    int // -1: any
	Deadline time.Time
}

// copied is one copy of a job on its way.
type copied struct {
	Exchange
	n      int
	left   time.Duration
	repeat bool      // a copy before was sent to its last byte
	began  time.Time // of the first
	sentTo string    // the gateway when the first was sent, as far as heard
	have   []byte    // of the answer, from an earlier copy
	etag   string
}

// result is what a copy came to.
type result struct {
	outcome invariants.Outcome
	content string
	after   time.Duration // of a refusal: when to come back
	sent    bool          // to its last byte
	sentAt  time.Time     // when that was
	heard   bool          // something came back
	note    string        // the answer's code
	have    []byte        // of an answer that broke off
	etag    string
	bytes   int // sent
}

// ErrLost is the end of a connection without an answer.
var ErrLost = errors.New("no answer")

// Transport sends copies over one protocol.
type Transport interface {
	// send sends a copy over the connection that it has or a new one, and waits for the answer until ctx ends. An
	// error is a connection lost or given up.
	send(ctx context.Context, c *copied) (result, error)
	// Close closes its connection.
	Close()
	// Link is the link under its connection; nil: it has none.
	Link() Link
}

// Link is what a device's wire runs over.
type Link interface {
	// FaultySince tells whether it misbehaved since a time.
	FaultySince(since time.Time) bool
	// TransferTime is what a message of so many bytes and a short answer take otherwise.
	TransferTime(bytes int) time.Duration
}

// Dialer connects to the gateway over a link.
type Dialer func(ctx context.Context) (net.Conn, Link, error)

// answerTime is what a gateway may take at its end for an answer that it gives at the last moment.
const answerTime = 150 * time.Millisecond

// Device works on jobs, one after the other.
type Device struct {
	Name            string
	Transport       Transport
	SecondTransport Transport // for two connections at once; nil: none
	Checker         *invariants.Checker
	Rand            *rand.Rand
	ResponseTimeout time.Duration // before it gives a silent connection up
	QuirkRate       float64       // part of its jobs in which it behaves oddly
}

// Do works on a job until its deadline.
func (d *Device) Do(j Exchange) {
	began := time.Now()
	odd := ""
	if d.Rand.Float64() < d.QuirkRate {
		odd = []string{"again", "changed", "twin", "leaves", "again late"}[d.Rand.IntN(5)]
	}
	c := &copied{Exchange: j, began: began}
	final := false
	for !final {
		c.left = time.Until(j.Deadline)
		if c.left < 5*time.Millisecond {
			break
		}
		c.n++
		if odd == "twin" && d.SecondTransport != nil {
			odd = ""
			twin := *c
			over := make(chan bool)
			c.n++
			rnd := rand.New(rand.NewPCG(d.Rand.Uint64(), 1)) // each goroutine its own
			go func() {
				d.try(d.SecondTransport, &twin, rnd)
				over <- true
			}()
			final = d.try(d.Transport, c, d.Rand)
			<-over
			c.repeat = true
			continue
		}
		if odd == "changed" && c.n > 1 && j.Write { // its program made another body under the same key
			odd = ""
			other := *c
			other.Body = append([]byte("another "), c.Body...)
			d.try(d.Transport, &other, d.Rand)
			continue
		}
		final = d.try(d.Transport, c, d.Rand)
		if !final && odd == "leaves" {
			d.Transport.Close()
			time.Sleep(time.Until(j.Deadline))
			break
		}
	}
	if odd == "again" && final || odd == "again late" {
		if odd == "again late" {
			d.Transport.Close()
			time.Sleep(time.Duration(d.Rand.Float64() * float64(2*time.Second)))
		}
		c.n++
		c.left, c.repeat, c.have = 2*time.Second, true, nil
		d.try(d.Transport, c, d.Rand)
	}
}

// try sends one copy; it tells whether the device has its answer.
func (d *Device) try(w Transport, c *copied, rnd *rand.Rand) bool {
	wait := min(c.left, d.ResponseTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	began := time.Now()
	res, err := w.send(ctx, c)
	d.Checker.RecordBytesSent(c.Object, res.bytes)
	c.repeat = c.repeat || res.sent
	if err != nil {
		if res.have != nil {
			c.have, c.etag = res.have, res.etag
		}
		// Whoever waited to the end, and had sent so early that an answer could be back by then, must have one. A
		// gateway that has not met the link yet learns what it takes by a round trip: that must fit as well.
		if l := w.Link(); ctx.Err() != nil && wait == c.left && res.sent && !res.heard && l != nil &&
			began.Add(wait).Sub(res.sentAt) > 2*l.TransferTime(res.bytes)+answerTime && !l.FaultySince(began.Add(-time.Second)) {
			d.Checker.RecordMissingResponse(c.Object, fmt.Sprintf("copy %d: %d bytes sent %d ms before the end of %d ms, of which the link needs %d", c.n,
				res.bytes, began.Add(wait).Sub(res.sentAt).Milliseconds(), wait.Milliseconds(), l.TransferTime(res.bytes).Milliseconds()))
		}
		w.Close()
		sleep(min(time.Duration(20+rnd.IntN(200))*time.Millisecond, time.Until(c.Deadline)))
		return false
	}
	d.Checker.RecordResponse(c.Object, c.n, res.outcome, res.content, res.note)
	switch res.outcome {
	case invariants.Served, invariants.Failed, invariants.Conflict: // a conflict is no answer to the exchange, but to the copy
		return true
	case invariants.Rejected:
		c.repeat, c.began, c.sentTo = false, time.Now(), "" // nothing of it was done: the next copy is a first one
		if res.after <= 0 {
			res.after = 100 * time.Millisecond
		}
		sleep(min(res.after, time.Until(c.Deadline)))
	}
	return false
}

func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// content names an answer's bytes.
func content(b []byte) string { return fakestorage.Digest(b) }
