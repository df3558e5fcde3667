package discovery

import (
	"errors"
	"net"
	"syscall"

	"gaugerelay/internal/lifecycle"
)

// The reasons for which this package ends a watch itself.
var (
	// errWatchIdle reports that discovery did not respond within responseTimeoutMs, or sent neither a complete object nor a
	// heartbeat within idleTimeoutMs.
	errWatchIdle = errors.New("discovery: watch idle past its timeout")
	// errUnexpectedStatus reports a response with another status than 200.
	errUnexpectedStatus = errors.New("discovery: unexpected status")
	// errNotAnObject reports bytes on a watch that belong to no JSON object.
	errNotAnObject = errors.New("discovery: not a JSON object")
	// errObjectTooLarge reports an object, or blanks between objects, of more than maxObjectBytes.
	errObjectTooLarge = errors.New("discovery: object too large")
	// errInvalidMessage reports an object that is no message of discovery. Its content is lost, so the list is out of date
	// until the response to a new request.
	errInvalidMessage = errors.New("discovery: invalid message")
	// errVersionReset reports that the version numbers of the source have restarted.
	errVersionReset = errors.New("discovery: versions numbered anew")
	// errAddressChanged reports that SwitchAddress is ending the watch.
	errAddressChanged = errors.New("discovery: address changed")
)

// localErrors are the errors of a connect that fails for lack of a resource or permission on this machine. They prove
// nothing about discovery.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EINTR, syscall.EACCES, syscall.EPERM,
}

// callFailure returns what the failure of a call by an error proves.
func callFailure(err error) lifecycle.CallFailure {
	if errors.Is(err, errWatchIdle) || errors.Is(err, errVersionReset) {
		return lifecycle.CallInconclusive
	}
	var opError *net.OpError
	if !errors.As(err, &opError) || opError.Op != "dial" {
		return lifecycle.CallRejected
	}
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return lifecycle.CallInconclusive
		}
	}
	return lifecycle.CallUnreachable
}
