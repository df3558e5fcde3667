// Package dedup detects duplicate requests of devices on poor links and caches their responses. A Coordinator stands
// between the frontends for devices and the request life cycle: it stores the bodies and responses of exchanges, runs
// each exchange's request, and carries out what the exchange store decides on each copy.
//
// The package starts no goroutine. The goroutine of the lifecycle.Manager owns the Coordinator and calls all its
// methods. Bodies and responses are stored exactly as long as the exchange store counts their bytes.
package dedup

import (
	"crypto/sha256"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

// Options are the settings and dependencies of a Coordinator. All functions are called on the owner's goroutine.
type Options struct {
	// Settings bound the exchange store.
	Settings exchange.Settings
	// Classes are the classes of requests, by whose names requests refer to them.
	Classes []scheduler.Class
	// RunIDPrefix begins the ids by which servers know the runs. No other gateway and no earlier start of this one may have
	// the same.
	RunIDPrefix string
	// GatewayName is the name by which devices know this gateway. It differs at each start.
	GatewayName string
	// Metrics receives the counters.
	Metrics *metrics.Registry
	// NowMs returns the current time in milliseconds.
	NowMs func() float64
	// AfterFunc calls f after a time. stop cancels the call.
	AfterFunc func(ms float64, f func(nowMs float64)) (stop func())
	// Submit hands a request to the request life cycle. It may call the request's Respond before it returns.
	Submit func(nowMs float64, request *lifecycle.Request)
}

// Coordinator implements lifecycle.Deduplicator. It is not safe for concurrent use.
type Coordinator struct {
	options  Options
	store    *exchange.Store
	classes  map[string]exchange.Class
	copies   map[exchange.CopyID]*lifecycle.Request // copies that wait for a response
	lastCopy exchange.CopyID
	contents map[exchange.ID]*content
	// stopTimer cancels the timer of the store's latest SetTimer.
	stopTimer    func()
	countedStats exchange.Stats // the statistics that the counters include
}

var _ lifecycle.Deduplicator = (*Coordinator)(nil)

// New returns a coordinator without exchanges. It returns an error that wraps exchange.ErrOutOfRange for invalid
// settings.
func New(options Options) (*Coordinator, error) {
	store, err := exchange.New(options.Settings)
	if err != nil {
		return nil, err
	}
	classes := map[string]exchange.Class{}
	for _, class := range options.Classes {
		classes[class.Name] = exchange.Class{Idempotency: class.Idempotency, DedupScope: class.DedupScope,
			DedupWindowMs: clock.Ms(class.DedupWindow)}
	}
	return &Coordinator{
		options:   options,
		store:     store,
		classes:   classes,
		copies:    map[exchange.CopyID]*lifecycle.Request{},
		contents:  map[exchange.ID]*content{},
		stopTimer: func() {},
	}, nil
}

// Submit handles a copy of a device's request, or a block of its upload.
func (c *Coordinator) Submit(nowMs float64, request *lifecycle.Request) {
	c.lastCopy++
	request.Device.CopyID = uint64(c.lastCopy)
	c.copies[c.lastCopy] = request
	if request.Device.Block != nil {
		c.step(nowMs, c.blockReceived(request))
		return
	}
	c.step(nowMs, c.copyReceived(request, request.Device.BodyDigest, len(request.Device.Body)))
}

// Cancel forgets a copy whose response nobody waits for. It has no effect if the copy was not submitted.
func (c *Coordinator) Cancel(nowMs float64, request *lifecycle.Request) {
	if request.Device.CopyID != 0 {
		id := copyID(request)
		delete(c.copies, id)
		c.step(nowMs, exchange.CopyCanceled{Copy: id})
	}
}

// ResponseWritten records that the response to a copy was written to its connection.
func (c *Coordinator) ResponseWritten(nowMs float64, request *lifecycle.Request, link lifecycle.LinkSample) {
	c.step(nowMs, exchange.ResponseWritten{Copy: copyID(request), Link: linkSample(link)})
}

// LinkMeasured records a measurement of a device's link.
func (c *Coordinator) LinkMeasured(nowMs float64, device string, link lifecycle.LinkSample) {
	c.step(nowMs, exchange.LinkMeasured{Device: device, Link: linkSample(link)})
}

// Drain ends the admission of new exchanges. Those that are known continue.
func (c *Coordinator) Drain(nowMs float64) { c.step(nowMs, exchange.ShutdownStarted{}) }

// Stats returns the statistics of the exchange store.
func (c *Coordinator) Stats() exchange.Stats { return c.store.Stats() }

// step hands an event to the store and performs its actions.
func (c *Coordinator) step(nowMs float64, event exchange.Event) {
	var assemblies []exchange.AssembleBody
	for _, action := range c.store.Step(nowMs, event) {
		switch action := action.(type) {
		case exchange.AppendBlock:
			c.contentOf(action.ID).append(c.copies[action.Copy].Device.Body)
		case exchange.AssembleBody:
			assemblies = append(assemblies, action)
		case exchange.StartRun:
			c.startRun(nowMs, action)
		case exchange.Respond:
			c.respond(action)
		case exchange.Release:
			c.release(action)
		case exchange.SetTimer:
			c.setTimer(nowMs, action)
		}
	}
	c.updateCounters()
	// Each assembly is another step, which comes last because a SetTimer of this step must not replace its timer.
	for _, assembly := range assemblies {
		c.assembleBody(nowMs, assembly)
	}
}

// setTimer replaces the store's timer.
func (c *Coordinator) setTimer(nowMs float64, action exchange.SetTimer) {
	c.stopTimer()
	c.stopTimer = c.options.AfterFunc(action.AtMs-nowMs, func(nowMs float64) { c.step(nowMs, exchange.TimerFired{}) })
}

// assembleBody reports the digest and size of an upload's complete body to the store.
func (c *Coordinator) assembleBody(nowMs float64, action exchange.AssembleBody) {
	uploaded, request := c.contentOf(action.ID), c.copies[action.Copy]
	if !uploaded.hasDigest {
		uploaded.bodyDigest, uploaded.hasDigest = sha256.Sum256(uploaded.body), true
	}
	received := c.copyReceived(request, uploaded.bodyDigest, len(uploaded.body))
	c.step(nowMs, exchange.BodyAssembled{CopyReceived: received})
}

// respond sends the response to a copy.
func (c *Coordinator) respond(action exchange.Respond) {
	request := c.copies[action.Copy]
	delete(c.copies, action.Copy)
	if request == nil {
		return
	}
	response := lifecycle.Response{
		Kind:          responseKinds[action.Kind],
		RetryAfterMs:  action.RetryAfterMs,
		BufferedBytes: action.BufferedBytes,
		Cached:        action.Cached,
		IdleTimeoutMs: action.Advice.IdleTimeoutMs,
		BlockSize:     action.Advice.BlockSize,
	}
	if action.Kind == exchange.ResponseServed {
		served := c.contents[action.ID]
		response.Body, response.ETag = served.response, served.etag
	}
	request.Respond(response)
}
