package httpserver

import "bytes"

// maxHeadLines is the number of lines that a request's head may have: the request line, the fields and the empty line. net/http stores
// each field in memory of some hundred bytes, so that very many short fields would take many times the bytes of the head.
const maxHeadLines = 128

// headScanner finds the end of a request's head in the bytes of a connection, and the fields of the head that determine the length of the
// body. net/http drops some of them: Transfer-Encoding before HTTP/1.1, and Content-Length beside Transfer-Encoding. The zero value is
// ready for the first byte of a head.
type headScanner struct {
	lines     int // complete lines so far
	lineBytes int // bytes of the current line, without a carriage return at its start
	name      fieldName

	hasContentLength    bool
	hasTransferEncoding bool
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
		s.lineBytes, s.name = 0, fieldName{}
	}
	return headBytes, false
}

// countLineBytes counts bytes of the current line, which contain no line feed. A line of a single carriage return counts as empty.
func (s *headScanner) countLineBytes(data []byte) {
	if s.lineBytes == 0 {
		data = bytes.TrimPrefix(data, []byte("\r"))
	}
	s.lineBytes += len(data)
	if s.lines > 0 && s.name.add(data) { // line 0 is the request line
		s.recordField()
	}
}

// recordField records the field whose name has just ended.
func (s *headScanner) recordField() {
	switch string(s.name.text[:s.name.length]) {
	case contentLengthName:
		s.hasContentLength = true
	case transferEncodingName:
		s.hasTransferEncoding = true
	}
}

// hasAmbiguousLength reports whether readers of the head may disagree about the end of the request's body, so that one of them would take
// a part of the body for another request: the head has both fields (RFC 9112, 6.1), or has Transfer-Encoding although its version does not
// know that field. isHTTP11 tells whether the version is HTTP/1.1 or later.
func (s *headScanner) hasAmbiguousLength(isHTTP11 bool) bool {
	return s.hasTransferEncoding && (s.hasContentLength || !isHTTP11)
}

// tooManyLines reports whether the head has more lines than are allowed.
func (s *headScanner) tooManyLines() bool { return s.lines > maxHeadLines }

// Names in the form that fieldName has.
const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
)

// fieldName collects the name at the start of a line, in lower case. It ignores white space: a reader may accept it before the colon, or
// take a line that begins with it for a field instead of the continuation of the last one. The zero value is ready for the first byte of a
// line.
type fieldName struct {
	text   [len(transferEncodingName)]byte
	length int
	ended  bool // whether the colon has been read, or the name is longer than any that matters
}

// add processes the next bytes of the line. It reports whether the name ends in them.
func (n *fieldName) add(data []byte) (complete bool) {
	for _, char := range data {
		switch {
		case n.ended:
			return false
		case char == ':':
			n.ended = true
			return true
		case char == ' ' || char == '\t':
		case n.length == len(n.text):
			n.ended = true
		default:
			if 'A' <= char && char <= 'Z' {
				char += 'a' - 'A'
			}
			n.text[n.length] = char
			n.length++
		}
	}
	return false
}
