// Package desk stands between the fronts for devices and the core: it holds the bodies and answers of exchanges, and
// carries out what the ledger (internal/decide/exchange) decides on each copy. The goroutine that owns the core owns
// it too.
package dedup

import (
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// Options set a Desk up.
type Options struct {
	Settings exchange.Settings
	Classes  []scheduler.Class
	// RunIDPrefix begins the ids by which nodes know the runs: one that no other gateway and no earlier start has.
	RunIDPrefix string
	// GatewayName is how it names itself to devices: another at each start.
	GatewayName string
	Metrics     *metrics.Registry
	NowMs       func() float64
	// AfterFunc calls back on the owner's goroutine.
	AfterFunc func(ms float64, f func(nowMs float64)) (stop func())
	// Submit hands a request in to the core.
	Submit func(nowMs float64, r *lifecycle.Request)
}

// Coordinator implements core.Desk.
type Coordinator struct {
	opt     Options
	ledger  *exchange.Store
	classes map[string]exchange.Class
	copies  map[uint64]*lifecycle.Request
	held    map[exchange.ID]*held
	last    uint64
	stop    func()
	told    exchange.Stats
}

// held is what is kept of an exchange.
type held struct {
	body   []byte // of an upload
	sum    [32]byte
	summed bool
	answer any
	etag   uint64
}

// New returns a desk.
func New(opt Options) (*Coordinator, error) {
	l, err := exchange.New(opt.Settings)
	if err != nil {
		return nil, err
	}
	d := &Coordinator{opt: opt, ledger: l, classes: map[string]exchange.Class{}, copies: map[uint64]*lifecycle.Request{},
		held: map[exchange.ID]*held{}, stop: func() {}}
	for _, c := range opt.Classes {
		d.classes[c.Name] = exchange.Class{Idempotency: c.Idempotency, DedupScope: c.DedupScope,
			DedupWindowMs: clock.Ms(c.DedupWindow)}
	}
	return d, nil
}

// Submit implements core.Desk.
func (d *Coordinator) Submit(nowMs float64, r *lifecycle.Request) {
	d.last++
	r.Device.Ticket = d.last
	d.copies[d.last] = r
	id, v := exchange.CopyID(d.last), r.Device
	if b := v.Block; b != nil {
		d.step(nowMs, exchange.BlockReceived{Copy: id, Device: v.ID, Key: v.Key, Tag: b.Tag, Offset: b.Offset, Length: len(v.Body),
			Digest: xxhash.Sum64(v.Body), More: b.More, TotalBytes: b.Total, RemainingMs: r.RemainingMs,
			Idempotency: d.classes[r.Class].Idempotency, ResendHistory: d.history(r), Link: linkSample(v.Link)})
		return
	}
	d.step(nowMs, d.offer(r, v.BodyDigest, len(v.Body)))
}

// offer makes the ledger's event of a whole copy.
func (d *Coordinator) offer(r *lifecycle.Request, body [32]byte, size int) exchange.CopyReceived {
	v := r.Device
	sum := sha256.Sum256(append(v.HeadDigest[:], body[:]...))
	return exchange.CopyReceived{Copy: exchange.CopyID(v.Ticket), Device: v.ID, Key: v.Key, Class: d.classes[r.Class],
		Digest: exchange.Digest(sum[:16]), BodyBytes: size, RemainingMs: r.RemainingMs, ClientDelayMs: r.ClientDelayMs, Shard: r.Shard,
		ResendHistory: d.history(r), Link: linkSample(v.Link)}
}

func (d *Coordinator) history(r *lifecycle.Request) exchange.ResendHistory {
	return exchange.ResendHistory{IsRetry: r.IsRetry, SameGateway: r.Device.PreviousGateway != "" && r.Device.PreviousGateway == d.opt.GatewayName, AgeMs: r.Device.AgeMs}
}

// linkSample converts a measurement of a link to the store's form.
func linkSample(l lifecycle.LinkSample) exchange.LinkSample {
	return exchange.LinkSample{RoundTripMs: l.RoundTripMs, Bytes: l.Bytes, TransferMs: l.BytesMs, MaxGapMs: l.GapMs}
}

// Cancel implements core.Desk.
func (d *Coordinator) Cancel(nowMs float64, r *lifecycle.Request) {
	if t := r.Device.Ticket; t != 0 {
		delete(d.copies, t)
		d.step(nowMs, exchange.CopyCanceled{Copy: exchange.CopyID(t)})
	}
}

// ResponseWritten implements core.Desk.
func (d *Coordinator) ResponseWritten(nowMs float64, r *lifecycle.Request, l lifecycle.LinkSample) {
	d.step(nowMs, exchange.ResponseWritten{Copy: exchange.CopyID(r.Device.Ticket), Link: linkSample(l)})
}

// LinkMeasured implements core.Desk.
func (d *Coordinator) LinkMeasured(nowMs float64, device string, l lifecycle.LinkSample) {
	d.step(nowMs, exchange.LinkMeasured{Device: device, Link: linkSample(l)})
}

// Drain implements core.Desk.
func (d *Coordinator) Drain(nowMs float64) { d.step(nowMs, exchange.ShutdownStarted{}) }

// Stats tells what the ledger holds.
func (d *Coordinator) Stats() exchange.Stats { return d.ledger.Stats() }

func (d *Coordinator) step(nowMs float64, ev exchange.Event) {
	var whole []exchange.AssembleBody
	for _, a := range d.ledger.Step(nowMs, ev) {
		switch a := a.(type) {
		case exchange.AppendBlock:
			h := d.hold(a.ID)
			if len(h.body) == 0 {
				h.summed = false // another body
			}
			h.body = append(h.body, d.copies[uint64(a.Copy)].Device.Body...)
		case exchange.AssembleBody:
			whole = append(whole, a)
		case exchange.StartRun:
			d.run(nowMs, a)
		case exchange.Respond:
			d.tell(a)
		case exchange.Release:
			d.free(a)
		case exchange.SetTimer:
			d.stop()
			d.stop = d.opt.AfterFunc(a.AtMs-nowMs, func(nowMs float64) { d.step(nowMs, exchange.TimerFired{}) })
		}
	}
	d.count()
	// Each of these is another step, whose wake must not be replaced by one of this step.
	for _, a := range whole {
		h, r := d.hold(a.ID), d.copies[uint64(a.Copy)]
		if !h.summed {
			h.sum, h.summed = sha256.Sum256(h.body), true
		}
		d.step(nowMs, exchange.BodyAssembled{CopyReceived: d.offer(r, h.sum, len(h.body))})
	}
}

func (d *Coordinator) hold(id exchange.ID) *held {
	h := d.held[id]
	if h == nil {
		h = &held{}
		d.held[id] = h
	}
	return h
}

func (d *Coordinator) free(f exchange.Release) {
	h := d.held[f.ID]
	if h == nil {
		return
	}
	if f.Body {
		h.body = nil // its digest stays: the last block may come again
	}
	if f.Response {
		h.answer = nil
	}
	if f.Exchange {
		delete(d.held, f.ID)
	}
}

// run hands an exchange's request to the core.
func (d *Coordinator) run(nowMs float64, a exchange.StartRun) {
	r := d.copies[uint64(a.Copy)]
	body := r.Device.Body
	if r.Device.Block != nil {
		body = d.held[a.ID].body
	}
	id := fmt.Sprintf("%s-%x-%x", d.opt.RunIDPrefix, uint64(a.ID), a.Run)
	run := &lifecycle.Request{ClientID: id, Class: r.Class, Plan: r.Plan, Volume: r.Volume, Key: r.Key, RemainingMs: a.RemainingMs,
		ClientDelayMs: a.ClientDelayMs, Units: r.Units, Shard: a.Shard, Gateways: r.Gateways, IsRetry: r.IsRetry || a.Run > 1, IsFirstAttempt: true,
		Upstream: r.Upstream, Payload: r.Device.BuildPayload(id, body)}
	run.Respond = func(v lifecycle.Response) { d.ended(a, v) }
	d.opt.Submit(nowMs, run)
}

// sizer is an answer that tells how much it holds.
type sizer interface{ Size() int }

// ended takes the one answer of a run. It is called by the core, in the midst of its own step.
func (d *Coordinator) ended(a exchange.StartRun, v lifecycle.Response) {
	ev := exchange.RunEnded{ID: a.ID, Run: a.Run, Result: exchange.RunFailed, MayHaveExecuted: v.MayHaveExecuted, FirstAttemptMs: v.FirstAttemptMs, Shard: v.Shard,
		RetryAfterMs: v.RetryAfterMs}
	switch v.Kind {
	case lifecycle.Served:
		h := d.hold(a.ID)
		h.answer = v.Result
		switch x := v.Result.(type) {
		case []byte:
			ev.ResponseBytes, h.etag = len(x), xxhash.Sum64(x)
		case sizer:
			ev.ResponseBytes = x.Size()
		}
		ev.Result = exchange.RunServed
	case lifecycle.Rejected:
		ev.Result = exchange.RunRejected
	}
	d.step(d.opt.NowMs(), ev)
}

var verdicts = [...]lifecycle.ResponseKind{
	exchange.OutcomeServed: lifecycle.Served, exchange.OutcomeRejected: lifecycle.Rejected, exchange.OutcomeBusy: lifecycle.Rejected,
	exchange.OutcomeTooLate: lifecycle.Rejected, exchange.OutcomeFailed: lifecycle.Failed, exchange.OutcomeConflict: lifecycle.Conflict,
	exchange.OutcomeContinue: lifecycle.Continue, exchange.OutcomeIncomplete: lifecycle.Incomplete, exchange.OutcomeTooLarge: lifecycle.TooLarge,
	exchange.OutcomeSuperseded: lifecycle.Superseded,
}

// tell answers a copy.
func (d *Coordinator) tell(t exchange.Respond) {
	r := d.copies[uint64(t.Copy)]
	delete(d.copies, uint64(t.Copy))
	if r == nil {
		return
	}
	a := lifecycle.Response{Kind: verdicts[t.Outcome], RetryAfterMs: t.RetryAfterMs, BufferedBytes: t.BufferedBytes, Cached: t.Cached,
		IdleTimeoutMs: t.Advice.IdleTimeoutMs, BlockSize: t.Advice.BlockSize}
	if t.Outcome == exchange.OutcomeServed {
		h := d.held[t.ID]
		a.Result, a.ETag = h.answer, h.etag
	}
	r.Respond(a)
}

// count adds what has changed to the counters.
func (d *Coordinator) count() {
	now := d.ledger.Stats()
	was := d.told
	if now == was {
		return
	}
	d.told = now
	for _, c := range [...]struct {
		name string
		by   int
	}{
		{"device_copies", now.Copies - was.Copies}, {"device_runs", now.Runs - was.Runs},
		{"device_copies_joined", now.Joined - was.Joined}, {"device_answers_kept", now.ServedFromCache - was.ServedFromCache},
		{"device_runs_again", now.Reruns - was.Reruns}, {"device_conflicts", now.Conflicts - was.Conflicts},
		{"device_busy", now.Busy - was.Busy}, {"device_late", now.TooLate - was.TooLate},
		{"device_doubt_failed", now.UnknownOutcomeFailed - was.UnknownOutcomeFailed},
		{"device_uploads", now.UploadsStarted - was.UploadsStarted},
		{"device_uploads_dropped", now.UploadsDropped - was.UploadsDropped},
		{"device_evicted", now.Evicted - was.Evicted}, {"device_exchanges_now", now.Exchanges - was.Exchanges},
		{"device_devices_now", now.Devices - was.Devices}, {"device_bytes_now", now.StoredBytes - was.StoredBytes},
		{"device_undelivered_now", now.Undelivered - was.Undelivered},
	} {
		if c.by != 0 {
			d.opt.Metrics.Add(c.name, int64(c.by))
		}
	}
}
