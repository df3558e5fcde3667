package sftpserver

import (
	"errors"
	"fmt"
	"io"

	"github.com/pkg/sftp"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/sftpwire"
)

// Errors that are sent to clients. The library sends the text as the message of a STATUS and derives the status code from the
// wrapped error.
var (
	errNotSupported    = fmt.Errorf("not served here: %w", sftp.ErrSSHFxOpUnsupported)
	errAppending       = fmt.Errorf("appending: %w", sftp.ErrSSHFxOpUnsupported)
	errMayHaveExecuted = fmt.Errorf("failed, it may have taken effect: %w", sftp.ErrSSHFxFailure)
	errBadPath         = fmt.Errorf("path: %w", sftp.ErrSSHFxBadMessage)
	errNoRoot          = fmt.Errorf("under no root: %w", sftp.ErrSSHFxNoSuchFile)
	errBadRange        = fmt.Errorf("over 64 KiB, or a bad offset: %w", sftp.ErrSSHFxBadMessage)
	errNotReadable     = fmt.Errorf("not open for reading: %w", sftp.ErrSSHFxPermissionDenied)
	errNotWritable     = fmt.Errorf("not open for writing: %w", sftp.ErrSSHFxPermissionDenied)
)

// rejectedError is the error of a command that was rejected, had no effect and may be retried after the delay.
type rejectedError struct{ retryAfterMs float64 }

// Error implements error.
func (e rejectedError) Error() string {
	return fmt.Sprintf("busy, nothing was done, retry after %.0f ms: %v", max(1, e.retryAfterMs), sftp.ErrSSHFxFailure)
}

// Unwrap returns the error from which the library derives the status code.
func (rejectedError) Unwrap() error { return sftp.ErrSSHFxFailure }

// hadNoEffect reports whether a command that returned err was not executed, because it was rejected or invalid.
func hadNoEffect(err error) bool {
	var rejected rejectedError
	return errors.As(err, &rejected) || errors.Is(err, errBadPath) || errors.Is(err, errNoRoot) || errors.Is(err, errBadRange)
}

// replyFromResponse returns the storage server's reply that a response contains, and the error to send to the client or nil.
func replyFromResponse(response lifecycle.Response) (*sftpwire.Reply, error) {
	switch response.Kind {
	case lifecycle.Rejected:
		return nil, rejectedError{response.RetryAfterMs}
	case lifecycle.Served:
		reply := response.Body.(*sftpwire.Reply)
		return reply, errorFromStatus(reply.Code)
	}
	return nil, errMayHaveExecuted
}

// errorFromStatus returns the error that the library sends as the given status code, or nil for StatusOK. Codes that the gateway
// does not pass on to clients become SSH_FX_FAILURE.
func errorFromStatus(code sftpwire.StatusCode) error {
	switch code {
	case sftpwire.StatusOK:
		return nil
	case sftpwire.StatusEOF:
		return io.EOF
	case sftpwire.StatusNoSuchFile:
		return sftp.ErrSSHFxNoSuchFile
	case sftpwire.StatusUnsupported:
		return sftp.ErrSSHFxOpUnsupported
	case sftpwire.StatusPermissionDenied:
		return sftp.ErrSSHFxPermissionDenied
	}
	return sftp.ErrSSHFxFailure
}
