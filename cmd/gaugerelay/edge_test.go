package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/sftp"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/fakefileserver"
)

// The operator's file enables file commands, which are forwarded to a server's address for file commands, and BGP
// announcements, which are withdrawn before the program exits.
func TestEdgeFileEnablesSFTPAndBGP(t *testing.T) {
	files := fakefileserver.New(t)
	files.Put("/layers/a", []byte("layer"))
	router := testbed.Listen(t)
	edge := writeFile(t, "edge.jsonc", fmt.Sprintf(`// an operator's
	{"sftp":{"listen":"127.0.0.1:0","read_class":"pull","write_class":"push","backends":{"s-1":"%s"},
	  "roots":[{"path":"/layers","volume":"1","plan":"basic"}]},
	 "bgp":{"peer":"%s","local_as":65001,"peer_as":65001,"router_id":"127.0.0.1","announce":["192.0.2.7/32"]}}`,
		files.Addr, router.Addr()))
	p := startProgram(t, settingsFor(unusedServer), "-edge", edge)
	addr := p.waitForAddr(`for="file commands"`) // awaited first: waiting for the later BGP records skips this one
	session := acceptBGP(t, router)
	changeFirstByte(t, addr)
	if got := string(files.File("/layers/a")); got != "Layer" {
		t.Errorf("the file on the server contains %q, want the first byte changed", got)
	}
	p.waitForLog("announced=true")
	p.signal(syscall.SIGTERM)
	p.waitForLog("announced=false")
	p.waitForLog("answers_served 3") // the responses to the OPEN, READ and WRITE of changeFirstByte
	p.wantExit()
	cease := []byte{0, 21, 3, 6, 2} // end of the last message: length 21, NOTIFICATION, code Cease, administrative shutdown
	received, err := io.ReadAll(session)
	if err != nil || !bytes.HasSuffix(received, cease) {
		t.Errorf("reading the session returned error %v and %x, which must end with a Cease", err, received)
	}
}

// acceptBGP acts as the program's router: it accepts the connection and establishes a BGP session.
func acceptBGP(t *testing.T, router net.Listener) net.Conn {
	t.Helper()
	session, err := router.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { session.Close() })
	const identifierEnd = 27 // offset of the last byte of the BGP identifier in an OPEN
	open := make([]byte, 64)
	n, err := session.Read(open)
	if err != nil || n <= identifierEnd+1 {
		t.Fatalf("read an OPEN of %d bytes, error %v; want at least 29 bytes", n, err)
	}
	open[identifierEnd]++ // the router's OPEN equals the program's except for the identifier
	keepalive := append(bytes.Repeat([]byte{0xff}, 16), 0, 19, 4)
	if _, err := session.Write(append(open[:n], keepalive...)); err != nil {
		t.Fatal(err)
	}
	return session
}

// changeFirstByte reads the file /layers/a through the gateway at addr and overwrites its first byte.
func changeFirstByte(t *testing.T, addr string) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client, err := sftp.NewClientPipe(conn, conn)
	if err != nil {
		t.Fatal(err)
	}
	file, err := client.OpenFile("/layers/a", os.O_RDWR)
	if err != nil {
		t.Fatal(err)
	}
	content := make([]byte, 5)
	if _, err := file.ReadAt(content, 0); err != nil || string(content) != "layer" {
		t.Errorf("reading the file returned %q, error %v; want the content layer", content, err)
	}
	if _, err := file.WriteAt([]byte("L"), 0); err != nil {
		t.Errorf("writing the file: %v", err)
	}
}
