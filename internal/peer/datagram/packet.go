package datagram

import (
	"errors"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// Packet holds the messages and reports that one gateway sends to another one. The Peer fields of messages and reports are not
// part of the wire format: Decode sets them to From.
type Packet struct {
	// From is the index of the sending gateway.
	From uint16
	// Incarnation identifies the sending process.
	Incarnation uint32
	// SequenceNumber is the position of the datagram among those of the sending process. Encode ignores it.
	SequenceNumber uint64
	// Membership holds membership messages. Decode assigns all updates of a datagram to the first message.
	Membership     []membership.Message
	Quota          []quota.Message
	OutlierReports []outlier.Report
	LatencyReports []peerlatency.Report
}

// Errors of Decode.
var (
	// ErrFormat reports that the length or the magic of a datagram is wrong.
	ErrFormat = errors.New("datagram: too short or too long, or no datagram of a gateway")
	// ErrVersion reports a datagram of another version of the format. Its checksum has not been verified.
	ErrVersion = errors.New("datagram: of another version")
	// ErrChecksum reports a damaged datagram or one that was authenticated with another key.
	ErrChecksum = errors.New("datagram: spoilt, or not with this fleet's key")
	// ErrItem reports an item that is truncated or invalid, or updates without a membership message.
	ErrItem = errors.New("datagram: an item is truncated or invalid")
)
