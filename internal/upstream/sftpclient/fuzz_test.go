package sftpclient

import (
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
)

// Parts of a step of FuzzSession: which response the OPEN gets, which one the command gets, and whether it is a WRITE.
const (
	openShift   = 4
	openMask    = 7
	commandMask = 15
	writeBit    = 128
)

// maxFuzzSteps bounds the steps of one input.
const maxFuzzSteps = 12

// statusOf is the status of an attempt whose command gets the response.
var statusOf = [responseKinds]scheduler.Status{
	respondOK:          scheduler.StatusOK,
	respondFailure:     scheduler.StatusError,
	respondUnprocessed: scheduler.StatusOverloaded,
	disconnect:         scheduler.StatusConnectionReset,
	respondUnknownType: scheduler.StatusError,
	respondWrongID:     scheduler.StatusError,
	respondOversized:   scheduler.StatusError,
}

// FuzzSession checks random responses of a server against a model of the session: the packet of the command is sent at most
// once, and the attempt ends as not executed unless that packet was written to its last byte.
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
		// A session returns to the pool only when its handle is closed, after the result: there must be enough of them.
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
			want := statusOf[onOpen]
			switch onOpen {
			case respondOK:
				server.script <- onCommand
				want = statusOf[onCommand]
				commands++
			case disconnect:
				want = scheduler.StatusOverloaded // the command itself is never sent
			}
			client.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: command}, Server: &lifecycle.Server{},
				DeadlineMs: now.NowMs() + 1000})
			if result := <-results; result.Status != want || server.commands.Load() != commands {
				t.Fatalf("attempt %d (%d, %d): status %d, want %d; %d commands, want %d", i, onOpen, onCommand, result.Status,
					want, server.commands.Load(), commands)
			}
		}
	})
}

// FuzzReply checks that the decoder rejects or bounds every response.
func FuzzReply(f *testing.F) {
	f.Add(byte(typeStatus), []byte{0, 0, 0, 2, 0, 0, 0, 1, 'x'})
	f.Add(byte(typeAttrs), []byte{0, 0, 0, 15, 0, 0, 0, 0, 0, 0, 0, 9})
	f.Add(byte(typeData), []byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, packetType byte, body []byte) {
		reply, err := decodeReply(packetType, &decoder{remaining: body})
		if err == nil && len(reply.Data)+len(reply.Message) > len(body) {
			t.Errorf("%+v out of %d bytes", reply, len(body))
		}
	})
}
