package sftpwire

import "fmt"

// Op is the operation of a Command.
type Op uint8

// Operations on files.
const (
	// OpOpen opens a file to check, create or truncate it. The handle is closed immediately.
	OpOpen Op = iota
	// OpRead reads a range of a file.
	OpRead
	// OpWrite writes a range of a file.
	OpWrite
	// OpStat returns the attributes of a file.
	OpStat
)

// String returns the name of the operation's packet type in the protocol's draft.
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

// Command is the payload of a request that is sent to the SFTP port of a storage server. A Command names its file by path, not by
// handle: OpRead and OpWrite open and close the file themselves.
type Command struct {
	Op Op
	// Path is absolute and normalized.
	Path string
	// Flags are the flags of an OpOpen.
	Flags uint32
	// Offset is the start of the range of an OpRead or OpWrite, in bytes.
	Offset uint64
	// Length is the number of bytes that an OpRead requests.
	Length uint32
	// Data holds the bytes that an OpWrite writes.
	Data []byte
	// UploadKey is an idempotency key: the servers of one shard do not execute a command whose key they have seen before. It is
	// empty for commands that change nothing.
	UploadKey string
}

// Reply is a server's response to a Command.
type Reply struct {
	// Code is the status code of a STATUS packet. For a response of any other packet type, Code is StatusOK.
	Code StatusCode
	// Message is the error message of a STATUS packet.
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
	// Size is the size of the file in bytes.
	Size uint64
	// Mode holds the permission bits and the type of the file, as in POSIX.
	Mode uint32
	// Mtime is the time of the last modification, in seconds since the start of 1970 UTC.
	Mtime uint32
}
