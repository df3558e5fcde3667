package discovery

import (
	"bufio"
	"fmt"
	"io"
)

// maxObjectBytes bounds the size of one object of a watch. The complete list of the largest deployment takes about 10 KiB.
const maxObjectBytes = 1 << 20

// objectReader splits the body of a watch into JSON objects and heartbeats. An object may span several lines or share a line
// with others; an empty line between objects is a heartbeat. The reader only finds where objects end: it does not check that
// they are valid JSON, which the decoder does.
type objectReader struct {
	reader      *bufio.Reader
	buffer      []byte // bytes of the current object; reused by each call of next
	afterObject bool   // whether the end of an object has been read, but not yet the end of its line
}

// newObjectReader returns a reader of the body of a watch.
func newObjectReader(body io.Reader) *objectReader {
	return &objectReader{reader: bufio.NewReader(body)}
}

// next returns the next object, or nil for a heartbeat. The object is valid until the next call. next returns only after the
// end of an object, so that an object that arrives byte by byte does not keep a watch alive.
func (r *objectReader) next() ([]byte, error) {
	first, err := r.skipWhitespace()
	if err != nil || first == '\n' {
		return nil, err
	}
	return r.readObject(first)
}

// skipWhitespace reads up to and including the first byte of an object or the newline of an empty line, and returns that
// byte. It skips the newline at the end of a line that contains an object.
func (r *objectReader) skipWhitespace() (byte, error) {
	skipped := 0
	for {
		next, err := r.reader.ReadByte()
		if err != nil {
			return 0, err
		}
		switch next {
		case '\n':
			if !r.afterObject {
				return next, nil
			}
			r.afterObject = false
		case ' ', '\t', '\r':
			if skipped++; skipped > maxObjectBytes {
				return 0, errObjectTooLarge
			}
		case '{':
			r.afterObject = false
			return next, nil
		default:
			return 0, errNotAnObject
		}
	}
}

// readObject reads and returns an object whose first byte has already been read.
func (r *objectReader) readObject(first byte) ([]byte, error) {
	r.buffer = append(r.buffer[:0], first)
	scanner := objectScanner{depth: 1}
	for scanner.depth > 0 {
		next, err := r.reader.ReadByte()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotAnObject, err)
		}
		r.buffer = append(r.buffer, next)
		if len(r.buffer) > maxObjectBytes {
			return nil, errObjectTooLarge
		}
		scanner.scan(next)
	}
	r.afterObject = true
	return r.buffer, nil
}

// objectScanner tracks the nesting depth of a JSON text.
type objectScanner struct {
	depth    int // number of objects and arrays that are open
	inString bool
	escaped  bool // whether the previous byte was a backslash that escapes the next byte of a string
}

// scan updates the state by the next byte of the text.
func (s *objectScanner) scan(next byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped = next == '\\'
		s.inString = next != '"'
	case next == '"':
		s.inString = true
	case next == '{' || next == '[':
		s.depth++
	case next == '}' || next == ']':
		s.depth--
	}
}
