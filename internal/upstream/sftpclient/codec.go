package sftpclient

import (
	"encoding/binary"
	"errors"
	"fmt"
	"gaugerelay/internal/sftpwire"
	"io"
)

// The codec covers the client's side of draft-ietf-secsh-filexfer-02 (version 3) as far as the gateway issues
// it. github.com/pkg/sftp's client was tried first; it cannot be used here: File.ReadAt answers a short READ
// by sending a second one (readChunkAt in its client.go), an attempt that the module would not know of; it
// sends no extended attributes, so no upload key; and it does not tell how much of a WRITE went out.
// TestLibraryClientSendsASecondRead keeps the first of these in sight.

// The types of packet.
const (
	typeInit    = 1
	typeVersion = 2
	typeOpen    = 3
	typeClose   = 4
	typeRead    = 5
	typeWrite   = 6
	typeStat    = 17
	typeStatus  = 101
	typeHandle  = 102
	typeData    = 103
	typeAttrs   = 105
)

const (
	attrSize      = 1
	attrIDs       = 2
	attrMode      = 4
	attrTimes     = 8
	attrExtended  = 1 << 31
	version       = 3
	maxNameLength = 4096
)

// packet builds what is sent; the first four bytes are its length.
type packet []byte

func newPacket(typ byte, id uint32) packet {
	return binary.BigEndian.AppendUint32(append(make(packet, 4, 64), typ), id)
}

func (p packet) u32(v uint32) packet { return binary.BigEndian.AppendUint32(p, v) }
func (p packet) u64(v uint64) packet { return binary.BigEndian.AppendUint64(p, v) }
func (p packet) text(s string) packet {
	return append(p.u32(uint32(len(s))), s...)
}

func (p packet) done() []byte {
	binary.BigEndian.PutUint32(p, uint32(len(p)-4))
	return p
}

var errMalformed = errors.New("malformed packet")

// readPacket reads one packet, its length and type off.
func readPacket(r io.Reader) (typ byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 1 || n > sftpwire.MaxPacket {
		return 0, nil, fmt.Errorf("%w: %d bytes", errMalformed, n)
	}
	body = make([]byte, n-1)
	_, err = io.ReadFull(r, body)
	return head[4], body, err
}

// fields is a cursor over a body; the first bad value is kept in err.
type fields struct {
	b   []byte
	err error
}

func (f *fields) take(n int) []byte {
	if f.err != nil || n < 0 || n > len(f.b) {
		f.err = errMalformed
		return nil
	}
	out := f.b[:n]
	f.b = f.b[n:]
	return out
}

func (f *fields) u32() uint32 {
	if b := f.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if b := f.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (f *fields) bytes() []byte { return f.take(int(f.u32())) }

func (f *fields) attrs() (a sftpwire.Attrs) {
	flags := f.u32()
	if flags&attrSize != 0 {
		a.Size = f.u64()
	}
	if flags&attrIDs != 0 {
		f.u64()
	}
	if flags&attrMode != 0 {
		a.Mode = f.u32()
	}
	if flags&attrTimes != 0 {
		f.u32()
		a.Mtime = f.u32()
	}
	return a
}
