package httpclient

import "testing"

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
