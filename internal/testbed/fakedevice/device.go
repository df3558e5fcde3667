// Package fakedevice provides fakes of devices on poor links. Like a real device, a fake gives up a connection on which no response
// arrives, reconnects and transmits the request again. Some transmissions are unusual: with another body, over two connections
// at the same time, or after the response.
//
// The package owns the devices' side of an exchange over CoAP, HTTP and SFTP. A [Device] performs one exchange after the other in
// its caller's goroutine. It starts a second goroutine only to send over two connections at the same time, and waits for that
// goroutine. The Device records responses in an invariants.Checker. The behavior of a Device depends only on its field Rand and on
// what the Device receives.
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
	// gatewayResponseTime is the time that the gateway may need for a response, apart from the transfers over the link.
	gatewayResponseTime = 150 * time.Millisecond
	// minTimeLeft is the shortest remaining time with which a device starts another transmission.
	minTimeLeft = 5 * time.Millisecond
	// defaultRetryDelay is the delay after a rejection that specifies no delay.
	defaultRetryDelay = 100 * time.Millisecond
	// maxLateResendDelay is the longest delay from the end of an exchange to the transmission that the quirk resendLate adds.
	maxLateResendDelay = 2 * time.Second
)

// Exchange is a request of a device.
type Exchange struct {
	Object   string // 16 hexadecimal digits
	Key      string // idempotency key
	Write    bool
	Class    string
	Body     []byte // body of a write
	Size     int    // size in bytes of the response to a read
	Shard    int    // shard that must serve the request, or -1 for any shard
	Deadline time.Time
}

// transmission is the current transmission of a request, with the state that is kept from earlier transmissions.
type transmission struct {
	Exchange
	number       int           // number of the transmission within the exchange, counted from 1
	timeLeft     time.Duration // remaining time until the deadline
	isRetry      bool          // whether a transmission since the latest rejection may have arrived completely
	firstSentAt  time.Time     // start of the exchange, or time of its latest rejection; a retry states the time since then
	firstGateway string        // gateway to which the latest transmission that was not a retry was sent; empty if unknown
	partial      []byte        // first part of the response's body, received by an earlier transmission
	etag         string        // ETag of the response whose first part is held in partial
}

// Device performs exchanges, one after the other.
type Device struct {
	Name            string
	Transport       Transport
	SecondTransport Transport // second transport for the quirk sendTwice; nil: the quirk has no effect
	Checker         *invariants.Checker
	Rand            *rand.Rand
	ResponseTimeout time.Duration // time without a response after which the device gives up a connection
	QuirkRate       float64       // fraction of the exchanges that have a quirk
}

// quirk is an unusual behavior of a device in one exchange.
type quirk uint8

const (
	noQuirk    quirk = iota
	resend           // the device sends the request once more after it has received the response
	changeBody       // the device once sends another body with the same key; only for writes that are transmitted again
	sendTwice        // the device sends the request over two connections at the same time
	abandon          // if the first transmission gets no response or a rejection, the device disconnects until the deadline
	resendLate       // the device disconnects after the exchange and sends the request again later
)

// quirkCount is the number of quirks, without noQuirk.
const quirkCount = int(resendLate)

var quirkNames = [...]string{noQuirk: "none", resend: "resend", changeBody: "change body", sendTwice: "send twice", abandon: "abandon",
	resendLate: "resend late"}

// String returns the name of the quirk in lower case.
func (q quirk) String() string {
	if int(q) < len(quirkNames) {
		return quirkNames[q]
	}
	return fmt.Sprintf("quirk(%d)", uint8(q))
}

// drawQuirk chooses at random how the device behaves in the next exchange.
func (d *Device) drawQuirk() quirk {
	if d.Rand.Float64() >= d.QuirkRate {
		return noQuirk
	}
	return quirk(1 + d.Rand.IntN(quirkCount))
}

// Do performs an exchange, which ends with a response or at the deadline. The quirk resendLate then adds another
// transmission, and so does resend if a response arrived.
func (d *Device) Do(e Exchange) {
	tx := &transmission{Exchange: e, firstSentAt: time.Now()}
	behavior := d.drawQuirk()
	responded := false
	for !responded {
		tx.timeLeft = time.Until(e.Deadline)
		if tx.timeLeft < minTimeLeft {
			break
		}
		tx.number++
		if behavior == sendTwice && d.SecondTransport != nil {
			behavior = noQuirk
			responded = d.sendOverBoth(tx)
			continue
		}
		if behavior == changeBody && tx.number > 1 && e.Write {
			behavior = noQuirk
			d.sendChanged(*tx)
			continue
		}
		responded = d.send(d.Transport, tx, d.Rand)
		if !responded && behavior == abandon {
			d.Transport.Close()
			time.Sleep(time.Until(e.Deadline))
			break
		}
	}
	if behavior == resend && responded || behavior == resendLate {
		d.sendAfterEnd(tx, behavior)
	}
}

// sendOverBoth sends a request over both transports at the same time and waits for both transmissions. It returns the result of
// send for d.Transport.
func (d *Device) sendOverBoth(tx *transmission) (responded bool) {
	second := *tx
	tx.number++
	random := rand.New(rand.NewPCG(d.Rand.Uint64(), 1)) // generator for the goroutine: a rand.Rand is not safe for concurrent use
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.send(d.SecondTransport, &second, random)
	}()
	responded = d.send(d.Transport, tx, d.Rand)
	<-done
	tx.isRetry = true
	return responded
}

// sendChanged sends another body with the key of the exchange.
func (d *Device) sendChanged(tx transmission) {
	tx.Body = append([]byte("another "), tx.Body...)
	d.send(d.Transport, &tx, d.Rand)
}

// sendAfterEnd sends the request again after the exchange has ended.
func (d *Device) sendAfterEnd(tx *transmission, behavior quirk) {
	if behavior == resendLate {
		d.Transport.Close()
		time.Sleep(time.Duration(d.Rand.Float64() * float64(maxLateResendDelay)))
	}
	tx.number++
	tx.timeLeft, tx.isRetry, tx.partial = 2*time.Second, true, nil
	d.send(d.Transport, tx, d.Rand)
}

// send sends one transmission and records the response. It returns true if a response other than a rejection has arrived, so that
// no further transmission is needed. A conflict is such a response, although it is not the final outcome of the exchange: it says
// that the gateway has received another body with the same key.
func (d *Device) send(t Transport, tx *transmission, random *rand.Rand) (responded bool) {
	timeout := min(tx.timeLeft, d.ResponseTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	startedAt := time.Now()
	res, err := t.send(ctx, tx)
	d.Checker.RecordBytesSent(tx.Object, res.bytesSent)
	tx.isRetry = tx.isRetry || res.sentCompletely
	if err != nil {
		if res.partial != nil {
			tx.partial, tx.etag = res.partial, res.etag
		}
		if ctx.Err() != nil && timeout == tx.timeLeft {
			d.checkMissingResponse(t.Link(), tx, res, startedAt)
		}
		t.Close()
		sleep(min(time.Duration(20+random.IntN(200))*time.Millisecond, time.Until(tx.Deadline)))
		return false
	}
	d.Checker.RecordResponse(tx.Object, tx.number, res.outcome, res.content, res.note)
	if res.outcome != invariants.Rejected {
		return true
	}
	// The request was not executed, so the next transmission is not a retry.
	tx.isRetry, tx.firstSentAt, tx.firstGateway = false, time.Now(), ""
	if res.retryAfter <= 0 {
		res.retryAfter = defaultRetryDelay
	}
	sleep(min(res.retryAfter, time.Until(tx.Deadline)))
	return false
}

// checkMissingResponse records a missing response if the link has had no fault since one second before the transmission, and the
// request was sent so early that the response could have arrived by the deadline. The remaining time must have been long enough for
// two transfers, because a gateway that does not know the link yet first measures it by a round trip. The caller must have waited
// until the deadline.
func (d *Device) checkMissingResponse(link Link, tx *transmission, res result, startedAt time.Time) {
	if !res.sentCompletely || res.responseStarted || link == nil {
		return
	}
	transferTime := link.TransferTime(res.bytesSent)
	remaining := startedAt.Add(tx.timeLeft).Sub(res.sentAt)
	if remaining <= 2*transferTime+gatewayResponseTime || link.FaultySince(startedAt.Add(-time.Second)) {
		return
	}
	d.Checker.RecordMissingResponse(tx.Object, fmt.Sprintf(
		"transmission %d: %d bytes sent %d ms before the deadline (remaining time at the start: %d ms); a transfer takes %d ms",
		tx.number, res.bytesSent, remaining.Milliseconds(), tx.timeLeft.Milliseconds(), transferTime.Milliseconds()))
}

// sleep sleeps for d, or not at all if d is negative.
func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// digest returns the short hexadecimal digest of a body.
func digest(body []byte) string { return fakestorage.Digest(body) }
