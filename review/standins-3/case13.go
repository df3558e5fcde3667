package main

import (
	"bytes"
	"fmt"
	"syscall"
	"time"
)

func init() { cases[13] = staleWrites }

// staleWrites lets a client of file commands leave while its WRITEs wait, with the part for devices on. No attempt may begin more than
// 0.1 s after the close (and 50 ms for sockets).
func staleWrites(r *rig) {
	const (
		file   = "/layers/a"
		blocks = 64 // WRITEs of client 1
		fewer  = 4  // WRITEs of client 2
		size   = 32 << 10
		bound  = 150.0
	)
	node := r.newFileNode(60*time.Millisecond, 4)
	r.addNode("s-1", r.freeAddr(), 0)
	files := r.freeAddr()
	r.startGateway("n1", r.agent(), settings(1, 0, 1, 3, kolkata), map[string]any{
		"sftp": map[string]any{"listen": files, "read_class": "pull", "write_class": "push", "backends": map[string]string{"s-1": node.addr},
			"roots": []any{map[string]any{"path": "/layers", "volume": "1", "plan": "basic", "hosts": 1}}},
		"devices": map[string]any{"http": r.freeAddr()}})

	upload := func(name string, fill byte, blocks int) (*fileClient, []byte) {
		c, err := dialFiles(files, 5*time.Second)
		r.check(err)
		handle, err := c.openFile(file, writeFlag|createFlag|truncateFlag)
		r.check(err)
		content := bytes.Repeat([]byte{fill}, blocks*size)
		for i := range blocks {
			_, err := c.send(fxWrite, func(p packet) packet {
				return p.str(handle).u64(uint64(i * size)).str(string(content[i*size : (i+1)*size]))
			})
			r.check(err)
		}
		r.note("%s: %d WRITEs of %d bytes are sent", name, blocks, size)
		return c, content
	}
	answers := func(name string, c *fileClient, blocks int) (served int) {
		for range blocks {
			a := c.answer()
			if a.failed != nil {
				r.note("%s: %v", name, a.failed)
				return served
			}
			if a.kind == fxStatus && a.code == okCode {
				served++
			} else {
				r.note("%s: answer %d: %d %s", name, a.id, a.code, a.text)
			}
		}
		return served
	}

	first, _ := upload("client 1", '1', blocks)
	read := make(chan int, 1)
	go func() { read <- answers("client 1", first, blocks) }()
	if !r.trouble {
		r.note("client 1: %d of %d answered with OK", <-read, blocks)
	} else {
		time.Sleep(200 * time.Millisecond)
	}
	first.conn.Close()
	closedMs := r.ms()
	r.note("client 1 closes its connection")
	time.Sleep(100 * time.Millisecond)

	second, content := upload("client 2", '2', fewer)
	served := answers("client 2", second, fewer)
	r.note("client 2: %d of %d answered with OK", served, fewer)
	second.conn.Close()
	time.Sleep(4 * time.Second)

	node.mu.Lock()
	for _, w := range node.writes {
		r.note("node: WRITE of client %c at %d arrived at %.1f, ran at %.1f, repeat %v", w.data[0], w.offset, w.atMs, w.doneMs, w.repeat)
	}
	late, latest := 0, 0.0
	for _, w := range node.writes {
		if w.data[0] == '1' && w.atMs > closedMs+bound {
			late++
			latest = max(latest, w.atMs-closedMs)
		}
	}
	node.mu.Unlock()
	if late > 0 {
		r.breaks("%d WRITEs of client 1 began more than %.0f ms after it had closed its connection, the last one %.0f ms after", late, bound, latest)
	}
	stale, got := 0, node.file(file)
	for i, b := range got {
		if i >= len(content) || b != content[i] {
			stale++
		}
	}
	r.note("the file has %d bytes, of which %d are not those of client 2, which emptied it and wrote %d bytes, answered with OK", len(got), stale,
		served*size)
	r.signal(r.gateways[0], syscall.SIGUSR1)
	time.Sleep(200 * time.Millisecond)
	r.logs(r.gateways[0], "file_", "device_", "attempts_")
	fmt.Printf("late WRITEs %d, last %.0f ms after the close, stale bytes %d\n", late, latest, stale)
}
