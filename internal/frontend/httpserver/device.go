package httpserver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/lifecycle"
)

// This file is what the front does otherwise for devices on poor links.
//
//	X-Device-Id         the device's name, on every request
//	Idempotency-Key     of a write, or X-Correlation-Id of a read: names the exchange, the same on every copy
//	X-Repeat: 1         this has been sent before, to its last byte
//	X-Age-Ms            how long ago it was first sent
//	X-Gateway           in answers: how the gateway names itself, another at each start
//	X-Sent-To           the X-Gateway that the device had heard when it first sent this; all copies went there
//	X-Round-Trip-Ms     what the device has measured of its link: here it can't be, and time counts from its sending
//	ETag, Range, If-Range, 206  an answer that was cut off continues where it stopped

// timed measures how a body comes in.
type timed struct {
	r             io.Reader
	clock         clock.Clock
	began, last   float64
	n             int
	longest, span float64
}

func (t *timed) Read(p []byte) (int, error) {
	if t.began == 0 {
		t.began = t.clock.NowMs()
		t.last = t.began
	}
	n, err := t.r.Read(p)
	now := t.clock.NowMs()
	if n > 0 {
		t.longest = max(t.longest, now-t.last)
		t.last, t.n, t.span = now, t.n+n, now-t.began
	}
	return n, err
}

// measured is what that tells of the link. What comes all at once tells of buffers, not of the link.
func (t *timed) measured() lifecycle.LinkSample {
	if t.span < 1 {
		return lifecycle.LinkSample{}
	}
	return lifecycle.LinkSample{Bytes: t.n, BytesMs: t.span, GapMs: t.longest}
}

// since holds, in a connection's context, the time after which whatever comes now was sent: its connecting, or the
// end of the answer before.
type since struct{}

// ConnContext is an http.Server's, for a front for devices.
func (f *Handler) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	at := &atomic.Uint64{}
	at.Store(math.Float64bits(f.Clock.NowMs()))
	return context.WithValue(ctx, since{}, at)
}

// after is that time.
func (f *Handler) after(ctx context.Context) *atomic.Uint64 {
	if at, ok := ctx.Value(since{}).(*atomic.Uint64); ok {
		return at
	}
	return &atomic.Uint64{} // long ago
}

// device makes a request a copy of an exchange.
func (f *Handler) device(req *lifecycle.Request, class *scheduler.Class, fields requestparse.Fields, r *http.Request, load *httpmessage.Request, link lifecycle.LinkSample) error {
	h := r.Header
	c := requestparse.DeviceFields{DeviceID: h.Get("X-Device-Id"), ReadID: fields.CorrelationID, AgeMs: -1, PreviousGateway: h.Get("X-Sent-To"), Link: link}
	if len(h["X-Device-Id"]) > 1 {
		return errors.New("X-Device-Id is there more than once")
	}
	for name, at := range map[string]*float64{"X-Age-Ms": &c.AgeMs, "X-Round-Trip-Ms": &c.Link.RoundTripMs} {
		text := h.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil || len(h[name]) > 1 {
			return fmt.Errorf("%s is not one whole number", name)
		}
		*at = float64(n)
	}
	if c.AgeMs >= 0 { // told when it was sent; how long it was on its way is known only to be less than this
		c.AgeMs += f.Clock.NowMs() - math.Float64frombits(f.after(r.Context()).Load())
	}
	if err := requestparse.MakeDeviceRequest(req, class, fields, c, load); err != nil {
		return err
	}
	req.Device.Body, req.Device.BodyDigest = load.Body, sha256.Sum256(load.Body)
	return nil
}

// serveDevice writes a device's answer, or the part of it that the device lacks, and tells whether that went out.
func (f *Handler) serveDevice(w http.ResponseWriter, r *http.Request, req *lifecycle.Request, a lifecycle.Response) {
	body := a.Result.([]byte)
	began := f.Clock.NowMs()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", fmt.Sprintf(`"%016x"`, a.ETag))
	out := &counted{ResponseWriter: w}
	// Each write may take as long as a usual stall of the link, not the whole answer.
	control := http.NewResponseController(w)
	if a.IdleTimeoutMs > 0 {
		control.SetWriteDeadline(time.Now().Add(clock.Duration(a.IdleTimeoutMs) + answerTime(len(body))))
	}
	if r.Method == http.MethodGet {
		http.ServeContent(out, r, "", time.Time{}, bytes.NewReader(body))
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		out.Write(body)
	}
	if err := control.Flush(); out.err != nil || err != nil {
		f.Loop.Cancel(req) // the answer is kept
		return
	}
	f.Loop.ResponseWritten(req, lifecycle.LinkSample{Bytes: out.n, BytesMs: f.Clock.NowMs() - began})
}

// answerTime is the least time that an answer gets on the slowest link that is of use: 1 KiB a second.
func answerTime(bytes int) time.Duration { return time.Duration(bytes) * time.Second / 1024 }

// counted notes what went out.
type counted struct {
	http.ResponseWriter
	n   int
	err error
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.n += n
	if err != nil {
		c.err = err
	}
	return n, err
}
