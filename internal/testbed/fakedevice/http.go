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
	WithoutDeviceHeaders bool // whether the device leaves out the headers that only devices send

	client         *http.Client
	link           Link
	bytesSent      atomic.Int64
	gatewayName    string        // name of the gateway that sent the latest response
	correlationIDs int           // number of correlation IDs used so far, if the device sends no device headers
	roundTrip      time.Duration // estimated round-trip time; 0 before the first response
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
func (h *HTTP) send(ctx context.Context, tx *transmission) (result, error) {
	h.bytesSent.Store(0)
	res, err := h.transmit(ctx, tx)
	res.bytesSent = int(h.bytesSent.Load())
	return res, err
}

// sendProgress is the progress of a request. net/http updates it from its own goroutines.
type sendProgress struct {
	sentAt          atomic.Int64 // when the whole request had been written, in Unix nanoseconds; valid if sentCompletely is set
	sentCompletely  atomic.Bool
	responseStarted atomic.Bool
}

// trace returns a context with which a request records its progress in p.
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

// transmit sends a transmission and reads the response.
func (h *HTTP) transmit(ctx context.Context, tx *transmission) (res result, err error) {
	h.connect()
	var progress sendProgress
	req, err := h.newRequest(progress.trace(ctx), tx)
	if err != nil {
		return res, err
	}
	startedAt := time.Now()
	resp, err := h.client.Do(req)
	if err != nil {
		// If only a part was written, the device does not know how much has arrived: the request may have arrived completely, and
		// checkMissingResponse must not report a missing response.
		res.sentCompletely, res.responseStarted = h.bytesSent.Load() > 0, true
		if progress.sentCompletely.Load() {
			res.sentAt, res.responseStarted = time.Unix(0, progress.sentAt.Load()), progress.responseStarted.Load()
		}
		return res, ErrNoResponse
	}
	defer resp.Body.Close()
	h.measureRoundTrip(resp, time.Since(startedAt))
	h.gatewayName = resp.Header.Get("X-Gateway")
	var received []byte // part of the response's body that earlier transmissions have received
	if !h.WithoutDeviceHeaders {
		received = tx.partial
	}
	return readResponse(resp, received)
}

// connect creates an HTTP client if there is none. The client opens its connection at the next request.
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

// newRequest returns the HTTP request of a transmission.
func (h *HTTP) newRequest(ctx context.Context, tx *transmission) (*http.Request, error) {
	method, target := http.MethodGet, fmt.Sprintf("http://gateway/%s/%s?n=%d", tx.Class, tx.Object, tx.Size)
	var body io.Reader
	if tx.Write {
		method, target = http.MethodPut, fmt.Sprintf("http://gateway/%s/%s", tx.Class, tx.Object)
		// MultiReader hides the reader's type, so that net/http does not set GetBody, with which it would retry by itself.
		body = io.MultiReader(bytes.NewReader(tx.Body))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(tx.Body))
	h.setPlatformHeaders(req.Header, tx)
	if !h.WithoutDeviceHeaders {
		h.setDeviceHeaders(req.Header, tx)
	}
	return req, nil
}

// setPlatformHeaders sets the headers that all clients send.
func (h *HTTP) setPlatformHeaders(header http.Header, tx *transmission) {
	header.Set("X-Service-Class", tx.Class)
	header.Set("X-Plan", "basic")
	header.Set("X-Time-Left-Ms", strconv.FormatInt(tx.timeLeft.Milliseconds(), 10))
	header.Set("X-IO", fmt.Sprintf("volume=%s,units=1,shard=%d,hosts=1", tx.Object, tx.Shard))
	header.Set("X-Correlation-Id", tx.Key)
	if h.WithoutDeviceHeaders {
		h.correlationIDs++
		header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", tx.Key, h.correlationIDs))
	}
	if tx.Write {
		header.Set("Idempotency-Key", tx.Key)
	}
	if tx.isRetry {
		header.Set("X-Repeat", "1")
	}
}

// setDeviceHeaders sets the headers that only devices send.
func (h *HTTP) setDeviceHeaders(header http.Header, tx *transmission) {
	header.Set("X-Device-Id", h.Device)
	if h.roundTrip > 0 {
		header.Set("X-Round-Trip-Ms", strconv.FormatInt(h.roundTrip.Milliseconds(), 10))
	}
	if tx.isRetry {
		header.Set("X-Sent-To", tx.firstGateway)
		header.Set("X-Age-Ms", strconv.FormatInt(time.Since(tx.firstSentAt).Milliseconds(), 10))
	} else {
		tx.firstGateway = h.gatewayName
	}
	if len(tx.partial) > 0 { // Request only the missing part of the response.
		header.Set("Range", fmt.Sprintf("bytes=%d-", len(tx.partial)))
		header.Set("If-Range", tx.etag)
	}
}

// measureRoundTrip updates the round-trip estimate. The estimate is the shortest time from a request to its response. A response
// with status 503 always replaces the estimate, because the gateway sends a rejection without delay.
func (h *HTTP) measureRoundTrip(resp *http.Response, elapsed time.Duration) {
	if resp.StatusCode == http.StatusServiceUnavailable || h.roundTrip == 0 || elapsed < h.roundTrip {
		h.roundTrip = elapsed
	}
}

// readResponse reads the body of a response and interprets its status. The body of a response with status 206 (Partial Content) is
// appended to received, the part that earlier transmissions have received.
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
	case http.StatusRequestedRangeNotSatisfiable: // The device has already received the whole body.
		res.outcome, res.content = invariants.Served, digest(received)
	default:
		res.outcome = invariants.Failed
	}
	return res, nil
}
