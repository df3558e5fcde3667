package discovery

import (
	"errors"
	"net"
	"syscall"

	"gaugerelay/internal/lifecycle"
)

// Reasons for which this package, and not discovery, ends a watch.
var (
	// errWatchIdle reports that discovery did not respond within responseTimeoutMs, or sent neither a complete object nor a
	// heartbeat within idleTimeoutMs.
	errWatchIdle = errors.New("discovery: watch idle past its timeout")
	// errUnexpectedStatus reports a response with a status other than 200.
	errUnexpectedStatus = errors.New("discovery: unexpected status")
	// errNotAnObject reports bytes on a watch that are not part of a complete JSON object.
	errNotAnObject = errors.New("discovery: watch contains bytes that are not part of a complete JSON object")
	// errObjectTooLarge reports an object, or whitespace between objects, that is longer than maxObjectBytes.
	errObjectTooLarge = errors.New("discovery: JSON object, or whitespace between objects, exceeds the size limit")
	// errInvalidMessage reports an object that is not a valid message. Its content is lost, so the list is out of date until
	// discovery has responded to a new request.
	errInvalidMessage = errors.New("discovery: message is not valid JSON, or is a snapshot without an array of servers")
	// errVersionReset reports that discovery has restarted its version numbers, so that a new snapshot is needed.
	errVersionReset = errors.New("discovery: version numbers have restarted")
	// errAddressChanged reports that SwitchAddress is ending the watch.
	errAddressChanged = errors.New("discovery: address of discovery is being changed")
)

// localErrors are errors of a connect that fails because this machine lacks a resource or a permission. They prove nothing
// about the state of discovery.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EINTR, syscall.EACCES, syscall.EPERM,
}

// callFailure classifies the error of a failed call by what it proves about discovery.
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
