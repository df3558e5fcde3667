package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases[15] = endedWithCommands }

// endedWithCommands tells a gateway to end (SIGTERM) while a client of file commands keeps 64 READs open. Each command whose last byte
// was written well before the gateway ended the connection has to get its answer.
func endedWithCommands(r *rig) {
	const (
		file   = "/layers/a"
		open   = 64
		size   = 16 << 10
		margin = 250.0 // ms by which a command has to precede the end of the connection to count
	)
	node := r.newFileNode(35*time.Millisecond, 4)
	node.files[file] = make([]byte, 4<<20)
	r.addNode("s-1", r.freeAddr(), 0)
	files := r.freeAddr()
	g := r.startGateway("n1", r.agent(), settings(1, 0, 1, 3, kolkata), map[string]any{
		"sftp": map[string]any{"listen": files, "read_class": "pull", "write_class": "push", "backends": map[string]string{"s-1": node.addr},
			"roots": []any{map[string]any{"path": "/layers", "volume": "1", "plan": "business", "hosts": 1}}}})
	c, err := dialFiles(files, 5*time.Second)
	r.check(err)
	handle, err := c.openFile(file, readFlag)
	r.check(err)

	var mu sync.Mutex
	sentMs := map[uint32]float64{} // of the commands without an answer
	sent, answered, offset := 0, 0, 0
	send := func() error {
		mu.Lock()
		defer mu.Unlock()
		at := uint64(offset % (4 << 20))
		offset += size
		id, err := c.send(fxRead, func(p packet) packet { return p.str(handle).u64(at).u32(size) })
		if err == nil {
			sentMs[id] = r.ms()
			sent++
		}
		return err
	}
	for range open {
		r.check(send())
	}
	stop := time.Now().Add(4 * time.Second)
	if r.trouble {
		time.AfterFunc(time.Second, func() { r.signal(g, syscall.SIGTERM) })
	}
	kinds := map[string]int{}
	var ended error
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		a := c.answer()
		if a.failed != nil {
			ended = a.failed
			break
		}
		mu.Lock()
		delete(sentMs, a.id)
		answered++
		left := len(sentMs)
		mu.Unlock()
		if a.kind == fxData {
			kinds["data"]++
		} else {
			kinds[fmt.Sprintf("status %d %s", a.code, a.text)]++
		}
		if time.Now().Before(stop) {
			_ = send() // a command that can't be written has not been taken
		} else if left == 0 {
			break
		}
	}
	endMs := r.ms()
	r.note("READs sent %d, answered %d, by kind %v; the connection ended: %v", sent, answered, kinds, ended)
	lost := 0
	mu.Lock()
	for id, at := range sentMs {
		r.note("READ %d, written whole at %.1f, has no answer", id, at)
		if at < endMs-margin {
			lost++
		}
	}
	mu.Unlock()
	if lost > 0 {
		r.breaks("%d READs that were written whole more than %.0f ms before the gateway ended the connection got no answer", lost, margin)
	}
	c.conn.Close()
	if r.trouble {
		select {
		case <-g.exited:
			r.note("the gateway has exited")
		case <-time.After(5 * time.Second):
			r.note("the gateway has not exited")
		}
	}
	fmt.Printf("sent %d, answered %d, lost %d, %v\n", sent, answered, lost, ended)
}
