package main

import (
	"fmt"
	"time"
)

func init() { cases["10"] = behind }

// behind: one of four storage nodes hangs. A client sends a WRITE for it and READs for another one at once.
func behind(p *play) int {
	const cells = 4
	backends, addrs, stores := map[string]string{}, []string{}, []*fileServer{}
	for i := range cells {
		id := fmt.Sprintf("s-%d", i)
		store := newFileServer(p.record, id, 5*time.Millisecond)
		stores = append(stores, store)
		backends[id] = store.serve()
		addrs = append(addrs, httpNode())
	}
	list := nodes(addrs...)
	front := freeAddr()
	g := p.startGateway(list, agent(list), 192, settings(cells, lane("push", "by_key", 400, 3000, nil)), sftpEdge(front, 16, "pull", backends))
	readPath, writePath := pathIn("read", 0, cells), pathIn("write", 1, cells)
	stores[0].files[readPath] = content("read", 4096)
	stores[1].files[writePath] = content("write", 4096)
	client, err := dialFiles(front, 3*time.Second)
	if err != nil {
		panic(err)
	}
	defer client.Close()
	reading, err := client.open(readPath, flagRead)
	if err != nil {
		panic(err)
	}
	writing, err := client.open(writePath, flagWrite)
	if err != nil {
		panic(err)
	}
	if p.trouble {
		stores[1].hang.Store(true)
		p.f("s-1 hangs from now on: it answers nothing")
	}
	const reads = 4
	late, answered := 0, 0
	_, all := client.writePkt(writing, 0, "something new")
	sent := map[uint32]bool{}
	for range reads {
		id, packet := client.readPkt(reading, 0, 4096)
		sent[id] = true
		all = append(all, packet...)
	}
	started := time.Now()
	client.Write(all)
	p.f("client has sent one WRITE for s-1 and %d READs for s-0", reads)
	for range reads + 1 {
		r, err := client.receive(started.Add(10 * time.Second))
		after := time.Since(started)
		if err != nil {
			p.say("the connection ended or stayed silent: %v", err)
			break
		}
		p.f("client got the answer to %d after %.3f s: %v", r.id, after.Seconds(), r)
		if !sent[r.id] {
			continue
		}
		answered++
		// The deadline of the class is 1.5 s. An answer up to half a second later only earns nothing, and each limit is 50 ms longer.
		if after > 2050*time.Millisecond {
			late++
			p.f("BROKEN: READ %d has a deadline of 1.5 s and got its answer after %.3f s", r.id, after.Seconds())
		}
	}
	stores[0].mu.Lock()
	ran := stores[0].ranBy[readPath]
	stores[0].mu.Unlock()
	p.say("%d READs, %d run at the sound node, %d answered, %d of them after the time in which an answer counts", reads, ran, answered, late)
	if !g.running() || late > 0 || answered < reads {
		return broken
	}
	return held
}
