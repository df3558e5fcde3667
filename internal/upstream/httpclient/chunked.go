package httpclient

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// maxChunkLineBytes bounds the size of a chunk-size line and of the trailer section. It is the limit of http.Transport.
const maxChunkLineBytes = 4096

var crlf = []byte("\r\n")

// chunkedState is the part of a chunked body that is expected next.
type chunkedState uint8

const (
	chunkSizeLine chunkedState = iota
	chunkData
	chunkDataEnd
	chunkTrailer
)

// chunkedBody finds the end of a body in the chunked transfer coding (RFC 9112, section 7.1). The zero value is ready for the first
// byte. It rejects bodies that http.Transport rejects, and trailers with a line feed that no carriage return precedes.
type chunkedBody struct {
	state    chunkedState
	buffered []byte // received bytes of the current line, of the end of the data, or of the trailer section
	dataLeft uint64 // bytes of the current chunk's data still to be received
}

// feed takes the next bytes of the body. It returns how many of them belong to the body, and whether they complete it. The error is
// errInvalidResponse.
func (b *chunkedBody) feed(p []byte) (consumed int, complete bool, err error) {
	for consumed < len(p) {
		if b.state == chunkData {
			n := int(min(b.dataLeft, uint64(len(p)-consumed)))
			consumed += n
			if b.dataLeft -= uint64(n); b.dataLeft == 0 {
				b.state = chunkDataEnd
			}
			continue
		}
		b.buffered = append(b.buffered, p[consumed])
		consumed++
		if complete, err = b.advance(); complete || err != nil {
			return consumed, complete, err
		}
	}
	return consumed, false, nil
}

// advance processes the byte that was buffered last. It returns whether the body is complete.
func (b *chunkedBody) advance() (complete bool, err error) {
	if len(b.buffered) > maxChunkLineBytes {
		return false, errInvalidResponse
	}
	switch b.state {
	case chunkSizeLine:
		return false, b.advanceSizeLine()
	case chunkDataEnd:
		return false, b.advanceDataEnd()
	default:
		return b.advanceTrailer()
	}
}

// advanceSizeLine evaluates a chunk-size line once it is complete.
func (b *chunkedBody) advanceSizeLine() error {
	if b.buffered[len(b.buffered)-1] != '\n' {
		return nil
	}
	line, ok := bytes.CutSuffix(b.buffered, crlf)
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return errInvalidResponse
	}
	size, err := parseChunkSize(string(line))
	if err != nil {
		return err
	}
	b.buffered, b.dataLeft = b.buffered[:0], size
	if size == 0 {
		b.state = chunkTrailer
	} else {
		b.state = chunkData
	}
	return nil
}

// parseChunkSize returns the size in a chunk-size line without its end. Extensions are ignored.
func parseChunkSize(line string) (uint64, error) {
	digits, _, _ := strings.Cut(strings.TrimRight(line, " \t"), ";")
	size, err := strconv.ParseUint(digits, 16, 64)
	if err != nil || size > math.MaxInt64 {
		return 0, errInvalidResponse
	}
	return size, nil
}

// advanceDataEnd checks the line end that follows the data of a chunk.
func (b *chunkedBody) advanceDataEnd() error {
	if !bytes.HasPrefix(crlf, b.buffered) {
		return errInvalidResponse
	}
	if len(b.buffered) == len(crlf) {
		b.buffered, b.state = b.buffered[:0], chunkSizeLine
	}
	return nil
}

// advanceTrailer reports whether the trailer section has ended. It ends with an empty line.
func (b *chunkedBody) advanceTrailer() (complete bool, err error) {
	last := len(b.buffered) - 1
	if b.buffered[last] != '\n' {
		return false, nil
	}
	if last == 0 || b.buffered[last-1] != '\r' {
		return false, errInvalidResponse
	}
	return len(b.buffered) == len(crlf) || bytes.HasSuffix(b.buffered, headTerminator), nil
}
