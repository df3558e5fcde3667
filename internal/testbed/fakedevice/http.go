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

// HTTP is the HTTP wire of a device.
type HTTP struct {
	Device               string
	Dial                 Dialer
	WithoutDeviceHeaders bool // it speaks as the platform's clients do, without the headers for devices

	client *http.Client
	link   Link
	sent   atomic.Int64
	name   string // of the gateway, as last heard
	fresh  int
	rtt    time.Duration // of a short answer that came at once
}

// Close implements Wire.
func (h *HTTP) Close() {
	if h.client != nil {
		h.client.CloseIdleConnections()
		h.client = nil
	}
}

// Link implements Wire.
func (h *HTTP) Link() Link { return h.link }

// counter counts what is sent.
type counter struct {
	net.Conn
	n *atomic.Int64
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// send implements Wire.
func (h *HTTP) send(ctx context.Context, c *copied) (res result, err error) {
	h.sent.Store(0)
	if h.client == nil {
		h.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				nc, link, err := h.Dial(ctx)
				if err != nil {
					return nil, err
				}
				h.link = link
				return &counter{nc, &h.sent}, nil
			}}}
	}
	defer func() { res.bytes = int(h.sent.Load()) }()
	method, target := http.MethodGet, fmt.Sprintf("http://gateway/%s/%s?n=%d", c.Class, c.Object, c.Size)
	if c.Write {
		method, target = http.MethodPut, fmt.Sprintf("http://gateway/%s/%s", c.Class, c.Object)
	}
	var wrote, heard atomic.Bool
	var wroteAt atomic.Int64
	trace := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			wroteAt.Store(time.Now().UnixNano())
			wrote.Store(true)
		}
	}, GotFirstResponseByte: func() { heard.Store(true) }})
	// Without GetBody the transport resends nothing by itself.
	var body io.Reader
	if c.Write {
		body = io.MultiReader(bytes.NewReader(c.Body))
	}
	req, err := http.NewRequestWithContext(trace, method, target, body)
	if err != nil {
		return res, err
	}
	req.ContentLength = int64(len(c.Body))
	set := req.Header.Set
	set("X-Service-Class", c.Class)
	set("X-Plan", "basic")
	set("X-Time-Left-Ms", strconv.FormatInt(c.left.Milliseconds(), 10))
	set("X-IO", fmt.Sprintf("volume=%s,units=1,shard=%d,hosts=1", c.Object, c.Shard))
	set("X-Correlation-Id", c.Key)
	if c.Write {
		set("Idempotency-Key", c.Key)
	}
	if h.WithoutDeviceHeaders {
		h.fresh++
		set("X-Correlation-Id", fmt.Sprintf("%s-%d", c.Key, h.fresh))
	} else {
		set("X-Device-Id", h.Device)
		if !c.repeat {
			c.sentTo = h.name
		}
		if h.rtt > 0 {
			set("X-Round-Trip-Ms", strconv.FormatInt(h.rtt.Milliseconds(), 10))
		}
	}
	if c.repeat {
		set("X-Repeat", "1")
		if !h.WithoutDeviceHeaders {
			set("X-Sent-To", c.sentTo)
			set("X-Age-Ms", strconv.FormatInt(time.Since(c.began).Milliseconds(), 10))
		}
	}
	from := 0
	if len(c.have) > 0 && !h.WithoutDeviceHeaders {
		set("Range", fmt.Sprintf("bytes=%d-", len(c.have)))
		set("If-Range", c.etag)
		from = len(c.have)
	}
	began := time.Now()
	resp, err := h.client.Do(req)
	if took := time.Since(began); err == nil && (resp.StatusCode == http.StatusServiceUnavailable || h.rtt == 0 || took < h.rtt) {
		h.rtt = took // what is refused comes at once
	}
	if err != nil {
		// Whoever has given up in the midst of sending does not know what got through.
		res.sent, res.heard = h.sent.Load() > 0, true
		if wrote.Load() {
			res.sentAt, res.heard = time.Unix(0, wroteAt.Load()), heard.Load()
		}
		return res, ErrLost
	}
	defer resp.Body.Close()
	h.name = resp.Header.Get("X-Gateway")
	res.sent, res.heard = true, true
	got, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusPartialContent {
		got = append(append([]byte(nil), c.have[:from]...), got...)
	}
	if err != nil {
		if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusPartialContent {
			res.have, res.etag = got, resp.Header.Get("ETag")
		}
		return res, ErrLost
	}
	res.note = resp.Status
	switch resp.StatusCode {
	case http.StatusOK, http.StatusPartialContent:
		res.outcome, res.content = invariants.Served, content(got)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		res.outcome = invariants.Rejected
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			res.after = time.Duration(s * float64(time.Second))
		}
	case http.StatusConflict:
		res.outcome = invariants.Conflict
	case http.StatusRequestedRangeNotSatisfiable: // it had all of it
		res.outcome, res.content = invariants.Served, content(c.have)
	default:
		res.outcome = invariants.Failed
	}
	return res, nil
}
