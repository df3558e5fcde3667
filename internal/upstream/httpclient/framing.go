package httpclient

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"gaugerelay/internal/httpmessage"
)

// headEnd separates the head of a request or response from its body.
var headEnd = []byte("\r\n\r\n")

// statusLinePrefix is what each response begins with.
var statusLinePrefix = []byte("HTTP/1.")

// unknownLength is the body length of a head that does not give one.
const unknownLength = -1

// responseFraming finds the end of the response to one request. The zero value awaits the first byte.
type responseFraming struct {
	head         []byte // the head so far; nil once complete
	interimBytes int    // bytes of interim (1xx) heads before it
	inBody       bool
	bodyLeft     int  // bytes of the body still to come, once inBody
	endUnknown   bool // the end cannot be found here, so no request may follow on the connection
}

// feed takes the next bytes of a connection. It returns how many of them belong to the response and whether they complete
// it, or errInvalidResponse.
func (f *responseFraming) feed(p []byte) (n int, complete bool, err error) {
	for !f.inBody {
		buffered := len(f.head)
		f.head = append(f.head, p[n:]...)
		end, err := f.findHeadEnd()
		if err != nil {
			return 0, false, err
		}
		if end < 0 {
			return len(p), false, nil
		}
		n += end - buffered
		if err := f.parseHead(f.head[:end]); err != nil {
			return 0, false, err
		}
		f.head = nil
	}
	if f.endUnknown {
		return len(p), false, nil
	}
	bodyBytes := min(f.bodyLeft, len(p)-n)
	f.bodyLeft -= bodyBytes
	return n + bodyBytes, f.bodyLeft == 0, nil
}

// findHeadEnd returns the length of the buffered head, or a negative number if it is incomplete.
func (f *responseFraming) findHeadEnd() (end int, err error) {
	known := min(len(f.head), len(statusLinePrefix))
	if !bytes.Equal(f.head[:known], statusLinePrefix[:known]) {
		return 0, errInvalidResponse
	}
	if end = bytes.Index(f.head, headEnd); end >= 0 {
		return end + len(headEnd), nil
	}
	bareHeadEnd := []byte("\n\n") // net/http accepts it, too
	if end = bytes.Index(f.head, bareHeadEnd); end >= 0 {
		return end + len(bareHeadEnd), nil
	}
	if len(f.head)+f.interimBytes > maxHeadBytes {
		return 0, errInvalidResponse
	}
	return -1, nil
}

// parseHead reads a complete head to find the end of its body. The transport parses it too and finds further faults.
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
	if code == http.StatusNoContent || code == http.StatusNotModified {
		f.bodyLeft = 0
	}
	f.endUnknown = f.endUnknown || f.bodyLeft < 0
	return nil
}

// statusCode returns the code of a status line.
func statusCode(statusLine string) (int, error) {
	fields := strings.Fields(statusLine)
	if len(fields) < 2 || len(fields[1]) != 3 {
		return 0, errInvalidResponse
	}
	code, err := strconv.Atoi(fields[1])
	if err != nil || code == http.StatusSwitchingProtocols { // nobody asked for an upgrade
		return 0, errInvalidResponse
	}
	return code, nil
}

// parseHeader takes the length of the body from a header line. Other headers are ignored.
func (f *responseFraming) parseHeader(line string) error {
	name, value, _ := strings.Cut(line, ":")
	switch value = strings.TrimSpace(value); {
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.endUnknown = true
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(value, 10, 63)
		// A body that is too long is not worth reading at all.
		if err != nil || f.bodyLeft >= 0 && f.bodyLeft != int(length) || length > httpmessage.MaxBodyBytes {
			return errInvalidResponse
		}
		f.bodyLeft = int(length)
	}
	return nil
}
