package sftpclient

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"gaugerelay/internal/sftpwire"
)

// The codec covers the client's side of draft-ietf-secsh-filexfer-02 (version 3) as far as the gateway uses it. The client of
// github.com/pkg/sftp does not fit: its File.ReadAt answers a short READ by sending a second one, which the scheduler would
// not know of; it sends no extended attributes and therefore no upload key; and it does not report whether a WRITE was
// written to its last byte. TestLibraryClientSendsASecondRead checks the first of these.

// Types of packets.
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

// Bits that say which attributes are present.
const (
	attrSize     = 1
	attrIDs      = 2
	attrMode     = 4
	attrTimes    = 8
	attrExtended = 1 << 31
)

const (
	protocolVersion = 3
	// lengthSize is the size of the length before each packet, which does not count itself.
	lengthSize = 4
	// maxMessageLength bounds what is kept of the message of a STATUS, in bytes.
	maxMessageLength = 4096
	// initialPacketCapacity holds most packets without data.
	initialPacketCapacity = 64
)

var errMalformed = errors.New("sftpclient: malformed packet")

// packet is a packet that is being built. Its methods append a field and return the extended packet.
type packet []byte

// newPacket returns a packet of a type. The field after the type is the id, or the version in an INIT and a VERSION.
func newPacket(packetType byte, id uint32) packet {
	p := append(make(packet, lengthSize, initialPacketCapacity), packetType)
	return p.uint32(id)
}

func (p packet) uint32(v uint32) packet { return binary.BigEndian.AppendUint32(p, v) }
func (p packet) uint64(v uint64) packet { return binary.BigEndian.AppendUint64(p, v) }
func (p packet) string(s string) packet { return append(p.uint32(uint32(len(s))), s...) }

// finish sets the length and returns the bytes of the packet.
func (p packet) finish() []byte {
	binary.BigEndian.PutUint32(p, uint32(len(p)-lengthSize))
	return p
}

// readPacket reads a packet. The body begins after the type.
func readPacket(r io.Reader) (packetType byte, body []byte, err error) {
	var header [lengthSize + 1]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, fmt.Errorf("sftpclient: read packet header: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 1 || length > sftpwire.MaxPacket {
		return 0, nil, fmt.Errorf("%w: %d bytes", errMalformed, length)
	}
	body = make([]byte, length-1)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, fmt.Errorf("sftpclient: read packet body: %w", err)
	}
	return header[lengthSize], body, nil
}

// decoder reads the fields of a body in order. After the first field that does not fit, err is set and all further fields
// are zero.
type decoder struct {
	remaining []byte
	err       error
}

// next returns the next n bytes, or nil if there are fewer.
func (d *decoder) next(n int) []byte {
	if d.err != nil || n < 0 || n > len(d.remaining) {
		d.err = errMalformed
		return nil
	}
	field := d.remaining[:n]
	d.remaining = d.remaining[n:]
	return field
}

func (d *decoder) uint32() uint32 {
	if field := d.next(4); field != nil {
		return binary.BigEndian.Uint32(field)
	}
	return 0
}

func (d *decoder) uint64() uint64 {
	if field := d.next(8); field != nil {
		return binary.BigEndian.Uint64(field)
	}
	return 0
}

// bytes returns a string of the protocol. It is part of the body, not a copy.
func (d *decoder) bytes() []byte { return d.next(int(d.uint32())) }

// attrs returns the attributes of a file. Those that the gateway does not use are skipped.
func (d *decoder) attrs() (attrs sftpwire.Attrs) {
	present := d.uint32()
	if present&attrSize != 0 {
		attrs.Size = d.uint64()
	}
	if present&attrIDs != 0 {
		d.uint64() // the ids of the user and the group
	}
	if present&attrMode != 0 {
		attrs.Mode = d.uint32()
	}
	if present&attrTimes != 0 {
		d.uint32() // the time of the last access
		attrs.Mtime = d.uint32()
	}
	return attrs
}

// decodeReply decodes the response to a command.
func decodeReply(packetType byte, body *decoder) (*sftpwire.Reply, error) {
	reply := &sftpwire.Reply{}
	switch packetType {
	case typeStatus:
		reply.Code = sftpwire.StatusCode(body.uint32())
		if len(body.remaining) > 0 { // some servers omit the message
			message := body.bytes()
			reply.Message = string(message[:min(len(message), maxMessageLength)])
		}
	case typeData:
		reply.Data = body.bytes()
	case typeAttrs:
		reply.Attrs = body.attrs()
	default:
		return nil, errMalformed
	}
	return reply, body.err
}
