package sftpclient

import (
	"errors"
	"fmt"
	"net"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/permission"
	"gaugerelay/internal/sftpwire"
)

// maxHandleLength is the maximum length of a file handle in bytes, as defined by the protocol.
const maxHandleLength = 256

var errNotAuthorized = errors.New("sftpclient: the attempt is no longer authorized after the OPEN; its command was not sent")

// incompleteWriteError reports that a packet was not written completely. The server cannot have executed it.
type incompleteWriteError struct{ err error }

func (e *incompleteWriteError) Error() string {
	return "sftpclient: packet was not written completely: " + e.err.Error()
}
func (e *incompleteWriteError) Unwrap() error { return e.err }

// executionState says whether a server may have executed a command.
type executionState uint8

const (
	// notExecuted means that the packet of the command was not written completely.
	notExecuted executionState = iota
	// mayHaveExecuted means that the packet was written completely, with or without a response.
	mayHaveExecuted
)

// String returns the name of the state.
func (s executionState) String() string {
	switch s {
	case notExecuted:
		return "not executed"
	case mayHaveExecuted:
		return "may have executed"
	}
	return fmt.Sprintf("executionState(%d)", uint8(s))
}

// executionAfter returns the execution state of a command from the error of the round trip that sent its packet.
func executionAfter(err error) executionState {
	var incomplete *incompleteWriteError
	if errors.As(err, &incomplete) {
		return notExecuted
	}
	return mayHaveExecuted
}

// commandOutcome is the result of a command on a session.
type commandOutcome struct {
	// reply is valid if err is nil.
	reply *sftpwire.Reply
	// handle is the file handle that the OPEN returned, if it is not closed yet; otherwise nil.
	handle []byte
	// execution is the state of the command itself. The OPEN that precedes a READ or WRITE does not count, because it changes
	// nothing on the server.
	execution executionState
	err       error
}

// session is a connection on which the protocol's version has been negotiated. One goroutine uses it at a time.
type session struct {
	net.Conn
	address     string
	clock       clock.Clock
	lastID      uint32  // id of the most recent request
	idleSinceMs float64 // time at which the session became idle; valid only while it is idle
}

// negotiateVersion sends INIT and reads the server's VERSION.
func (s *session) negotiateVersion() error {
	if _, err := s.Write(newPacket(typeInit, protocolVersion).finish()); err != nil {
		return fmt.Errorf("sftpclient: write INIT: %w", err)
	}
	packetType, _, err := readPacket(s)
	if err == nil && packetType != typeVersion {
		err = errMalformed
	}
	return err
}

// newRequest returns a request packet with the next id.
func (s *session) newRequest(packetType byte) packet {
	s.lastID++
	return newPacket(packetType, s.lastID)
}

// roundTrip sends a request and reads its response.
func (s *session) roundTrip(request packet) (packetType byte, body *decoder, err error) {
	if _, err := s.Write(request.finish()); err != nil {
		return 0, nil, &incompleteWriteError{err}
	}
	packetType, content, err := readPacket(s)
	if err != nil {
		return 0, nil, err
	}
	body = &decoder{remaining: content}
	if id := body.uint32(); body.err == nil && id != s.lastID {
		return 0, nil, fmt.Errorf("%w: response has the unexpected id %d", errMalformed, id)
	}
	return packetType, body, body.err
}

// execute sends the command of an attempt. If the command needs an OPEN, the OPEN also carries remainingMs, the time until the
// client's deadline.
func (s *session) execute(attempt lifecycle.Attempt, remainingMs float64) commandOutcome {
	command := attempt.Request.Payload.(*sftpwire.Command)
	if command.Op == sftpwire.OpStat {
		return s.stat(command)
	}
	opened := s.open(command, remainingMs)
	if opened.err != nil || opened.handle == nil || command.Op == sftpwire.OpOpen {
		return opened
	}
	// The round trip of the OPEN took time, so the authorization is checked again before the READ or WRITE is sent.
	if _, denial := attempt.Authorize(s.clock); denial != permission.Allowed {
		return commandOutcome{err: errNotAuthorized}
	}
	return s.transfer(command, opened.handle)
}

// stat sends a STAT and decodes the response.
func (s *session) stat(command *sftpwire.Command) commandOutcome {
	packetType, body, err := s.roundTrip(s.newRequest(typeStat).string(command.Path))
	outcome := commandOutcome{execution: executionAfter(err), err: err}
	if err == nil {
		outcome.reply, outcome.err = decodeReply(packetType, body)
	}
	return outcome
}

// open sends an OPEN. If the server opened the file, the field handle of the outcome holds the file's handle.
func (s *session) open(command *sftpwire.Command, remainingMs float64) commandOutcome {
	packetType, body, err := s.roundTrip(s.openRequest(command, remainingMs))
	outcome := commandOutcome{err: err}
	if command.Op == sftpwire.OpOpen {
		outcome.execution = executionAfter(err)
	}
	if err != nil {
		return outcome
	}
	if packetType != typeHandle {
		outcome.reply, outcome.err = decodeReply(packetType, body)
		if outcome.err == nil && outcome.reply.Code == sftpwire.StatusOK {
			outcome.err = errMalformed // a successful OPEN is answered by HANDLE, not by STATUS
		}
		return outcome
	}
	handle := body.bytes()
	if body.err != nil || len(handle) > maxHandleLength {
		outcome.err = errMalformed
		return outcome
	}
	outcome.reply, outcome.handle = &sftpwire.Reply{}, handle
	return outcome
}

// openRequest returns the OPEN packet of a command.
func (s *session) openRequest(command *sftpwire.Command, remainingMs float64) packet {
	flags := command.Flags
	switch command.Op {
	case sftpwire.OpRead:
		flags = sftpwire.FlagRead
	case sftpwire.OpWrite:
		flags = sftpwire.FlagWrite
	}
	request := s.newRequest(typeOpen).string(command.Path).uint32(flags).uint32(attrExtended)
	if command.UploadKey != "" {
		request = request.uint32(2).string(sftpwire.AttrUploadKey).string(command.UploadKey)
	} else {
		request = request.uint32(1)
	}
	return request.string(sftpwire.AttrTimeLeft).string(fmt.Sprint(remainingMs))
}

// transfer sends a READ or WRITE on an open handle.
func (s *session) transfer(command *sftpwire.Command, handle []byte) commandOutcome {
	var request packet
	if command.Op == sftpwire.OpRead {
		request = s.newRequest(typeRead).string(string(handle)).uint64(command.Offset).uint32(command.Length)
	} else {
		request = s.newRequest(typeWrite).string(string(handle)).uint64(command.Offset).string(string(command.Data))
	}
	packetType, body, err := s.roundTrip(request)
	outcome := commandOutcome{handle: handle, execution: executionAfter(err), err: err}
	if err != nil {
		return outcome
	}
	outcome.reply, outcome.err = decodeReply(packetType, body)
	if outcome.err == nil && packetType == typeData && !isRequestedData(command, outcome.reply) {
		outcome.err = errMalformed
	}
	return outcome
}

// isRequestedData reports whether the command may be answered with the data in the reply: it must be a READ, and the data must
// not be longer than the READ requested.
func isRequestedData(command *sftpwire.Command, reply *sftpwire.Reply) bool {
	return command.Op == sftpwire.OpRead && len(reply.Data) <= int(command.Length)
}

// closeHandle sends a CLOSE and waits for the response. It ignores the status in the response.
func (s *session) closeHandle(handle []byte) error {
	_, _, err := s.roundTrip(s.newRequest(typeClose).string(string(handle)))
	return err
}
