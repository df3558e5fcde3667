package httpclient

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// framingCases are complete responses, and for some of them bytes that follow.
var framingCases = map[string]struct{ response, rest string }{
	"length":                      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\n"},
	"length 0":                    {"HTTP/1.1 503 no\r\ncontent-length:0\r\n\r\n", "x"},
	"head with line feeds alone":  {"HTTP/1.1 200 OK\nContent-Length: 1\n\na", "b"},
	"line feed in the last line":  {"HTTP/1.1 200 OK\r\nContent-Length: 1\n\r\na", "\r\n\r\n"},
	"no content":                  {"HTTP/1.1 204 No Content\r\n\r\n", "x"},
	"not modified with a length":  {"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", "x"},
	"no content in chunks":        {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"},
	"after interim responses":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "b"},
	"one chunk":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n"},
	"empty body in chunks":        {"HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n\r\n0\r\n\r\n", "0\r\n\r\n"},
	"chunks with line ends":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n0\r\n\r\n0\r\r\n0A\r\n0123456789\r\n0\r\n\r\n", "\r\n"},
	"chunk extensions":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b \r\nx\r\n000;c\r\n\r\n", "x"},
	"trailers":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n", "\r\n"},
	"chunks and a length":         {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "x"},
	"chunks after an interim one": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 no\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "x"},
	"chunks before HTTP/1.1":      {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r", "\n\r\n"},
}

// TestResponseEndOfEachFraming guards against a response whose end is not found, so that the guards against a second response do not
// apply to its connection. The end must be where net/http finds it, however the response is split into reads.
func TestResponseEndOfEachFraming(t *testing.T) {
	for name, c := range framingCases {
		t.Run(name, func(t *testing.T) {
			text := c.response + c.rest
			if end, known := endByNetHTTP(text); !known || end != len(c.response) {
				t.Fatalf("net/http finds the end at %d, known %v; want %d", end, known, len(c.response))
			}
			for size := 1; size <= len(text); size++ {
				n, complete, err := feedInPieces(text, size)
				if n != len(c.response) || !complete || err != nil {
					t.Fatalf("pieces of %d bytes: end at %d, complete %v, error %v; want %d", size, n, complete, err, len(c.response))
				}
			}
		})
	}
}

// TestResponseWithoutKnownEnd checks that a response whose end cannot be known never counts as complete.
func TestResponseWithoutKnownEnd(t *testing.T) {
	for name, text := range map[string]string{
		"until the close":   "HTTP/1.1 200 OK\r\n\r\nabc",
		"other coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\nabc",
		"two codings":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"coding twice":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"before HTTP/1.1":   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"incomplete chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"no end of trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n",
	} {
		if _, complete, err := feedInPieces(text, len(text)); complete || err != nil {
			t.Errorf("%s: complete %v, error %v; want neither", name, complete, err)
		}
	}
}

// TestMalformedChunksAreInvalid checks that malformed chunks are an error as soon as they can be recognized.
func TestMalformedChunksAreInvalid(t *testing.T) {
	for name, body := range map[string]string{
		"no size":                   "\r\n",
		"no hexadecimal digit":      "g\r\n",
		"sign":                      "+1\r\n",
		"size too large":            "8000000000000000\r\n",
		"line feed alone":           "1\n",
		"carriage return in a size": "1\r1\r\n",
		"long extension":            "1;" + strings.Repeat("x", maxChunkLineBytes),
		"data longer than its size": "1\r\nab",
		"no line end after data":    "1\r\na\n",
		"trailer line feed alone":   "0\r\nA: b\n",
		"long trailer":              "0\r\n" + strings.Repeat("A: b\r\n", maxChunkLineBytes/6+1),
	} {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
		if _, _, err := feedInPieces(text, len(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// endByNetHTTP returns where net/http finds the end of the first final response in a text. known is false if the text has no complete
// and valid response, or one that ends with its connection.
func endByNetHTTP(text string) (end int, known bool) {
	source := strings.NewReader(text)
	in := bufio.NewReader(source)
	for {
		response, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
		if err != nil || response.StatusCode == http.StatusSwitchingProtocols {
			return 0, false
		}
		_, err = io.Copy(io.Discard, response.Body)
		switch {
		case err != nil || response.Body.Close() != nil:
			return 0, false
		case response.StatusCode >= 100 && response.StatusCode < 200:
			continue
		}
		chunked := len(response.TransferEncoding) > 0
		return len(text) - source.Len() - in.Buffered(), chunked || response.ContentLength >= 0
	}
}

// FuzzResponseEnd compares the end of a response with the end that net/http finds.
func FuzzResponseEnd(f *testing.F) {
	for _, c := range framingCases {
		f.Add(c.response + c.rest)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n, complete, err := feedInPieces(text, max(1, len(text)))
		end, known := endByNetHTTP(text)
		if known && complete && err == nil && n != end {
			t.Errorf("end at %d, net/http finds it at %d", n, end)
		}
	})
}

// FuzzResponseFraming checks that the end of a response is found at the same byte, however the response is split into reads, and
// that data after the end is not taken for a part of the response.
func FuzzResponseFraming(f *testing.F) {
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n", byte(5))
	f.Add("HTTP/1.1 503 no\r\ncontent-length:0\r\n\r\n", byte(1))
	f.Add("HTTP/1.1 200 OK\n\nrest", byte(2))
	f.Add("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", byte(3))
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", byte(9))
	f.Fuzz(func(t *testing.T, text string, piece byte) {
		n, complete, err := feedInPieces(text, max(1, len(text)))
		n2, complete2, err2 := feedInPieces(text, int(piece)+1)
		if complete != complete2 || (err == nil) != (err2 == nil) || err == nil && n != n2 {
			t.Errorf("got length %d, complete %v, error %v in one piece, but %d, %v, %v in pieces of %d bytes; want the same",
				n, complete, err, n2, complete2, err2, int(piece)+1)
		}
	})
}

// feedInPieces feeds a text to a responseFraming, size bytes at a time, until the end of the response is found.
func feedInPieces(text string, size int) (n int, complete bool, err error) {
	f := &responseFraming{}
	for p := []byte(text); len(p) > 0 && !complete && err == nil; {
		next := min(size, len(p))
		var taken int
		taken, complete, err = f.feed(p[:next])
		n += taken
		p = p[next:]
	}
	return n, complete, err
}
