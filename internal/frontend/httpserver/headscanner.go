package httpserver

import "bytes"

// maxHeadLines is the number of lines that a request's head may have: the request line, the fields and the empty line. net/http stores
// each field in memory of some hundred bytes, so that very many short fields would take many times the bytes of the head.
const maxHeadLines = 128

// headScanner finds the end of a request's head in the bytes of a connection. The zero value is ready for the first byte of a head.
type headScanner struct {
	lines     int // complete lines so far
	lineBytes int // bytes of the current line, without a carriage return at its start
}

// scan processes the next bytes of a connection. It returns how many of them belong to the head, and whether the head is complete.
func (s *headScanner) scan(data []byte) (headBytes int, complete bool) {
	for headBytes < len(data) {
		rest := data[headBytes:]
		lineFeed := bytes.IndexByte(rest, '\n')
		if lineFeed < 0 {
			s.countLineBytes(rest)
			return len(data), false
		}
		s.countLineBytes(rest[:lineFeed])
		headBytes += lineFeed + 1
		s.lines++
		if s.lineBytes == 0 {
			return headBytes, true
		}
		s.lineBytes = 0
	}
	return headBytes, false
}

// countLineBytes counts bytes of the current line, which contain no line feed. A line of a single carriage return counts as empty.
func (s *headScanner) countLineBytes(data []byte) {
	if s.lineBytes == 0 {
		data = bytes.TrimPrefix(data, []byte("\r"))
	}
	s.lineBytes += len(data)
}

// tooManyLines reports whether the head has more lines than are allowed.
func (s *headScanner) tooManyLines() bool { return s.lines > maxHeadLines }
