package main

import (
	"bytes"
	"fmt"
	"net"
	"syscall"
	"time"
)

func init() { cases[11] = runAgainOverNewer }

// runAgainOverNewer resets the connection of a client of file commands after its WRITE has been sent. The WRITE runs. Another client then
// writes the same range through another gateway. The first client connects again and sends its WRITE again. It must not run a second time.
func runAgainOverNewer(r *rig) {
	const (
		file = "/layers/a"
		size = 16 << 10
	)
	node := r.newFileNode(35*time.Millisecond, 4)
	node.files[file] = make([]byte, size)
	r.addNode("s-1", r.freeAddr(), 0)
	discovery := r.agent()
	var files [2]string
	for i := range files {
		files[i] = r.freeAddr()
		r.startGateway(fmt.Sprint("n", i+1), discovery, settings(2, i, 1, 3, kolkata), map[string]any{
			"sftp": map[string]any{"listen": files[i], "read_class": "pull", "write_class": "push",
				"backends": map[string]string{"s-1": node.addr},
				"roots":    []any{map[string]any{"path": "/layers", "volume": "1", "plan": "business", "hosts": 2}}},
			"devices": map[string]any{"http": r.freeAddr()}})
	}
	older, newer := bytes.Repeat([]byte{'a'}, size), bytes.Repeat([]byte{'b'}, size)
	begin := func(name string, gateway int, data []byte) *fileClient {
		c, err := dialFiles(files[gateway], 5*time.Second)
		r.check(err)
		handle, err := c.openFile(file, writeFlag)
		r.check(err)
		_, err = c.send(fxWrite, func(p packet) packet { return p.str(handle).u64(0).str(string(data)) })
		r.check(err)
		r.note("%s: WRITE of %d bytes of %c at 0 is sent through gateway n%d", name, len(data), data[0], gateway+1)
		return c
	}
	finish := func(name string, c *fileClient) {
		_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		a := c.answer()
		r.note("%s: answer: packet type %d, code %d %s, error %v", name, a.kind, a.code, a.text, a.failed)
		c.conn.Close()
	}

	first := begin("client A", 0, older)
	if r.trouble {
		time.Sleep(15 * time.Millisecond)
		_ = first.conn.(*net.TCPConn).SetLinger(0)
		first.conn.Close()
		r.note("the connection of client A is reset")
	} else {
		finish("client A", first)
	}
	time.Sleep(400 * time.Millisecond)
	finish("client B", begin("client B", 1, newer))
	time.Sleep(400 * time.Millisecond)
	if r.trouble {
		finish("client A", begin("client A", 0, older))
	}
	time.Sleep(200 * time.Millisecond)

	runs := 0
	node.mu.Lock()
	for _, w := range node.writes {
		r.note("node: WRITE of %c with key %s arrived at %.1f, ran at %.1f, dropped as a repeat: %v", w.data[0], w.key, w.atMs, w.doneMs, w.repeat)
		if w.data[0] == older[0] && !w.repeat {
			runs++
		}
	}
	node.mu.Unlock()
	if runs > 1 {
		r.breaks("the WRITE of client A ran %d times", runs)
	}
	r.note("the file holds %c, the last WRITE before client A came again was that of %c", node.file(file)[0], newer[0])
	r.signal(r.gateways[0], syscall.SIGUSR1)
	time.Sleep(200 * time.Millisecond)
	r.logs(r.gateways[0], "file_", "device_runs", "device_copies", "device_answers_kept", "sftp")
	fmt.Printf("the WRITE of client A ran %d times, the file holds %c\n", runs, node.file(file)[0])
}
