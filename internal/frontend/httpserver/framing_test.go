package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

// framingServer is a server that responds to each submitted request and counts them.
type framingServer struct {
	*testServer
	submissions atomic.Int64
}

func startFramingServer(t *testing.T, servesDevices bool) *framingServer {
	t.Helper()
	s := &framingServer{testServer: startServer(t, func(s *testServer, ln net.Listener) net.Listener {
		s.handler.ServesDevices, s.server.DisableGeneralOptionsHandler = servesDevices, true
		return ln
	})}
	go func() {
		for {
			select {
			case request := <-s.submitted:
				s.submissions.Add(1)
				request.Respond(lifecycle.Response{Body: []byte("done")})
			case <-t.Context().Done():
				return
			}
		}
	}()
	return s
}

// exchange sends the pieces of a text one by one and returns all that the server sends until it closes the connection.
func (s *framingServer) exchange(t *testing.T, pieces ...string) string {
	t.Helper()
	client := s.dial(t)
	for _, piece := range pieces {
		testbed.TryWrite(client, piece) // the server may have closed the connection after an earlier piece
	}
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	got, err := io.ReadAll(client)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the server does not close the connection; received %.80q", got)
	}
	return string(got)
}

// countStatuses returns the number of responses in a text whose status matches a pattern.
func countStatuses(text, pattern string) int {
	return len(regexp.MustCompile(`HTTP/1\.[01] `+pattern+" ").FindAllString(text, -1))
}

// framingHead returns the head of a write without the fields that say how long the body is.
func framingHead(version, id string) string {
	return "PUT /push/7f3a9c21e0b4d655 " + version + "\r\nHost: h\r\nConnection: keep-alive\r\nX-Device-Id: d\r\nX-Correlation-Id: " + id +
		"\r\nX-Service-Class: push\r\nX-Plan: basic\r\nX-Time-Left-Ms: 480\r\nIdempotency-Key: k" + id +
		"\r\nX-IO: volume=1,units=2,shard=3,hosts=2\r\n"
}

// Guards against requests that are hidden in the body of another one, whose end a server might find elsewhere than the gateway (review/7).
// The first one gets an error, on any path, and neither it nor what follows it is executed.
func TestRequestHiddenInAnAmbiguousBodyIsNotExecuted(t *testing.T) {
	hidden := framingHead("HTTP/1.1", "2") + "Content-Length: 0\r\n\r\n"
	chunkSize := fmt.Sprintf("%x\r\n", len(hidden))
	inChunk := chunkSize + hidden + "\r\n0\r\n\r\n" // a body whose only chunk contains the hidden request
	toChunk := fmt.Sprintf("Content-Length: %d\r\n", len(chunkSize))
	toEnd := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+hidden))
	const chunked = "Transfer-Encoding: chunked\r\n"
	put10, put11, ready10, ready11 := framingHead("HTTP/1.0", "1"), framingHead("HTTP/1.1", "1"),
		"GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n", "GET /ready HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"before HTTP/1.1":                 put10 + toChunk + chunked + "\r\n" + inChunk,
		"before HTTP/1.1, encoding first": put10 + chunked + toChunk + "\r\n" + inChunk,
		"before HTTP/1.1, small letters":  put10 + strings.ToLower(toChunk+chunked) + "\r\n" + inChunk,
		"before HTTP/1.1, no length":      put10 + chunked + "\r\n" + hidden,
		"before HTTP/1.1, unknown coding": put10 + toChunk + "Transfer-Encoding: gzip, identity\r\n\r\n" + inChunk,
		"before HTTP/1.1, empty coding":   put10 + toChunk + "Transfer-Encoding:\r\n\r\n" + inChunk,
		"before HTTP/1.1, folded value":   put10 + toChunk + "Transfer-Encoding:\r\n chunked\r\n\r\n" + inChunk,
		"before HTTP/1.1, two encodings":  put10 + toChunk + chunked + chunked + "\r\n" + inChunk,
		"before HTTP/1.1, line feeds":     strings.ReplaceAll(put10+toChunk+chunked+"\r\n", "\r\n", "\n") + inChunk,
		"before HTTP/1.1, read":           strings.Replace(put10, "PUT", "GET", 1) + toChunk + chunked + "\r\n" + inChunk,
		"before HTTP/1.1, status":         ready10 + toChunk + chunked + "\r\n" + inChunk,
		"folded encoding":                 put11 + toChunk + "X-A: b\r\n\t" + chunked + "\r\n" + inChunk,
		"space before the colon":          put11 + toChunk + "Transfer-Encoding : chunked\r\n\r\n" + inChunk,
		"length behind the chunks":        put11 + toEnd + chunked + "\r\n0\r\n\r\n" + hidden,
		"later version":                   framingHead("HTTP/1.9", "1") + toEnd + chunked + "\r\n0\r\n\r\n" + hidden,
		"status, length behind chunks":    ready11 + toEnd + chunked + "\r\n0\r\n\r\n" + hidden,
		"status, folded encoding":         ready11 + toChunk + "X-A: b\r\n " + chunked + "\r\n" + inChunk,
		"metrics, length behind chunks":   "GET /metrics HTTP/1.1\r\nHost: h\r\n" + toEnd + chunked + "\r\n0\r\n\r\n" + hidden,
		"unknown path":                    "GET /none HTTP/1.0\r\nConnection: keep-alive\r\n" + toChunk + chunked + "\r\n" + inChunk,
		"all paths":                       "OPTIONS * HTTP/1.0\r\nConnection: keep-alive\r\n" + toChunk + chunked + "\r\n" + inChunk,
	} {
		t.Run(name, func(t *testing.T) {
			for _, servesDevices := range []bool{false, true} {
				pieces := map[string][]string{"at once": {text}, "byte by byte": strings.Split(text, ""),
					"behind another one": {framingHead("HTTP/1.1", "0") + "Content-Length: 4\r\n\r\ndata" + text}}
				for sending, pieces := range pieces {
					s := startFramingServer(t, servesDevices)
					got := s.exchange(t, pieces...)
					wantExecuted := strings.Count(sending, "another")
					if executed, served := int(s.submissions.Load()), countStatuses(got, "200"); executed != wantExecuted || served != wantExecuted {
						t.Errorf("sent %s, devices %v: %d requests were executed and %d got status 200, want %d; received %.200q", sending,
							servesDevices, executed, served, wantExecuted, got)
					}
					if got := countStatuses(got, "[45].."); got != 1 {
						t.Errorf("sent %s, devices %v: got %d errors, want 1", sending, servesDevices, got)
					}
				}
			}
		})
	}
}

// Guards against requests whose heads have been read as a part of a body in chunks, so that their fields were not looked at: a status
// request may have such a body, and must be the last one of its connection.
func TestRequestBehindChunksIsNotServedUnseen(t *testing.T) {
	hidden := framingHead("HTTP/1.1", "2") + "Content-Length: 0\r\n\r\n"
	chunkSize := fmt.Sprintf("%x\r\n", len(hidden))
	behind := framingHead("HTTP/1.0", "1") + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(chunkSize)) +
		chunkSize + hidden + "\r\n0\r\n\r\n"
	s := startFramingServer(t, false)
	got := s.exchange(t, "GET /ready HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+behind)
	if executed := s.submissions.Load(); executed != 0 || countStatuses(got, "...") != 1 || countStatuses(got, "200") != 1 {
		t.Errorf("%d requests were executed, want 0 and one response with status 200; received %.200q", executed, got)
	}
}

// Guards against refusing requests whose bodies have one clear end: those of HTTP/1.0 clients that keep their connections, with a
// Content-Length, and with fields that only resemble Transfer-Encoding.
func TestClearFramingIsServed(t *testing.T) {
	for name, fields := range map[string]string{
		"length":           "Content-Length: 4\r\n",
		"repeated length":  "Content-Length: 4\r\nContent-Length: 4\r\n",
		"longer name":      "Content-Length: 4\r\nTransfer-Encoding-X: chunked\r\n",
		"shorter name":     "Content-Length: 4\r\nTransfer-Encodin: chunked\r\n",
		"prefixed name":    "Content-Length: 4\r\nX-Transfer-Encoding: chunked\r\n",
		"name in a value":  "Content-Length: 4\r\nX-A: Transfer-Encoding: chunked\r\n",
		"other connection": "Content-Length: 4\r\nTE: chunked\r\nTrailer: Transfer-Encoding\r\n",
	} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+" "+version, func(t *testing.T) {
				s := startFramingServer(t, false)
				text := framingHead(version, "1") + fields + "\r\ndata" + framingHead(version, "2") + "Connection: close\r\n" + fields + "\r\ndata"
				got := s.exchange(t, strings.Replace(text, "keep-alive\r\nX-Device-Id: d\r\nX-Correlation-Id: 2", "close\r\nX-Correlation-Id: 2", 1))
				if served := countStatuses(got, "200"); served != 2 || s.submissions.Load() != 2 {
					t.Errorf("%d requests got status 200 and %d were executed, want 2 and 2; received %.200q", served, s.submissions.Load(), got)
				}
			})
		}
	}
}

// The fields are found in pieces of any size, and in lines with or without a carriage return.
func TestHeadScannerFindsLengthFields(t *testing.T) {
	for head, want := range map[string]headScanner{
		"GET /a:b HTTP/1.0\r\nContent-Length: 1\r\n\r\n":                              {hasContentLength: true},
		"GET / HTTP/1.0\nCONTENT-LENGTH:1\ntransfer-encoding:\n\n":                    {hasContentLength: true, hasTransferEncoding: true},
		"GET / HTTP/1.0\r\nA: Content-Length: 1\r\n Transfer-Encoding : b\r\n\r\n":    {hasTransferEncoding: true},
		"Content-Length: 1\r\nTransfer-Encodings: a\r\nXTransfer-Encoding: a\r\n\r\n": {},
	} {
		for piece := 1; piece <= len(head); piece++ {
			var scanner headScanner
			for rest := head; rest != ""; rest = rest[min(piece, len(rest)):] {
				scanner.scan([]byte(rest[:min(piece, len(rest))]))
			}
			if scanner.hasContentLength != want.hasContentLength || scanner.hasTransferEncoding != want.hasTransferEncoding {
				t.Errorf("%q in pieces of %d bytes: got %v and %v, want %v and %v", head, piece, scanner.hasContentLength,
					scanner.hasTransferEncoding, want.hasContentLength, want.hasTransferEncoding)
			}
		}
	}
}
