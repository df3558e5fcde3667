// Package dedup detects duplicate requests of devices on poor links and caches their responses. A Coordinator connects the
// frontends for devices with the request life cycle: it stores the bodies and responses of exchanges, submits the request
// of each exchange for execution, and performs the actions of the exchange store for each transmission.
//
// The package starts no goroutine. The goroutine of the lifecycle.Manager owns the Coordinator and calls all its
// methods. Bodies and responses are stored exactly as long as the exchange store counts their bytes towards its limit.
package dedup

import (
	"crypto/sha256"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

// Options are the settings and dependencies of a Coordinator. All functions are called on the owner's goroutine.
type Options struct {
	// Settings are the limits of the exchange store.
	Settings exchange.Settings
	// Classes are the classes of requests. Requests refer to them by name.
	Classes []scheduler.Class
	// ExecutionIDPrefix is the prefix of the execution ids that servers receive. It must differ from that of every other gateway
	// and of every earlier start of this gateway.
	ExecutionIDPrefix string
	// GatewayName is the name by which devices identify this gateway. It differs at each start.
	GatewayName string
	// Memory is the account of the bytes that the exchange store holds. nil means that they are not counted.
	Memory *memorybudget.Account
	// Metrics receives the counters.
	Metrics *metrics.Registry
	// NowMs returns the current time in milliseconds.
	NowMs func() float64
	// AfterFunc calls f after ms milliseconds. stop cancels the call.
	AfterFunc func(ms float64, f func(nowMs float64)) (stop func())
	// Submit hands a request to the request life cycle. It may call the request's Respond before it returns.
	Submit func(nowMs float64, request *lifecycle.Request)
}

// Coordinator implements lifecycle.Deduplicator. It is not safe for concurrent use.
type Coordinator struct {
	options          Options
	store            *exchange.Store
	classes          map[string]exchange.Class
	transmissions    map[exchange.TransmissionID]*lifecycle.Request // transmissions that wait for a response
	lastTransmission exchange.TransmissionID
	contents         map[exchange.ID]*content
	// stopTimer cancels the timer of the latest exchange.SetTimer action.
	stopTimer    func()
	countedStats exchange.Stats // statistics that are already included in the counters
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
		options:       options,
		store:         store,
		classes:       classes,
		transmissions: map[exchange.TransmissionID]*lifecycle.Request{},
		contents:      map[exchange.ID]*content{},
		stopTimer:     func() {},
	}, nil
}

// Submit handles a transmission of a device's request or of a block of its upload.
func (c *Coordinator) Submit(nowMs float64, request *lifecycle.Request) {
	c.lastTransmission++
	request.Device.TransmissionID = uint64(c.lastTransmission)
	c.transmissions[c.lastTransmission] = request
	if request.Device.Block != nil {
		c.step(nowMs, c.blockReceived(request))
		return
	}
	c.step(nowMs, c.transmissionReceived(request, request.Device.BodyDigest, len(request.Device.Body)))
}

// Cancel removes a transmission whose device no longer waits for the response. It has no effect if the transmission was not
// submitted.
func (c *Coordinator) Cancel(nowMs float64, request *lifecycle.Request) {
	if request.Device.TransmissionID != 0 {
		id := transmissionID(request)
		delete(c.transmissions, id)
		c.step(nowMs, exchange.TransmissionCanceled{Transmission: id})
	}
}

// ResponseWritten records that the response to a transmission was written to its connection.
func (c *Coordinator) ResponseWritten(nowMs float64, request *lifecycle.Request, link lifecycle.LinkSample) {
	c.step(nowMs, exchange.ResponseWritten{Transmission: transmissionID(request), Link: linkSample(link)})
}

// LinkMeasured records a measurement of a device's link.
func (c *Coordinator) LinkMeasured(nowMs float64, device string, link lifecycle.LinkSample) {
	c.step(nowMs, exchange.LinkMeasured{Device: device, Link: linkSample(link)})
}

// Drain ends the admission of new exchanges. The exchanges in the store continue.
func (c *Coordinator) Drain(nowMs float64) { c.step(nowMs, exchange.ShutdownStarted{}) }

// Stats returns the statistics of the exchange store.
func (c *Coordinator) Stats() exchange.Stats { return c.store.Stats() }

// step passes an event to the store and performs the resulting actions.
func (c *Coordinator) step(nowMs float64, event exchange.Event) {
	var assemblies []exchange.AssembleBody
	for _, action := range c.store.Step(nowMs, event) {
		switch action := action.(type) {
		case exchange.AppendBlock:
			c.findOrAddContent(action.ID).append(c.transmissions[action.Transmission].Device.Body)
		case exchange.AssembleBody:
			assemblies = append(assemblies, action)
		case exchange.StartExecution:
			c.startExecution(nowMs, action)
		case exchange.Respond:
			c.respond(action)
		case exchange.Release:
			c.release(action)
		case exchange.SetTimer:
			c.setTimer(nowMs, action)
		}
	}
	c.updateCounters()
	// Each assembly is a step of its own. It begins only after all actions of this step: otherwise a SetTimer action of this step
	// could replace the timer that the later step has set.
	for _, assembly := range assemblies {
		c.assembleBody(nowMs, assembly)
	}
}

// setTimer replaces the timer of the exchange store.
func (c *Coordinator) setTimer(nowMs float64, action exchange.SetTimer) {
	c.stopTimer()
	c.stopTimer = c.options.AfterFunc(action.AtMs-nowMs, func(nowMs float64) { c.step(nowMs, exchange.TimerFired{}) })
}

// assembleBody passes the digest and size of an upload's complete body to the store.
func (c *Coordinator) assembleBody(nowMs float64, action exchange.AssembleBody) {
	uploaded, request := c.findOrAddContent(action.ID), c.transmissions[action.Transmission]
	if !uploaded.hasDigest {
		uploaded.bodyDigest, uploaded.hasDigest = sha256.Sum256(uploaded.body), true
	}
	received := c.transmissionReceived(request, uploaded.bodyDigest, len(uploaded.body))
	c.step(nowMs, exchange.BodyAssembled{TransmissionReceived: received})
}

// respond sends the response to a transmission, unless the transmission was canceled.
func (c *Coordinator) respond(action exchange.Respond) {
	request := c.transmissions[action.Transmission]
	delete(c.transmissions, action.Transmission)
	if request == nil {
		return
	}
	request.Device.Body = nil // the frontend may keep the request until the response has been written, which may take long
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
