package sftpclient

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
)

// statusNames maps statuses to their names in the golden files.
var statusNames = map[scheduler.Status]string{
	scheduler.StatusOK:              "ok",
	scheduler.StatusError:           "error",
	scheduler.StatusOverloaded:      "full",
	scheduler.StatusConnectionReset: "reset",
}

// describeResult formats the result of an attempt for a golden file.
func describeResult(result lifecycle.AttemptResult) string {
	text := "result: " + statusNames[result.Status] + "\n"
	if reply, ok := result.Body.(*sftpwire.Reply); ok {
		text += fmt.Sprintf("reply: code %d, text %q, data %q, size %d, mode %o, mtime %d\n",
			reply.Code, reply.Message, reply.Data, reply.Attrs.Size, reply.Attrs.Mode, reply.Attrs.Mtime)
	}
	return text
}

// hexBytes decodes hexadecimal text that may contain blanks.
func hexBytes(t *testing.T, text string) (out []byte) {
	t.Helper()
	if _, err := fmt.Sscanf(strings.ReplaceAll(text, " ", ""), "%x", &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// recordPackets starts an SFTP server. The returned channel receives the exact bytes of each packet that arrives at the server. The
// server answers INIT with VERSION, the following packets with the elements of the parameter responses, in order, and all further
// packets with a STATUS with code OK. The first byte of a response is the packet type; the rest is what follows the id.
func recordPackets(t *testing.T, responses [][]byte) (address string, packets <-chan []byte) {
	t.Helper()
	recorded := make(chan []byte, 16)
	address = testbed.Serve(t, func(conn net.Conn) {
		for n := -1; ; n++ {
			var wire bytes.Buffer
			_, body, err := readPacket(io.TeeReader(conn, &wire))
			if err != nil {
				return
			}
			recorded <- wire.Bytes()
			response := []byte{0, 0, 0, 5, 2, 0, 0, 0, 3}
			switch {
			case n >= len(responses):
				response = frameResponse([]byte{101, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, body[:4])
			case n >= 0:
				response = frameResponse(responses[n], body[:4])
			}
			_, _ = conn.Write(response) // the client may have closed the connection
		}
	})
	return address, recorded
}

// frameResponse adds the length and the id to a response.
func frameResponse(response, id []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(response)+len(id)))
	out = append(out, response[0])
	out = append(out, id...)
	return append(out, response[1:]...)
}

// goldenExchange is a command with the responses to its packets. Its golden file holds the packets and the result.
type goldenExchange struct {
	command   sftpwire.Command
	responses []string
	packets   int // number of packets that the client sends, including INIT
}

func goldenExchanges() map[string]goldenExchange {
	// Responses of the server. The first byte is the packet type; the rest is what follows the id.
	const (
		handle       = "66 00000002 6831"
		data         = "67 00000004 64617461"
		attributes   = "69 0000000d 00000000 0000138b 000081a4 00000001 00000002"
		statusOK     = "65 00000000 00000000 00000000"
		endOfFile    = "65 00000001 00000003 656f66 00000000"
		noSuchFile   = "65 00000002 00000004 6e6f6e65 00000000"
		denied       = "65 00000003 00000000 00000000"
		failure      = "65 00000004 00000004 6469736b 00000000"
		unprocessed  = "65 00000004 0000000b 756e70726f636573736564 00000000"
		badMessage   = "65 00000005 00000000 00000000"
		unsupported  = "65 00000008 00000000 00000000"
		codeAlone    = "65 00000002"
		unknownReply = "63 00000000"
	)
	read := sftpwire.Command{Op: sftpwire.OpRead, Path: "/layers/a", Offset: 1 << 33, Length: 10}
	write := sftpwire.Command{Op: sftpwire.OpWrite, Path: "/layers/a", Offset: 3, Data: []byte("data\x00\xff"), UploadKey: "k1"}
	stat := sftpwire.Command{Op: sftpwire.OpStat, Path: "/layers/a"}
	return map[string]goldenExchange{
		"read":              {read, []string{handle, data}, 4},
		"write":             {write, []string{handle, statusOK}, 4},
		"write-without-key": {sftpwire.Command{Op: sftpwire.OpWrite, Path: "/a", Data: []byte("x")}, []string{handle, statusOK}, 4},
		"open-read":         {sftpwire.Command{Op: sftpwire.OpOpen, Path: "/layers/a", Flags: sftpwire.FlagRead}, []string{handle}, 3},
		"open-create": {sftpwire.Command{Op: sftpwire.OpOpen, Path: "/layers/a",
			Flags: sftpwire.FlagWrite | sftpwire.FlagCreate | sftpwire.FlagTruncate, UploadKey: "k2"}, []string{handle}, 3},
		"open-exclusive": {sftpwire.Command{Op: sftpwire.OpOpen, Path: "/a",
			Flags: sftpwire.FlagRead | sftpwire.FlagWrite | sftpwire.FlagExclusive, UploadKey: "k3"}, []string{handle}, 3},
		"stat":              {stat, []string{attributes}, 2},
		"stat-missing":      {stat, []string{noSuchFile}, 2},
		"stat-code-alone":   {stat, []string{codeAlone}, 2},
		"open-missing":      {read, []string{noSuchFile}, 2},
		"open-denied":       {write, []string{denied}, 2},
		"open-unprocessed":  {write, []string{unprocessed}, 2},
		"read-end":          {read, []string{handle, endOfFile}, 4},
		"read-failure":      {read, []string{handle, failure}, 4},
		"read-unprocessed":  {read, []string{handle, unprocessed}, 4},
		"write-failure":     {write, []string{handle, failure}, 4},
		"write-bad-message": {write, []string{handle, badMessage}, 4},
		"write-unsupported": {write, []string{handle, unsupported}, 4},
		"read-unknown":      {read, []string{handle, unknownReply}, 3},
	}
}

// TestGoldenPackets checks that the packets of each command, and the result for each response, do not change.
func TestGoldenPackets(t *testing.T) {
	for name, exchange := range goldenExchanges() {
		t.Run(name, func(t *testing.T) {
			var responses [][]byte
			for _, text := range exchange.responses {
				responses = append(responses, hexBytes(t, text))
			}
			address, packets := recordPackets(t, responses)
			now := clock.NewManual(startMs)
			client, results := newTestClient(now, address, 1)
			defer client.Close()
			client.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: &exchange.command}, Server: &lifecycle.Server{},
				DeadlineMs: now.NowMs() + 750.9})
			result := <-results
			var text strings.Builder
			for range exchange.packets {
				fmt.Fprintf(&text, "%x\n", <-packets)
			}
			testbed.CompareGolden(t, "packets-"+name, text.String()+describeResult(result))
		})
	}
}
