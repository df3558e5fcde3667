package sftpclient

import (
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
)

// Bit fields of a step of FuzzSession: the response to the OPEN, the response to the command, and whether the command is a WRITE.
const (
	openShift   = 4
	openMask    = 7
	commandMask = 15
	writeBit    = 128
)

// maxFuzzSteps bounds the steps that are taken from one input.
const maxFuzzSteps = 12

// statusAfterResponse is the status of an attempt, by the response to its command or, if the OPEN failed, to the OPEN. After a
// disconnect during the OPEN, FuzzSession expects StatusOverloaded instead, because the command was not sent.
var statusAfterResponse = [responseKinds]scheduler.Status{
	respondOK:          scheduler.StatusOK,
	respondFailure:     scheduler.StatusError,
	respondUnprocessed: scheduler.StatusOverloaded,
	disconnect:         scheduler.StatusConnectionReset,
	respondUnknownType: scheduler.StatusError,
	respondWrongID:     scheduler.StatusError,
	respondOversized:   scheduler.StatusError,
}

// FuzzSession compares the client with a model of the session while a server responds at random. The model requires that the
// packet of the command is sent at most once, and that the attempt is reported as not executed unless that packet was written
// completely.
func FuzzSession(f *testing.F) {
	const open = 1 << openShift
	f.Add([]byte{respondOK, respondOK, disconnect, open + respondOK, respondOK})
	f.Add([]byte{open * disconnect, writeBit + respondOK, disconnect, writeBit + disconnect, respondOK})
	f.Add([]byte{open * respondUnknownType, respondUnknownType, respondWrongID, open * respondOversized, respondOversized,
		writeBit + respondOK})
	f.Add([]byte{open * respondFailure, respondFailure, open * respondUnprocessed, respondUnprocessed, respondOK,
		writeBit + respondUnprocessed})
	f.Fuzz(func(t *testing.T, steps []byte) {
		server, now := newScriptedServer(t), clock.NewManual(startMs)
		// A session returns to the pool only after the CLOSE of its handle, but the result of the attempt is reported before the
		// CLOSE. The next attempt may therefore need another session. The limit of 100 sessions is high enough for every input.
		client, results := newTestClient(now, server.address, 100)
		defer client.Close()
		commands := int32(0)
		for i, step := range steps[:min(len(steps), maxFuzzSteps)] {
			onOpen, onCommand := step>>openShift&openMask%responseKinds, step&commandMask%responseKinds
			command := &sftpwire.Command{Op: sftpwire.OpRead, Path: "/a", Length: 10}
			if step >= writeBit {
				command = &sftpwire.Command{Op: sftpwire.OpWrite, Path: "/a", Data: []byte("data"), UploadKey: "k"}
			}
			server.script <- onOpen
			want := statusAfterResponse[onOpen]
			switch onOpen {
			case respondOK:
				server.script <- onCommand
				want = statusAfterResponse[onCommand]
				commands++
			case disconnect:
				want = scheduler.StatusOverloaded // the command itself was not sent
			}
			client.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: command}, Server: &lifecycle.Server{},
				DeadlineMs: now.NowMs() + 1000})
			if result := <-results; result.Status != want || server.commands.Load() != commands {
				t.Fatalf("attempt %d (response %d to the OPEN, %d to the command): got status %d, want %d; server got %d commands, want %d",
					i, onOpen, onCommand, result.Status, want, server.commands.Load(), commands)
			}
		}
	})
}

// FuzzReply checks that the decoder either rejects a response or returns no more bytes than the response has.
func FuzzReply(f *testing.F) {
	f.Add(byte(typeStatus), []byte{0, 0, 0, 2, 0, 0, 0, 1, 'x'})
	f.Add(byte(typeAttrs), []byte{0, 0, 0, 15, 0, 0, 0, 0, 0, 0, 0, 9})
	f.Add(byte(typeData), []byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, packetType byte, body []byte) {
		reply, err := decodeReply(packetType, &decoder{remaining: body})
		if err == nil && len(reply.Data)+len(reply.Message) > len(body) {
			t.Errorf("decoded %+v from a body of %d bytes, want no more data than the body has", reply, len(body))
		}
	})
}
