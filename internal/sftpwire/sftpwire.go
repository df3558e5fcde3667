// Package sftpwire defines what the SFTP frontend and the SFTP upstream share: commands, replies, and the constants of SFTP
// version 3 (draft-ietf-secsh-filexfer-02). The frontend and the upstream do not import each other.
//
// The package has no state and starts no goroutine.
package sftpwire

// Packet limits, in bytes.
const (
	// MaxData bounds the data of a READ or a WRITE.
	MaxData = 64 << 10
	// MaxPacket bounds a whole packet, without its four-byte length field.
	MaxPacket = MaxData + 4<<10
)

// Flags of an OPEN, which are the bits of Command.Flags.
const (
	FlagRead      = 1
	FlagWrite     = 2
	FlagCreate    = 8
	FlagTruncate  = 16
	FlagExclusive = 32
)

// Names of the extended attributes that an OPEN carries to a storage server.
const (
	// AttrUploadKey names the attribute that holds Command.UploadKey.
	AttrUploadKey = "upload-key@gaugerelay"
	// AttrTimeLeft names the attribute that holds the remaining time, in milliseconds, as a decimal number.
	AttrTimeLeft = "time-left-ms@gaugerelay"
)
