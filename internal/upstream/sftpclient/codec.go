package sftpclient

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"gaugerelay/internal/sftpwire"
)

// The codec implements the part of the client's side of draft-ietf-secsh-filexfer-02 (version 3) that the gateway uses. The
// client of github.com/pkg/sftp cannot be used, for three reasons. Its File.ReadAt sends a second READ after a short one, and
// the scheduler would not know of that request (see TestLibraryClientSendsASecondRead). It sends no extended attributes and
// therefore no upload key. It does not report whether a WRITE was written completely.

// Packet types.
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

// Flags of a file's attributes: each bit says that the attribute is present.
const (
	attrSize     = 1
	attrIDs      = 2
	attrMode     = 4
	attrTimes    = 8
	attrExtended = 1 << 31
)

const (
	protocolVersion = 3
	// lengthSize is the size, in bytes, of the length field before each packet. The length does not include the field itself.
	lengthSize = 4
	// maxMessageLength is the maximum number of bytes that are kept of the message in a STATUS.
	maxMessageLength = 4096
	// initialPacketCapacity is enough, in bytes, for most packets without data.
	initialPacketCapacity = 64
)

var errMalformed = errors.New("sftpclient: malformed packet")

// packet is a packet under construction. The methods uint32, uint64 and string append a field and return the
// extended packet.
type packet []byte

// newPacket returns a packet of the given type. id is the request id; in INIT and VERSION it is the protocol version.
func newPacket(packetType byte, id uint32) packet {
	p := append(make(packet, lengthSize, initialPacketCapacity), packetType)
	return p.uint32(id)
}

func (p packet) uint32(v uint32) packet { return binary.BigEndian.AppendUint32(p, v) }
func (p packet) uint64(v uint64) packet { return binary.BigEndian.AppendUint64(p, v) }
func (p packet) string(s string) packet { return append(p.uint32(uint32(len(s))), s...) }

// finish sets the length field and returns the bytes of the packet.
func (p packet) finish() []byte {
	binary.BigEndian.PutUint32(p, uint32(len(p)-lengthSize))
	return p
}

// readPacket reads a packet. The returned body begins after the packet type.
func readPacket(r io.Reader) (packetType byte, body []byte, err error) {
	var header [lengthSize + 1]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, fmt.Errorf("sftpclient: read packet header: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 1 || length > sftpwire.MaxPacket {
		return 0, nil, fmt.Errorf("%w: length of %d bytes is out of range", errMalformed, length)
	}
	body = make([]byte, length-1)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, fmt.Errorf("sftpclient: read packet body: %w", err)
	}
	return header[lengthSize], body, nil
}

// decoder reads the fields of a packet body in order. If a field extends past the end of the body, err is set, and this field
// and all further ones are zero.
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

// bytes reads a string, which is a length and that many bytes. The result shares memory with the body.
func (d *decoder) bytes() []byte { return d.next(int(d.uint32())) }

// attrs reads the attributes of a file. Attributes that the gateway does not use are skipped.
func (d *decoder) attrs() (attrs sftpwire.Attrs) {
	present := d.uint32()
	if present&attrSize != 0 {
		attrs.Size = d.uint64()
	}
	if present&attrIDs != 0 {
		d.uint64() // user id and group id
	}
	if present&attrMode != 0 {
		attrs.Mode = d.uint32()
	}
	if present&attrTimes != 0 {
		d.uint32() // time of the last access
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
		if len(body.remaining) > 0 { // some servers send the code only
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
