package sftpwire

import "fmt"

// Op is the operation of a Command.
type Op uint8

// The operations.
const (
	// OpOpen checks, creates or truncates a file. Its handle is closed again at once.
	OpOpen Op = iota
	// OpRead reads a range of a file.
	OpRead
	// OpWrite writes a range of a file.
	OpWrite
	// OpStat returns the attributes of a file.
	OpStat
)

// String returns the name of the operation in the protocol's draft.
func (o Op) String() string {
	switch o {
	case OpOpen:
		return "OPEN"
	case OpRead:
		return "READ"
	case OpWrite:
		return "WRITE"
	case OpStat:
		return "STAT"
	}
	return fmt.Sprintf("Op(%d)", uint8(o))
}

// Command is the payload of a request that is sent to the SFTP port of a storage server. A Command names its file by path:
// OpRead and OpWrite open a handle of their own.
type Command struct {
	Op Op
	// Path is absolute and clean.
	Path string
	// Flags are the flags of an OpOpen.
	Flags uint32
	// Offset is where the range of an OpRead or OpWrite begins, in bytes.
	Offset uint64
	// Length is the number of bytes of an OpRead.
	Length uint32
	// Data holds the bytes of an OpWrite.
	Data []byte
	// UploadKey is an idempotency key: the servers of one shard drop a repetition of a command with the same key. It is
	// empty for commands that change nothing.
	UploadKey string
}

// Reply is a server's response to a Command.
type Reply struct {
	// Code is StatusOK for a response that has no status code of its own.
	Code StatusCode
	// Message is the text of a STATUS packet.
	Message string
	// Data holds the bytes that an OpRead returned.
	Data []byte
	// Attrs are the attributes that an OpStat returned.
	Attrs Attrs
}

// Size returns the number of bytes that the reply holds.
func (r *Reply) Size() int { return len(r.Data) + len(r.Message) }

// Attrs are the attributes of a file.
type Attrs struct {
	// Size is in bytes.
	Size uint64
	// Mode holds the permission bits and the type of the file, as in POSIX.
	Mode uint32
	// Mtime is the time of the last modification, in seconds since 1970.
	Mtime uint32
}
