package discovery

import (
	"bufio"
	"fmt"
	"io"
)

// maxObjectBytes bounds one object of a watch. The full list of the largest deployment takes some ten KiB.
const maxObjectBytes = 1 << 20

// objectReader splits the body of a watch into JSON objects, whose layout is free, and the empty lines between them, which
// are heartbeats. It finds the ends of objects only; whether an object is valid JSON is left to its decoder.
type objectReader struct {
	reader      *bufio.Reader
	buffer      []byte // the object, reused by each call of next
	afterObject bool   // an object has ended and its line has not
}

// newObjectReader returns a reader of the body of a watch.
func newObjectReader(body io.Reader) *objectReader {
	return &objectReader{reader: bufio.NewReader(body)}
}

// next returns the next object, which is valid until the next call, or nil for a heartbeat. An object is read to its end
// before it is returned: one that arrives byte by byte does not keep a watch alive.
func (r *objectReader) next() ([]byte, error) {
	first, err := r.skipBlanks()
	if err != nil || first == '\n' {
		return nil, err
	}
	return r.readObject(first)
}

// skipBlanks reads up to the first byte of an object, or the end of an empty line, and returns that byte. The end of an
// object's own line is skipped.
func (r *objectReader) skipBlanks() (byte, error) {
	blanks := 0
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
			if blanks++; blanks > maxObjectBytes {
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

// readObject reads the rest of an object whose first byte is given.
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

// objectScanner follows the nesting of a JSON text.
type objectScanner struct {
	depth    int // open objects and arrays
	inString bool
	escaped  bool // the last byte was a backslash in a string
}

// scan takes the next byte.
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
