package coapserver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

const (
	maxDeviceNameLength   = 64 // bytes
	overLimitRetrySeconds = 1  // Max-Age of the response to a request beyond MaxPendingRequests or without memory
)

// pendingRequest is a request that was received on a connection and has not been answered yet.
type pendingRequest struct {
	token        message.Token
	parsed       *parsedRequest
	isRepeatable bool    // whether the request may be executed any number of times
	bodyBytes    int     // bytes that the connection's account has for the body
	deadlineMs   float64 // time of Server.Clock until which the device waits for the response
	request      *lifecycle.Request
	stopTimer    func() // stops the timer that calls expire
}

// handleRequest parses a request and submits it to the Loop. It returns an error if the request is malformed.
func (c *conn) handleRequest(m *message.Message, now time.Time) error {
	parsed, err := parseRequest(m)
	if err != nil {
		return err
	}
	request, err := c.newRequest(parsed, now)
	if err != nil {
		return err
	}
	if err := setBody(request.Device, parsed, m.Payload); err != nil {
		return err
	}
	pending := &pendingRequest{token: m.Token, parsed: parsed, request: request, bodyBytes: len(request.Device.Body)}
	pending.isRepeatable = parsed.class.Idempotency == scheduler.Idempotent && parsed.fields.Method == http.MethodGet
	if !c.reserve(pending.bodyBytes) {
		c.rejectForMemory(m)
		return nil
	}
	c.setRemainingTime(request, now)
	if !c.addPending(pending) {
		c.account.Release(pending.bodyBytes)
		return nil
	}
	c.submit(pending)
	return nil
}

// newRequest checks the fields of a request and converts it to a lifecycle.Request. The caller sets the body and adjusts the remaining
// time. The request carries the link measurements that have been collected since the previous request.
func (c *conn) newRequest(parsed *parsedRequest, now time.Time) (*lifecycle.Request, error) {
	if parsed.device == "" {
		parsed.device = c.device
	}
	if len(parsed.device) > maxDeviceNameLength {
		return nil, requestErrorf(codes.BadOption, "the device's name is too long")
	}
	request, class, err := requestparse.Parse(c.server.Settings, parsed.fields)
	if err != nil {
		return nil, err
	}
	parsed.class = class
	payload := &httpmessage.Request{
		Method:   parsed.fields.Method,
		Path:     parsed.fields.Path,
		RawQuery: parsed.query,
		Header:   http.Header{},
	}
	if parsed.contentType != "" {
		payload.Header.Set("Content-Type", parsed.contentType)
	}
	if parsed.ageMs >= 0 {
		// The device stated the age at the time of sending. The time in transit is unknown, so its upper bound is added.
		parsed.ageMs += clock.Ms(now.Sub(c.earliestSendTime))
	}
	deviceFields := requestparse.DeviceFields{
		DeviceID:        parsed.device,
		ReadID:          parsed.fields.IdempotencyKey,
		AgeMs:           parsed.ageMs,
		PreviousGateway: parsed.previousGateway,
		Link:            c.linkSample,
	}
	if err := requestparse.MakeDeviceRequest(request, class, parsed.fields, deviceFields, payload); err != nil {
		return nil, err
	}
	c.device = parsed.device
	c.linkSample = lifecycle.LinkSample{}
	request.Upstream = c.server.Upstream
	return request, nil
}

// setBody stores a copy of the payload, which is either a block of an upload or a complete body. It returns an error if a complete
// body is too large.
func setBody(device *lifecycle.DeviceRequest, parsed *parsedRequest, payload []byte) error {
	device.Body = bytes.Clone(payload)
	if block := parsed.block1; block != nil && (block.More || block.Offset > 0) {
		device.Block = &lifecycle.Block{
			Tag:    parsed.requestTag,
			Offset: block.Offset,
			More:   block.More,
			Total:  parsed.totalSize,
		}
		return nil
	}
	if len(device.Body) > httpmessage.MaxBodyBytes {
		return requestErrorf(codes.RequestEntityTooLarge, "the body is over 64 KiB")
	}
	device.BodyDigest = sha256.Sum256(device.Body)
	return nil
}

// setRemainingTime reduces the remaining time of the request by the time that the message took to arrive. During a shutdown, it
// also limits the remaining time so that it ends at the response deadline or earlier.
func (c *conn) setRemainingTime(request *lifecycle.Request, now time.Time) {
	request.ClientDelayMs = clock.Ms(now.Sub(c.frameStart))
	request.RemainingMs -= request.ClientDelayMs
	if respondByMs, ok := c.server.responseDeadline(); ok {
		request.RemainingMs = min(request.RemainingMs, respondByMs-c.server.Clock.NowMs())
	}
}

// addPending adds a request to the pending ones and starts its timer. It returns false if the connection is closed.
func (c *conn) addPending(p *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending[string(p.token)] = p
	// The exchange store answers a retransmission at once even if its remaining time was over on arrival. The timer must
	// not fire before that answer: the device would receive a failure for a write that an earlier transmission has completed.
	p.deadlineMs = c.server.Clock.NowMs() + max(0, p.request.RemainingMs)
	timeoutMs := max(0, p.request.RemainingMs) + frontend.ResponseGraceMs
	p.stopTimer = c.server.Clock.AfterFunc(timeoutMs, func() { c.expire(p) })
	return true
}

// removePending removes a request from the pending ones. It returns false if the request is not pending. The caller holds c.mu.
func (c *conn) removePending(p *pendingRequest) bool {
	if c.pending[string(p.token)] != p {
		return false
	}
	delete(c.pending, string(p.token))
	c.account.Release(p.bodyBytes)
	return true
}

// submit submits a pending request to the Loop, or responds to it if the Loop's inbox is full.
func (c *conn) submit(p *pendingRequest) {
	p.request.Respond = func(response lifecycle.Response) { c.respond(p, response) }
	if c.server.Loop.Submit(p.request) {
		return
	}
	c.server.Metrics.Add(frontend.RequestsInboxFull, 1)
	response := lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: frontend.InboxFullRetryAfterMs}
	if p.request.IsRetry && p.parsed.fields.Method == http.MethodPut {
		response.Kind = lifecycle.Failed // an earlier transmission may have been executed
	}
	c.respond(p, response)
}

// respond queues the response to a request, unless the request is no longer pending. It does not block. It is called on the
// goroutine of the Loop or of serve.
func (c *conn) respond(p *pendingRequest, response lifecycle.Response) {
	behindOthers, pending := c.applyAdvice(p, response)
	if !pending {
		return // expire or close has removed the request and calls Loop.Cancel for it
	}
	queued := &queuedResponse{pending: p, response: response}
	if response.Kind == lifecycle.Served {
		peer := responsebuffer.Peer{Account: c.account, LastHeard: c.lastHeard, HasUnwritten: behindOthers}
		queued.body = c.server.Responses.Add(peer, response, c.fetchFunc(p)) // without c.mu, since it may drop the bodies of others
		queued.response.Body = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.removePending(p) { // expire or close has removed the request meanwhile
		queued.release()
		return
	}
	p.stopTimer()
	c.enqueue(outgoingMessage{response: queued, closeAfter: response.Kind == lifecycle.Superseded})
}

// applyAdvice stores the advice of a response for the connection. It reports whether the request is still pending, and whether its response
// has to wait for others.
func (c *conn) applyAdvice(p *pendingRequest, response lifecycle.Response) (behindOthers, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.IdleTimeoutMs > 0 {
		timeout := clock.Duration(response.IdleTimeoutMs)
		c.idleTimeout = min(max(timeout, c.server.MinIdleTimeout), c.server.MaxIdleTimeout)
	}
	if response.BlockSize > 0 {
		c.preferredBlockSize = response.BlockSize
	}
	return c.writeLoopRunning, !c.closed && c.pending[string(p.token)] == p
}

// fetchFunc returns a function that executes a request again whose response was dropped. It returns nil if the request must not be executed
// again.
func (c *conn) fetchFunc(p *pendingRequest) responsebuffer.FetchFunc {
	if !p.isRepeatable {
		return nil
	}
	fetcher := responsebuffer.Fetcher{Set: c.server.Responses, Loop: c.server.Loop, Clock: c.server.Clock}
	return func(ctx context.Context) (lifecycle.Response, error) {
		return fetcher.Fetch(ctx, p.request, p.deadlineMs)
	}
}

// expire is the response guard: it responds to a request that the Loop has not responded to in time. The Loop must respond before
// expire is called, so a request that is still pending indicates a bug.
func (c *conn) expire(p *pendingRequest) {
	c.mu.Lock()
	expired := c.removePending(p)
	c.mu.Unlock()
	if !expired {
		return
	}
	c.server.Metrics.Add(frontend.ResponsesByGuard, 1)
	c.server.Loop.Cancel(p.request)
	c.sendText(p.token, codes.GatewayTimeout, "no answer in time")
}

// rejectOverLimit responds to a request beyond MaxPendingRequests.
func (c *conn) rejectOverLimit(m *message.Message) {
	c.server.Metrics.Add(requestsOverLimit, 1)
	c.rejectUnread(m, codes.TooManyRequests, "too many requests are open")
}

// rejectForMemory responds to a request for whose body there is no memory.
func (c *conn) rejectForMemory(m *message.Message) {
	c.server.Metrics.Add(requestsWithoutMemory, 1)
	c.rejectUnread(m, codes.ServiceUnavailable, "busy, nothing was done")
}

// rejectUnread responds to a request that is not submitted with the given code, or states that an earlier transmission may have been
// executed.
func (c *conn) rejectUnread(m *message.Message, code codes.Code, text string) {
	if m.Code == codes.PUT && m.Options.HasOption(coapwire.OptRetry) {
		c.sendText(m.Token, codes.BadGateway, textFailed)
		return
	}
	c.sendText(m.Token, code, text, coapwire.UintOption(message.MaxAge, overLimitRetrySeconds))
}

// rejectMalformed responds to a malformed request with the code of the requestError, or with 4.00 for other errors.
func (c *conn) rejectMalformed(token message.Token, err error) {
	c.server.Metrics.Add(frontend.RequestsMalformed, 1)
	code := codes.BadRequest
	var malformed *requestError
	if errors.As(err, &malformed) {
		code = malformed.code
	}
	c.sendText(token, code, err.Error())
}
