package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"syscall"
	"testing"

	"gaugerelay/internal/lifecycle"
)

// TestCallFailure checks the classification of errors by what they prove about discovery.
func TestCallFailure(t *testing.T) {
	dialError := func(errno syscall.Errno) error {
		return &url.Error{Op: "Get", Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}}
	}
	for _, test := range []struct {
		name string
		err  error
		want lifecycle.CallFailure
	}{
		{"connection refused", dialError(syscall.ECONNREFUSED), lifecycle.CallUnreachable},
		{"no descriptors left", dialError(syscall.EMFILE), lifecycle.CallInconclusive},
		{"no local address left", dialError(syscall.EADDRNOTAVAIL), lifecycle.CallInconclusive},
		{"read error", &net.OpError{Op: "read", Err: syscall.ECONNRESET}, lifecycle.CallRejected},
		{"error status", fmt.Errorf("%w: %d", errUnexpectedStatus, 503), lifecycle.CallRejected},
		{"end of the response", fmt.Errorf("discovery: watch ended: %w", io.EOF), lifecycle.CallRejected},
		{"idle", fmt.Errorf("call: %w", errWatchIdle), lifecycle.CallInconclusive},
		{"version reset", errVersionReset, lifecycle.CallInconclusive},
		{"unknown", errors.New("unknown"), lifecycle.CallRejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := callFailure(test.err); got != test.want {
				t.Errorf("the call failure is %v, want %v", got, test.want)
			}
		})
	}
}
