// Package sftpwire defines what the frontend and the upstream for file commands share: commands, replies, and the constants
// of SFTP version 3. It has no state and starts no goroutine; neither side knows the other.
package sftpwire

// MaxData bounds the data of a READ or WRITE, MaxPacket a packet with its headers. Both are in bytes.
const (
	MaxData   = 64 << 10
	MaxPacket = MaxData + 4<<10
)

// The status codes.
const (
	StatusOK               = 0
	StatusEOF              = 1
	StatusNoSuchFile       = 2
	StatusPermissionDenied = 3
	StatusFailure          = 4
	StatusBadMessage       = 5
	StatusUnsupported      = 8
)

// The flags of an OPEN.
const (
	FlagRead      = 1
	FlagWrite     = 2
	FlagCreate    = 8
	FlagTruncate  = 16
	FlagExclusive = 32
)

// AttrUploadKey and TimeLeft name the extended attributes that an OPEN carries.
const (
	AttrUploadKey = "upload-key@gaugerelay"
	AttrTimeLeft  = "time-left-ms@gaugerelay"
)

// UnprocessedPrefix is the prefix of the message of an SSH_FX_FAILURE by which a server rejects a command that it has not
// executed. Version 3 has no status code for that.
const UnprocessedPrefix = "unprocessed"

// Op is the operation of a command.
type Op uint8

// The operations. Open checks, creates or truncates a file; the others open the file by themselves.
const (
	OpOpen Op = iota
	OpRead
	OpWrite
	OpStat
)

// Command is the payload of a request that is sent to the file port of a storage server.
type Command struct {
	Op        Op
	Path      string
	Flags     uint32 // of an Open
	Offset    uint64
	Length    uint32 // of a Read
	Data      []byte // of a Write
	UploadKey string // upload key: servers of one cell drop a repeat that carries it
}

// Reply is a server's response to a command.
type Reply struct {
	Code    uint32
	Message string
	Data    []byte
	Attrs   Attrs
}

// Size returns the number of bytes that the reply holds.
func (r *Reply) Size() int { return len(r.Data) + len(r.Message) }

// Attrs are the file attributes in the reply to a Stat.
type Attrs struct {
	Size  uint64
	Mode  uint32
	Mtime uint32
}
