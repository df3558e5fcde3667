package httpserver

import (
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

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/scheduler"
)

// This file implements the parts of the frontend that are specific to devices on poor links. The headers of their protocol are:
//
//	X-Device-Id         id of the device, on every request
//	Idempotency-Key     key of the exchange of a write, the same on every transmission
//	X-Correlation-Id    key of the exchange of a read, the same on every transmission
//	X-Repeat: 1         set if the device has already sent the whole request before
//	X-Age-Ms            time since the device first sent the request
//	X-Gateway           id of the gateway, on every response; it changes with each start
//	X-Sent-To           the X-Gateway that the device knew when it first sent the request; all transmissions went to that gateway
//	X-Round-Trip-Ms     round-trip time of the link, measured by the device because the gateway can't measure it
//	ETag, Range, If-Range  let the device resume an interrupted response where it stopped (status 206)

// earliestSendKey is the context key of an *atomic.Uint64. It holds the earliest time in milliseconds, as the bits of a float64,
// at which the device can have sent the current request of a connection: when the connection was opened, or when the last
// response was written.
type earliestSendKey struct{}

// ConnContext records when a device's connection was opened. It is meant for http.Server.ConnContext.
func (h *Handler) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	earliestSend := &atomic.Uint64{}
	earliestSend.Store(math.Float64bits(h.Clock.NowMs()))
	return context.WithValue(ctx, earliestSendKey{}, earliestSend)
}

// earliestSend returns the value of earliestSendKey, or a new zero value if ConnContext was not called for the connection.
func (h *Handler) earliestSend(ctx context.Context) *atomic.Uint64 {
	if earliestSend, ok := ctx.Value(earliestSendKey{}).(*atomic.Uint64); ok {
		return earliestSend
	}
	return &atomic.Uint64{}
}

// makeDeviceRequest turns a parsed request into a transmission of a device's exchange.
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
	if device.AgeMs >= 0 { // X-Age-Ms is the age at the time of sending; this adds the longest possible time in transit
		device.AgeMs += h.Clock.NowMs() - math.Float64frombits(h.earliestSend(r.Context()).Load())
	}
	if err := requestparse.MakeDeviceRequest(parsed.request, parsed.class, parsed.fields, device, parsed.payload); err != nil {
		return err
	}
	body := parsed.payload.Body
	parsed.request.Device.Body, parsed.request.Device.BodyDigest = body, sha256.Sum256(body)
	return nil
}

// parseMilliseconds parses a header as a whole number into value. It leaves value unchanged if the header is absent.
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

// writeDeviceResponse writes the response to a device, or only the byte range that the device asks for, and reports to the event
// loop whether the response was written completely. If the response was dropped because memory is short, and the request now gets another
// one, that is written.
func (h *Handler) writeDeviceResponse(w http.ResponseWriter, r *http.Request, pending *pendingRequest, response lifecycle.Response) {
	// The context bounds only the time in which a dropped response is fetched again.
	ctx, cancel := context.WithTimeout(r.Context(), clock.Duration(max(0, pending.deadlineMs-h.Clock.NowMs())))
	defer cancel()
	request, held := pending.Request, h.holdResponse(ctx, r.Method, pending, response)
	defer held.release()
	var notServed *responsebuffer.NotServedError
	switch err := held.body.Await(ctx); {
	case errors.As(err, &notServed):
		h.Loop.Cancel(request)
		h.writeResponse(w, r, pending, notServed.Response)
		return
	case errors.Is(err, responsebuffer.ErrNoResponse), errors.Is(err, context.DeadlineExceeded):
		h.Loop.Cancel(request)
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
		return
	case err != nil: // the device has disconnected
		h.Loop.Cancel(request)
		panic(http.ErrAbortHandler)
	}
	startMs := h.Clock.NowMs()
	size := held.body.Size()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", fmt.Sprintf(`"%016x"`, held.body.ETag()))
	out := &countingWriter{ResponseWriter: w}
	// The deadline is the time to transfer the body on the slowest supported link, plus IdleTimeoutMs for a stall of the link.
	control := http.NewResponseController(w)
	if response.IdleTimeoutMs > 0 {
		deadline := time.Now().Add(clock.Duration(response.IdleTimeoutMs) + minTransferTime(size))
		_ = control.SetWriteDeadline(deadline) // the error is ignored: without a deadline, a stalled write only takes longer
	}
	body := io.NewSectionReader(held, 0, int64(size))
	if r.Method == http.MethodGet {
		http.ServeContent(out, r, "", time.Time{}, body)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = out.ReadFrom(body) // the error is in out.err
	}
	h.endDeviceResponse(request, held, out, control.Flush(), startMs)
}

// endDeviceResponse reports to the event loop whether a response was written completely. It ends the connection if the rest of a response
// that was dropped could not be obtained again.
func (h *Handler) endDeviceResponse(request *lifecycle.Request, held *heldResponse, out *countingWriter, flushErr error, startMs float64) {
	if out.err == nil && flushErr == nil && held.readErr == nil {
		h.Loop.ResponseWritten(request, lifecycle.LinkSample{Bytes: out.bytes, TransferMs: h.Clock.NowMs() - startMs})
		return
	}
	h.Loop.Cancel(request) // the response stays cached for the next transmission
	if held.readErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// heldResponse is the response to a device while it is being written. It implements io.ReaderAt.
type heldResponse struct {
	ctx     context.Context // bounds the time in which the body is fetched again
	account *memorybudget.Account
	body    *responsebuffer.Buffer
	readErr error // error of the last ReadAt
}

// holdResponse takes over a served response until it has been written.
func (h *Handler) holdResponse(ctx context.Context, method string, pending *pendingRequest, response lifecycle.Response) *heldResponse {
	held := &heldResponse{ctx: ctx}
	if conn := clientConnOf(ctx); conn != nil {
		held.account = conn.tracker.Budget.NewAccount()
	}
	var fetch responsebuffer.FetchFunc
	class := requestparse.FindClass(h.Settings, pending.Class)
	if method == http.MethodGet && class != nil && class.Idempotency == scheduler.Idempotent {
		fetcher := responsebuffer.Fetcher{Set: h.Responses, Loop: h.Loop, Clock: h.Clock}
		fetch = func(ctx context.Context) (lifecycle.Response, error) {
			return fetcher.Fetch(ctx, pending.Request, pending.deadlineMs)
		}
	}
	peer := responsebuffer.Peer{Account: held.account, LastHeard: func() time.Time { return pending.submittedAt }}
	held.body = h.Responses.Add(peer, response, fetch)
	return held
}

// ReadAt implements io.ReaderAt.
func (r *heldResponse) ReadAt(p []byte, offset int64) (int, error) {
	n, err := r.body.ReadAt(r.ctx, p, int(offset))
	r.readErr = err
	if err == nil && n < len(p) {
		err = io.EOF
	}
	return n, err
}

// release ends the use of the response's memory.
func (r *heldResponse) release() {
	r.body.Release()
	r.account.Close()
}
