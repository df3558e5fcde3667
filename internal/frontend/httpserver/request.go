package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// uniqueHeaders are the headers that a request must not repeat, because a server might use a different value than the gateway.
var uniqueHeaders = [...]string{"X-Correlation-Id", "X-Service-Class", "X-Plan", "X-Time-Left-Ms", "X-IO", "X-Repeat",
	"Idempotency-Key", "Content-Type"}

// malformedError is an error of a malformed request whose response has a status other than 400. Its text is sent to the client.
type malformedError struct {
	status int
	text   string
}

// Error implements error.
func (e *malformedError) Error() string { return e.text }

var (
	errBodyTooLarge   = &malformedError{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	errLengthRequired = &malformedError{http.StatusLengthRequired, "a Content-Length is required, and no Transfer-Encoding"}
)

// parsedRequest is a parsed request with the values from which makeDeviceRequest sets request.Device.
type parsedRequest struct {
	request *lifecycle.Request
	class   *scheduler.Class
	fields  requestparse.Fields
	payload *httpmessage.Request
	link    lifecycle.LinkSample // measurements of the link, made while the body was read
}

// parseRequest reads and parses a client's request. The text of its error is sent to the client, with status 400 unless the error
// is a malformedError.
func (h *Handler) parseRequest(r *http.Request) (*lifecycle.Request, error) {
	if err := rejectAmbiguous(r); err != nil {
		return nil, err
	}
	parsed := &parsedRequest{}
	var err error
	if parsed.fields, err = parseFields(r); err != nil {
		return nil, err
	}
	if parsed.request, parsed.class, err = requestparse.Parse(h.Settings, parsed.fields); err != nil {
		return nil, err
	}
	body, link, err := h.readBody(r)
	if err != nil {
		return nil, err
	}
	parsed.link = link
	parsed.payload = newPayload(r, parsed.fields, body)
	parsed.request.Upstream, parsed.request.Payload = h.Upstream, parsed.payload
	if h.ServesDevices {
		if err := h.makeDeviceRequest(parsed, r); err != nil {
			return nil, err
		}
	}
	return parsed.request, nil
}

// rejectAmbiguous returns an error for a request whose framing, method, target or headers a server might interpret differently
// than the gateway.
func rejectAmbiguous(r *http.Request) error {
	// A request with both a Content-Length and a Transfer-Encoding is rejected before (see headScanner.hasAmbiguousLength).
	if len(r.TransferEncoding) > 0 || r.ContentLength < 0 {
		return errLengthRequired
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return &malformedError{http.StatusMethodNotAllowed, "GET or PUT"}
	}
	forwarded := url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	if r.RequestURI != forwarded.RequestURI() || strings.Contains(r.URL.Path, "//") {
		return errors.New("a target that could not be passed on unchanged")
	}
	for _, name := range uniqueHeaders {
		if len(r.Header[textproto.CanonicalMIMEHeaderKey(name)]) > 1 {
			return fmt.Errorf("%s is there more than once", name)
		}
	}
	return nil
}

// parseFields returns the fields of a request, which it takes from the method, the path and the headers.
func parseFields(r *http.Request) (requestparse.Fields, error) {
	remainingMs, err := strconv.ParseUint(r.Header.Get("X-Time-Left-Ms"), 10, 31)
	if err != nil {
		return requestparse.Fields{}, errors.New("X-Time-Left-Ms is not a whole number")
	}
	fields := requestparse.Fields{
		Method:         r.Method,
		Path:           r.URL.Path,
		Class:          r.Header.Get("X-Service-Class"),
		Plan:           r.Header.Get("X-Plan"),
		IO:             r.Header.Get("X-IO"),
		CorrelationID:  r.Header.Get("X-Correlation-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		RemainingMs:    remainingMs,
		IsRetry:        r.Header.Get("X-Repeat") == "1",
	}
	if !requestparse.IsIdentifier(fields.CorrelationID) {
		return requestparse.Fields{}, errors.New("X-Correlation-Id is missing, too long or not plain text")
	}
	return fields, nil
}

// readBody reads the body of a request and measures the link while the body arrives.
func (h *Handler) readBody(r *http.Request) ([]byte, lifecycle.LinkSample, error) {
	var link lifecycle.LinkSample
	if r.Method == http.MethodGet && r.ContentLength > 0 {
		return nil, link, errors.New("a read has no body")
	}
	if r.ContentLength > httpmessage.MaxBodyBytes { // the body is not read at all
		return nil, link, errBodyTooLarge
	}
	reader := &timedReader{reader: r.Body, clock: h.Clock}
	body, err := readAll(reader, int(r.ContentLength), clientConnOf(r.Context()))
	if errors.Is(err, errEvicted) || err == nil && r.ContentLength > 0 && !h.take(r) {
		return nil, link, errEvicted
	}
	if errors.Is(err, errBodyTooLarge) {
		return nil, link, errBodyTooLarge
	}
	if err != nil {
		return nil, link, errors.New("the body is not whole")
	}
	return body, reader.sample(), nil
}

// minBodyBuffer is the size of the buffer in which the first bytes of a body are read.
const minBodyBuffer = 4 << 10

// readAll reads a body of the given length. The buffer grows with the bytes that have arrived, so that clients that stop early take
// little memory. The memory is reserved at conn, which may be nil. The error is errEvicted if there is not enough.
func readAll(reader io.Reader, length int, conn *clientConn) ([]byte, error) {
	var body []byte
	for len(body) < length {
		size := min(length, max(minBodyBuffer, 2*len(body)))
		if conn != nil && !conn.reserveBody(size) {
			conn.noteReason(closeMemory)
			return nil, errEvicted
		}
		grown := make([]byte, size)
		copied := copy(grown, body)
		n, err := io.ReadFull(reader, grown[copied:])
		if conn != nil {
			conn.release(len(body))
		}
		body = grown[:copied+n]
		if err != nil {
			return nil, err
		}
	}
	var next [1]byte
	if n, _ := io.ReadFull(reader, next[:]); n > 0 { // net/http ends a body at its length
		return nil, errBodyTooLarge
	}
	return body, nil
}

// newPayload builds the request that is sent to a server.
func newPayload(r *http.Request, fields requestparse.Fields, body []byte) *httpmessage.Request {
	header := http.Header{"X-Correlation-Id": {fields.CorrelationID}}
	if fields.IdempotencyKey != "" {
		header.Set("Idempotency-Key", fields.IdempotencyKey)
	}
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		header.Set("Content-Type", contentType)
	}
	return &httpmessage.Request{Method: r.Method, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery,
		Header: header, Body: body}
}
