package httpserver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/lifecycle"
)

// This file holds what the frontend does differently for devices on poor links.
//
//	X-Device-Id         the device's name, on every request
//	Idempotency-Key     of a write, or X-Correlation-Id of a read: names the exchange, the same on every copy
//	X-Repeat: 1         the request has been sent before, to its last byte
//	X-Age-Ms            how long ago it was first sent
//	X-Gateway           in responses: the gateway's id, another one after each start
//	X-Sent-To           the X-Gateway that the device knew when it first sent the request; all copies went there
//	X-Round-Trip-Ms     what the device has measured of its link: it can't be measured here
//	ETag, Range, If-Range, 206  a response that was cut off continues where it stopped

// sentAfterKey is the context key of the earliest time at which the current request of a connection can have been sent, as bits
// of a float64: when the connection was opened, or when the last response was written.
type sentAfterKey struct{}

// ConnContext prepares a connection of a device. It is for http.Server.ConnContext.
func (h *Handler) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	sentAfter := &atomic.Uint64{}
	sentAfter.Store(math.Float64bits(h.Clock.NowMs()))
	return context.WithValue(ctx, sentAfterKey{}, sentAfter)
}

// sentAfter returns the time of sentAfterKey, or 0 if ConnContext did not prepare the connection.
func (h *Handler) sentAfter(ctx context.Context) *atomic.Uint64 {
	if sentAfter, ok := ctx.Value(sentAfterKey{}).(*atomic.Uint64); ok {
		return sentAfter
	}
	return &atomic.Uint64{}
}

// makeDeviceRequest makes a parsed request a copy of an exchange.
func (h *Handler) makeDeviceRequest(parsed *parsedRequest, r *http.Request) error {
	device := requestparse.DeviceFields{
		DeviceID:        r.Header.Get("X-Device-Id"),
		ReadID:          parsed.fields.CorrelationID,
		AgeMs:           -1,
		PreviousGateway: r.Header.Get("X-Sent-To"),
		Link:            parsed.link,
	}
	if len(r.Header["X-Device-Id"]) > 1 {
		return errors.New("X-Device-Id is there more than once")
	}
	for name, value := range map[string]*float64{"X-Age-Ms": &device.AgeMs, "X-Round-Trip-Ms": &device.Link.RoundTripMs} {
		if err := parseMilliseconds(r.Header, name, value); err != nil {
			return err
		}
	}
	if device.AgeMs >= 0 { // the device gives the age at sending; this adds the longest time for which it was on its way
		device.AgeMs += h.Clock.NowMs() - math.Float64frombits(h.sentAfter(r.Context()).Load())
	}
	if err := requestparse.MakeDeviceRequest(parsed.request, parsed.class, parsed.fields, device, parsed.payload); err != nil {
		return err
	}
	body := parsed.payload.Body
	parsed.request.Device.Body, parsed.request.Device.BodyDigest = body, sha256.Sum256(body)
	return nil
}

// parseMilliseconds reads a header, if it is present, as a whole number.
func parseMilliseconds(header http.Header, name string, value *float64) error {
	text := header.Get(name)
	if text == "" {
		return nil
	}
	number, err := strconv.ParseUint(text, 10, 31)
	if err != nil || len(header[name]) > 1 {
		return fmt.Errorf("%s is not one whole number", name)
	}
	*value = float64(number)
	return nil
}

// writeDeviceResponse writes the response to a device, or the part of it that the device lacks, and reports to the loop
// whether it was written.
func (h *Handler) writeDeviceResponse(w http.ResponseWriter, r *http.Request, request *lifecycle.Request, response lifecycle.Response) {
	body := response.Body.([]byte)
	startMs := h.Clock.NowMs()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", fmt.Sprintf(`"%016x"`, response.ETag))
	out := &countingWriter{ResponseWriter: w}
	// Each write may take as long as a usual stall of the link, not the whole response.
	control := http.NewResponseController(w)
	if response.IdleTimeoutMs > 0 {
		deadline := time.Now().Add(clock.Duration(response.IdleTimeoutMs) + minTransferTime(len(body)))
		_ = control.SetWriteDeadline(deadline) // without a deadline the response may only take longer
	}
	if r.Method == http.MethodGet {
		http.ServeContent(out, r, "", time.Time{}, bytes.NewReader(body))
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = out.Write(body) // out keeps the error
	}
	if err := control.Flush(); out.err != nil || err != nil {
		h.Loop.Cancel(request) // the response stays cached
		return
	}
	h.Loop.ResponseWritten(request, lifecycle.LinkSample{Bytes: out.bytes, TransferMs: h.Clock.NowMs() - startMs})
}
