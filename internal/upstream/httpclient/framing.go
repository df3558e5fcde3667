package httpclient

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"gaugerelay/internal/httpmessage"
)

// headTerminator separates the head of a request or response from its body.
var headTerminator = []byte("\r\n\r\n")

// statusLinePrefix begins the status line of every response.
var statusLinePrefix = []byte("HTTP/1.")

// unknownLength is the value of bodyLeft for a head without Content-Length.
const unknownLength = -1

// responseFraming finds the end of the response to one request. The zero value is ready for the first byte.
type responseFraming struct {
	head         []byte       // bytes received of the head; nil once the head is complete
	interimBytes int          // size of the heads of the interim (1xx) responses so far
	inBody       bool         // the head of the final response is complete
	bodyLeft     int          // bytes of the body still to be received; valid if inBody is set and chunked is nil
	chunked      *chunkedBody // end of a body in chunks; nil for another body
	// endUnknown is set if the end of the body cannot be found. The response then never completes, so the connection does not carry
	// another request.
	endUnknown bool
}

// feed takes the next bytes that were read from a connection. It returns how many of them belong to the response, and whether
// they complete it. The error is errInvalidResponse.
func (f *responseFraming) feed(p []byte) (consumed int, complete bool, err error) {
	for !f.inBody {
		buffered := len(f.head)
		f.head = append(f.head, p[consumed:]...)
		end, err := f.findHeadEnd()
		if err != nil {
			return 0, false, err
		}
		if end < 0 {
			return len(p), false, nil
		}
		consumed += end - buffered
		if err := f.parseHead(f.head[:end]); err != nil {
			return 0, false, err
		}
		f.head = nil
	}
	if f.endUnknown {
		return len(p), false, nil
	}
	if f.chunked != nil {
		bodyBytes, complete, err := f.chunked.feed(p[consumed:])
		return consumed + bodyBytes, complete, err
	}
	bodyBytes := min(f.bodyLeft, len(p)-consumed)
	f.bodyLeft -= bodyBytes
	return consumed + bodyBytes, f.bodyLeft == 0, nil
}

// findHeadEnd returns the length of the buffered head including its terminator, or a negative number if it is incomplete.
func (f *responseFraming) findHeadEnd() (end int, err error) {
	known := min(len(f.head), len(statusLinePrefix))
	if !bytes.Equal(f.head[:known], statusLinePrefix[:known]) {
		return 0, errInvalidResponse
	}
	if end = emptyLineEnd(f.head); end >= 0 {
		return end, nil
	}
	if len(f.head)+f.interimBytes > maxHeadBytes {
		return 0, errInvalidResponse
	}
	return -1, nil
}

// emptyLineEnd returns the position behind the first empty line, or a negative number if there is none. Like net/http, it accepts a
// line feed without a carriage return.
func emptyLineEnd(head []byte) int {
	for start := 0; ; {
		lineFeed := bytes.IndexByte(head[start:], '\n')
		if lineFeed < 0 {
			return -1
		}
		start += lineFeed + 1
		for _, emptyLine := range []string{"\n", "\r\n"} {
			if bytes.HasPrefix(head[start:], []byte(emptyLine)) {
				return start + len(emptyLine)
			}
		}
	}
}

// parseHead parses a complete head to find the end of the body. Other errors in the head are left to the transport, which
// parses it again.
func (f *responseFraming) parseHead(head []byte) error {
	lines := strings.Split(string(head), "\n")
	code, err := statusCode(lines[0])
	if err != nil {
		return err
	}
	if code >= 100 && code < 200 { // an interim response: the final one follows
		if f.interimBytes += len(head); f.interimBytes > maxHeadBytes {
			return errInvalidResponse
		}
		return nil
	}
	f.inBody, f.bodyLeft = true, unknownLength
	for _, line := range lines[1:] {
		if err := f.parseHeader(line); err != nil {
			return err
		}
	}
	if strings.HasPrefix(lines[0], "HTTP/1.0") { // Transfer-Encoding was introduced by HTTP/1.1, and net/http ignores it before that
		f.chunked, f.endUnknown = nil, false
	}
	if code == http.StatusNoContent || code == http.StatusNotModified {
		f.bodyLeft, f.chunked, f.endUnknown = 0, nil, false
	}
	f.endUnknown = f.endUnknown || f.chunked == nil && f.bodyLeft < 0
	return nil
}

// statusCode returns the code of a status line.
func statusCode(statusLine string) (int, error) {
	fields := strings.Fields(statusLine)
	if len(fields) < 2 || len(fields[1]) != 3 {
		return 0, errInvalidResponse
	}
	code, err := strconv.Atoi(fields[1])
	if err != nil || code == http.StatusSwitchingProtocols { // status 101 is invalid, because the client never requests an upgrade
		return 0, errInvalidResponse
	}
	return code, nil
}

// parseHeader evaluates a header line if it says where the body ends. Other headers are ignored.
func (f *responseFraming) parseHeader(line string) error {
	name, value, _ := strings.Cut(line, ":")
	switch value = strings.TrimSpace(value); {
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.endUnknown = f.chunked != nil || !strings.EqualFold(value, "chunked") // net/http supports only one coding, chunked
		f.chunked = &chunkedBody{}
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(value, 10, 63)
		// A body above the size limit is rejected before it is read.
		if err != nil || f.bodyLeft >= 0 && f.bodyLeft != int(length) || length > httpmessage.MaxBodyBytes {
			return errInvalidResponse
		}
		f.bodyLeft = int(length)
	}
	return nil
}
