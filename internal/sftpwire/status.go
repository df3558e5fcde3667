package sftpwire

import "fmt"

// StatusCode is the code of a STATUS packet. Servers may send codes other than the constants below.
type StatusCode uint32

// The status codes of version 3 that the gateway sends or interprets.
const (
	StatusOK               StatusCode = 0
	StatusEOF              StatusCode = 1
	StatusNoSuchFile       StatusCode = 2
	StatusPermissionDenied StatusCode = 3
	StatusFailure          StatusCode = 4
	StatusBadMessage       StatusCode = 5
	StatusUnsupported      StatusCode = 8
)

// UnprocessedPrefix begins the message of a STATUS with StatusFailure if the server rejected the command without executing it.
// SFTP version 3 has no status code for this case.
const UnprocessedPrefix = "unprocessed"

// String returns the name of the code in the protocol's draft, or its number if it is not one of the constants.
func (c StatusCode) String() string {
	switch c {
	case StatusOK:
		return "SSH_FX_OK"
	case StatusEOF:
		return "SSH_FX_EOF"
	case StatusNoSuchFile:
		return "SSH_FX_NO_SUCH_FILE"
	case StatusPermissionDenied:
		return "SSH_FX_PERMISSION_DENIED"
	case StatusFailure:
		return "SSH_FX_FAILURE"
	case StatusBadMessage:
		return "SSH_FX_BAD_MESSAGE"
	case StatusUnsupported:
		return "SSH_FX_OP_UNSUPPORTED"
	}
	return fmt.Sprintf("StatusCode(%d)", uint32(c))
}
