// Package fakedevice is a fake of devices on poor links. Like real ones they give up a silent connection, reconnect and send
// a copy of the request again, unchanged or changed, over two connections at once, or after its response.
//
// The package owns the devices' side of an exchange over CoAP, HTTP and SFTP. A [Device] works on one exchange after the other
// on its caller's goroutine; a second goroutine runs only while a copy is sent over two connections, and is waited for. What
// it receives goes to an invariants.Checker. Behavior depends on Rand and on what is received.
package fakedevice

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/invariants"
)

const (
	// gatewayResponseTime is the time that a gateway may take for a response which it gives at the last moment.
	gatewayResponseTime = 150 * time.Millisecond
	// minTimeLeft is the time before the deadline below which a device sends no further copy.
	minTimeLeft = 5 * time.Millisecond
	// defaultRetryDelay is the delay after a rejection that names none.
	defaultRetryDelay = 100 * time.Millisecond
	// maxLateResendDelay is the longest delay of a copy that is sent after the exchange has ended.
	maxLateResendDelay = 2 * time.Second
)

// Exchange is a request of a device.
type Exchange struct {
	Object   string // 16 hexadecimal digits
	Key      string // idempotency key
	Write    bool
	Class    string
	Body     []byte // of a write
	Size     int    // of a read's response, in bytes
	Shard    int    // -1: any
	Deadline time.Time
}

// requestCopy is one copy of a request.
type requestCopy struct {
	Exchange
	number       int // from 1
	timeLeft     time.Duration
	isRetry      bool      // an earlier copy was sent completely
	firstSentAt  time.Time // when the first copy was sent
	firstGateway string    // the gateway that the first copy was sent to, as far as it has named itself
	partial      []byte    // of the response, from an earlier copy
	etag         string    // of partial
}

// Device works on exchanges, one after the other.
type Device struct {
	Name            string
	Transport       Transport
	SecondTransport Transport // for two connections at once; nil: none
	Checker         *invariants.Checker
	Rand            *rand.Rand
	ResponseTimeout time.Duration // after which the device gives up a silent connection
	QuirkRate       float64       // fraction of its exchanges in which it behaves unusually
}

// quirk is an unusual behavior of a device in one exchange.
type quirk uint8

const (
	noQuirk    quirk = iota
	resend           // sends another copy after the response
	changeBody       // sends another body under the same key, once
	sendTwice        // sends a copy over each of two connections at once
	abandon          // disconnects after the first copy and does not connect again
	resendLate       // disconnects after the exchange and sends another copy later
)

// quirkCount is the number of quirks.
const quirkCount = int(resendLate)

var quirkNames = [...]string{noQuirk: "none", resend: "resend", changeBody: "change body", sendTwice: "send twice", abandon: "abandon",
	resendLate: "resend late"}

// String returns the quirk in lower case.
func (q quirk) String() string {
	if int(q) < len(quirkNames) {
		return quirkNames[q]
	}
	return fmt.Sprintf("quirk(%d)", uint8(q))
}

// drawQuirk draws the behavior in the next exchange.
func (d *Device) drawQuirk() quirk {
	if d.Rand.Float64() >= d.QuirkRate {
		return noQuirk
	}
	return quirk(1 + d.Rand.IntN(quirkCount))
}

// Do works on an exchange until its deadline.
func (d *Device) Do(e Exchange) {
	c := &requestCopy{Exchange: e, firstSentAt: time.Now()}
	behavior := d.drawQuirk()
	responded := false
	for !responded {
		c.timeLeft = time.Until(e.Deadline)
		if c.timeLeft < minTimeLeft {
			break
		}
		c.number++
		if behavior == sendTwice && d.SecondTransport != nil {
			behavior = noQuirk
			responded = d.sendOverBoth(c)
			continue
		}
		if behavior == changeBody && c.number > 1 && e.Write {
			behavior = noQuirk
			d.sendChanged(*c)
			continue
		}
		responded = d.send(d.Transport, c, d.Rand)
		if !responded && behavior == abandon {
			d.Transport.Close()
			time.Sleep(time.Until(e.Deadline))
			break
		}
	}
	if behavior == resend && responded || behavior == resendLate {
		d.sendAfterEnd(c, behavior)
	}
}

// sendOverBoth sends a copy over each of two connections at once. It reports whether the first has brought a response.
func (d *Device) sendOverBoth(c *requestCopy) (responded bool) {
	second := *c
	c.number++
	random := rand.New(rand.NewPCG(d.Rand.Uint64(), 1)) // A rand.Rand must not be shared by goroutines.
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.send(d.SecondTransport, &second, random)
	}()
	responded = d.send(d.Transport, c, d.Rand)
	<-done
	c.isRetry = true
	return responded
}

// sendChanged sends another body under the key of the exchange.
func (d *Device) sendChanged(c requestCopy) {
	c.Body = append([]byte("another "), c.Body...)
	d.send(d.Transport, &c, d.Rand)
}

// sendAfterEnd sends another copy after the exchange has ended.
func (d *Device) sendAfterEnd(c *requestCopy, behavior quirk) {
	if behavior == resendLate {
		d.Transport.Close()
		time.Sleep(time.Duration(d.Rand.Float64() * float64(maxLateResendDelay)))
	}
	c.number++
	c.timeLeft, c.isRetry, c.partial = 2*time.Second, true, nil
	d.send(d.Transport, c, d.Rand)
}

// send sends one copy and records what it receives. It reports whether the device need not send another copy: a conflict is
// not a response to the exchange, but it is one to the copy.
func (d *Device) send(t Transport, c *requestCopy, random *rand.Rand) (responded bool) {
	timeout := min(c.timeLeft, d.ResponseTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	startedAt := time.Now()
	res, err := t.send(ctx, c)
	d.Checker.RecordBytesSent(c.Object, res.bytesSent)
	c.isRetry = c.isRetry || res.sentCompletely
	if err != nil {
		if res.partial != nil {
			c.partial, c.etag = res.partial, res.etag
		}
		if ctx.Err() != nil && timeout == c.timeLeft {
			d.checkMissingResponse(t.Link(), c, res, startedAt)
		}
		t.Close()
		sleep(min(time.Duration(20+random.IntN(200))*time.Millisecond, time.Until(c.Deadline)))
		return false
	}
	d.Checker.RecordResponse(c.Object, c.number, res.outcome, res.content, res.note)
	if res.outcome != invariants.Rejected {
		return true
	}
	c.isRetry, c.firstSentAt, c.firstGateway = false, time.Now(), "" // Nothing was done: the next copy is a first one.
	if res.retryAfter <= 0 {
		res.retryAfter = defaultRetryDelay
	}
	sleep(min(res.retryAfter, time.Until(c.Deadline)))
	return false
}

// checkMissingResponse records a missing response if a device that waited until the deadline has sent the copy so early, over
// a link without faults, that the response could have arrived. A gateway that does not know the link yet measures it by a
// round trip, which must have been possible as well.
func (d *Device) checkMissingResponse(link Link, c *requestCopy, res result, startedAt time.Time) {
	if !res.sentCompletely || res.responseStarted || link == nil {
		return
	}
	transferTime := link.TransferTime(res.bytesSent)
	remaining := startedAt.Add(c.timeLeft).Sub(res.sentAt)
	if remaining <= 2*transferTime+gatewayResponseTime || link.FaultySince(startedAt.Add(-time.Second)) {
		return
	}
	d.Checker.RecordMissingResponse(c.Object, fmt.Sprintf("copy %d: %d bytes sent %d ms before the end of %d ms, of which the link needs %d",
		c.number, res.bytesSent, remaining.Milliseconds(), c.timeLeft.Milliseconds(), transferTime.Milliseconds()))
}

// sleep sleeps for d if it is positive.
func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// digest returns a short name of a response's body.
func digest(body []byte) string { return fakestorage.Digest(body) }
