package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
)

// behavior is what a fake server does with a request. The numeric values must not change, because the fuzz corpus stores them.
type behavior byte

const (
	respond behavior = iota
	respondAndClose
	internalError
	rejectUnprocessed
	rejectWithoutProof // 503 response without X-Unprocessed, the header that proves that the request was not executed
	closeWithoutResponse
	garbageAndClose
	halfResponse
	tooLargeBody
	invalidHeaders

	// After the following behaviors, the server leaves the connection open.

	garbage
	hugeLength
	conflictingLengths
	longHead
	interimResponses
	duplicateResponse
	garbageAfterResponse

	// The following responses have no length: they end when the connection is closed. After a reset they are incomplete.

	noLength
	noLengthReset

	behaviorCount
)

// asPUT is added to a behavior in a fuzz script if the request is a PUT; otherwise it is a GET.
const asPUT behavior = 128

// expectedStatus is the status of an attempt, by the behavior of its server.
var expectedStatus = [behaviorCount]scheduler.Status{
	respond:              scheduler.StatusOK,
	respondAndClose:      scheduler.StatusOK,
	internalError:        scheduler.StatusError,
	rejectUnprocessed:    scheduler.StatusOverloaded,
	rejectWithoutProof:   scheduler.StatusError,
	closeWithoutResponse: scheduler.StatusConnectionReset,
	garbageAndClose:      scheduler.StatusError,
	halfResponse:         scheduler.StatusConnectionReset,
	tooLargeBody:         scheduler.StatusError,
	invalidHeaders:       scheduler.StatusOK,
	garbage:              scheduler.StatusError,
	hugeLength:           scheduler.StatusError,
	conflictingLengths:   scheduler.StatusError,
	longHead:             scheduler.StatusError,
	interimResponses:     scheduler.StatusOK,
	duplicateResponse:    scheduler.StatusOK,
	garbageAfterResponse: scheduler.StatusOK,
	noLength:             scheduler.StatusOK,
	noLengthReset:        scheduler.StatusConnectionReset,
}

// fakeServer is a storage server that handles each request by the next behavior from a channel.
type fakeServer struct {
	addr      string
	behaviors chan behavior
	requests  atomic.Int32 // complete requests received
}

func newFakeServer(t testing.TB) *fakeServer {
	s := &fakeServer{behaviors: make(chan behavior, 1)}
	s.addr = testbed.Serve(t, s.serve)
	return s
}

// serve handles the requests on a connection until a behavior closes it.
func (s *fakeServer) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.requests.Add(1)
		b, echo := <-s.behaviors, r.Method+r.RequestURI+string(body)
		if !writeWithLength(c, b, echo) {
			writeRaw(c, b, echo)
		}
		if closesConnection(b) {
			return
		}
	}
}

// closesConnection reports whether a behavior closes the connection after the response.
func closesConnection(b behavior) bool {
	switch b {
	case respondAndClose, closeWithoutResponse, noLength, noLengthReset, garbageAndClose, halfResponse:
		return true
	}
	return false
}

// writeWithLength writes the response of a behavior if it is a complete response with a valid length. Otherwise it returns false.
func writeWithLength(c net.Conn, b behavior, echo string) bool {
	write := func(status string, body string, headers ...string) {
		testbed.TryWrite(c, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
			strings.Join(append(headers, ""), "\r\n"), body))
	}
	switch b {
	case respond:
		write("200 OK", echo, "X-Volume-Use: 85", "X-Served-Elsewhere: 3", `X-Backend-Load: {"queue":7}`)
	case respondAndClose:
		write("200 OK", echo, "Connection: close")
	case internalError:
		write("500 Internal Server Error", "")
	case rejectUnprocessed:
		write("503 Service Unavailable", "", "X-Unprocessed: 1")
	case rejectWithoutProof:
		write("503 Service Unavailable", "")
	case tooLargeBody:
		write("200 OK", strings.Repeat("x", httpmessage.MaxBodyBytes+1))
	case interimResponses:
		testbed.TryWrite(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
		write("200 OK", echo)
	case invalidHeaders:
		write("200 OK", echo, "X-Volume-Use: much", "X-Served-Elsewhere: -1", "X-Backend-Load: {")
	default:
		return false
	}
	return true
}

// writeRaw writes the bytes of a behavior whose response has no length, is malformed, incomplete, or followed by other data.
func writeRaw(c net.Conn, b behavior, echo string) {
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(echo), echo)
	switch b {
	case noLength, noLengthReset:
		testbed.TryWrite(c, "HTTP/1.1 200 OK\r\n\r\n"+echo)
		if b == noLengthReset {
			_ = c.(*net.TCPConn).SetLinger(0) // if this fails, there is no reset, and the test fails on the attempt's status
		}
	case garbageAndClose:
		testbed.TryWrite(c, "what?\r\n\r\n")
	case halfResponse:
		testbed.TryWrite(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	case garbage:
		testbed.TryWrite(c, "\x00\x01\x02")
	case hugeLength:
		testbed.TryWrite(c, "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx")
	case conflictingLengths:
		testbed.TryWrite(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx")
	case longHead:
		testbed.TryWrite(c, "HTTP/1.1 200 OK\r\nX-Pad: "+strings.Repeat("x", maxHeadBytes))
	case duplicateResponse:
		testbed.TryWrite(c, response+strings.Replace(response, echo, strings.Repeat("?", len(echo)), 1))
	case garbageAfterResponse:
		testbed.TryWrite(c, response+"noise\r\n\r\n")
	}
}
