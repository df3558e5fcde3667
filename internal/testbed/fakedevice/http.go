package fakedevice

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"gaugerelay/internal/testbed/invariants"
)

// HTTP is the HTTP transport of a device.
type HTTP struct {
	Device               string
	Dial                 Dialer
	WithoutDeviceHeaders bool // whether it speaks as clients of the platform do

	client         *http.Client
	link           Link
	bytesSent      atomic.Int64
	gatewayName    string        // as the gateway has last named itself
	correlationIDs int           // used so far, without device headers
	roundTrip      time.Duration // of a short response that was given at once
}

// Close implements Transport.
func (h *HTTP) Close() {
	if h.client != nil {
		h.client.CloseIdleConnections()
		h.client = nil
	}
}

// Link implements Transport.
func (h *HTTP) Link() Link { return h.link }

// send implements Transport.
func (h *HTTP) send(ctx context.Context, c *requestCopy) (result, error) {
	h.bytesSent.Store(0)
	res, err := h.roundTripCopy(ctx, c)
	res.bytesSent = int(h.bytesSent.Load())
	return res, err
}

// sendProgress is how far a request has come, as net/http reports it from its own goroutines.
type sendProgress struct {
	sentAt          atomic.Int64 // Unix nanoseconds; valid if sentCompletely is set
	sentCompletely  atomic.Bool
	responseStarted atomic.Bool
}

// trace returns a context whose requests report their progress.
func (p *sendProgress) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				p.sentAt.Store(time.Now().UnixNano())
				p.sentCompletely.Store(true)
			}
		},
		GotFirstResponseByte: func() { p.responseStarted.Store(true) },
	})
}

// roundTripCopy sends a copy and reads its response.
func (h *HTTP) roundTripCopy(ctx context.Context, c *requestCopy) (res result, err error) {
	h.connect()
	var progress sendProgress
	req, err := h.newRequest(progress.trace(ctx), c)
	if err != nil {
		return res, err
	}
	startedAt := time.Now()
	resp, err := h.client.Do(req)
	if err != nil {
		// A device that has given up while it was sending does not know what has arrived.
		res.sentCompletely, res.responseStarted = h.bytesSent.Load() > 0, true
		if progress.sentCompletely.Load() {
			res.sentAt, res.responseStarted = time.Unix(0, progress.sentAt.Load()), progress.responseStarted.Load()
		}
		return res, ErrNoResponse
	}
	defer resp.Body.Close()
	h.measureRoundTrip(resp, time.Since(startedAt))
	h.gatewayName = resp.Header.Get("X-Gateway")
	var received []byte // of the response, by earlier copies
	if !h.WithoutDeviceHeaders {
		received = c.partial
	}
	return readResponse(resp, received)
}

// connect sets up a client if there is none; it opens a connection with the next request.
func (h *HTTP) connect() {
	if h.client != nil {
		return
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, link, err := h.Dial(ctx)
		if err != nil {
			return nil, err
		}
		h.link = link
		return &countingConn{conn, &h.bytesSent}, nil
	}
	h.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true, DialContext: dial}}
}

// newRequest returns a copy as an HTTP request.
func (h *HTTP) newRequest(ctx context.Context, c *requestCopy) (*http.Request, error) {
	method, target := http.MethodGet, fmt.Sprintf("http://gateway/%s/%s?n=%d", c.Class, c.Object, c.Size)
	var body io.Reader
	if c.Write {
		method, target = http.MethodPut, fmt.Sprintf("http://gateway/%s/%s", c.Class, c.Object)
		body = io.MultiReader(bytes.NewReader(c.Body)) // Without GetBody the client's transport resends nothing by itself.
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	h.setPlatformHeaders(req.Header, c)
	if !h.WithoutDeviceHeaders {
		h.setDeviceHeaders(req.Header, c)
	}
	return req, nil
}

// setPlatformHeaders sets the headers that all clients send.
func (h *HTTP) setPlatformHeaders(header http.Header, c *requestCopy) {
	header.Set("X-Service-Class", c.Class)
	header.Set("X-Plan", "basic")
	header.Set("X-Time-Left-Ms", strconv.FormatInt(c.timeLeft.Milliseconds(), 10))
	header.Set("X-IO", fmt.Sprintf("volume=%s,units=1,shard=%d,hosts=1", c.Object, c.Shard))
	header.Set("X-Correlation-Id", c.Key)
	if h.WithoutDeviceHeaders {
		h.correlationIDs++
		header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", c.Key, h.correlationIDs))
	}
	if c.Write {
		header.Set("Idempotency-Key", c.Key)
	}
	if c.isRetry {
		header.Set("X-Repeat", "1")
	}
}

// setDeviceHeaders sets the headers of devices.
func (h *HTTP) setDeviceHeaders(header http.Header, c *requestCopy) {
	header.Set("X-Device-Id", h.Device)
	if h.roundTrip > 0 {
		header.Set("X-Round-Trip-Ms", strconv.FormatInt(h.roundTrip.Milliseconds(), 10))
	}
	if c.isRetry {
		header.Set("X-Sent-To", c.firstGateway)
		header.Set("X-Age-Ms", strconv.FormatInt(time.Since(c.firstSentAt).Milliseconds(), 10))
	} else {
		c.firstGateway = h.gatewayName
	}
	if len(c.partial) > 0 { // Ask for what is missing of the response.
		header.Set("Range", fmt.Sprintf("bytes=%d-", len(c.partial)))
		header.Set("If-Range", c.etag)
	}
}

// measureRoundTrip measures the round trip by the fastest response, or by a rejection, which is given at once.
func (h *HTTP) measureRoundTrip(resp *http.Response, elapsed time.Duration) {
	if resp.StatusCode == http.StatusServiceUnavailable || h.roundTrip == 0 || elapsed < h.roundTrip {
		h.roundTrip = elapsed
	}
}

// readResponse reads the body of a response and interprets its status. A response to a range request goes on from what was
// received before.
func readResponse(resp *http.Response, received []byte) (result, error) {
	res := result{sentCompletely: true, responseStarted: true}
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusPartialContent {
		body = append(bytes.Clone(received), body...)
	}
	if err != nil {
		if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusPartialContent {
			res.partial, res.etag = body, resp.Header.Get("ETag")
		}
		return res, ErrNoResponse
	}
	res.note = resp.Status
	switch resp.StatusCode {
	case http.StatusOK, http.StatusPartialContent:
		res.outcome, res.content = invariants.Served, digest(body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		res.outcome = invariants.Rejected
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			res.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	case http.StatusConflict:
		res.outcome = invariants.Conflict
	case http.StatusRequestedRangeNotSatisfiable: // The device has all of the body already.
		res.outcome, res.content = invariants.Served, digest(received)
	default:
		res.outcome = invariants.Failed
	}
	return res, nil
}
