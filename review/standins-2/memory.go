package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["10"] = memory }

// memory: clients send many WRITEs at once, each on its own connection, while another one writes slowly. The gateway has the smallest
// memory.
func memory(p *play) int {
	const clients, commands, size = 12, 14, 65536
	store := newFileServer(p.record, "s-0", 30*time.Millisecond)
	store.slots = make(chan struct{}, 4)
	slowStore := newFileServer(p.record, "s-1", 500*time.Millisecond)
	list := nodes(httpNode(), httpNode())
	front := freeAddr()
	g := p.startGateway(list, agent(list), 32, settings(2, lane("push", "by_key", 400, 3000, nil)),
		sftpEdge(front, 16, "pull", map[string]string{"s-0": store.serve(), "s-1": slowStore.serve()}))
	connect := func(path string) (*fileClient, string) {
		client, err := dialFiles(front, 3*time.Second)
		if err != nil {
			panic(err)
		}
		handle, err := client.open(path, flagWrite|flagCreate)
		if err != nil {
			panic(err)
		}
		return client, handle
	}
	var others sync.WaitGroup
	begin, stop := make(chan struct{}), make(chan struct{})
	for i := range clients {
		client, handle := connect(pathIn(fmt.Sprint("burst-", i), 0, 2))
		others.Go(func() {
			defer client.Close()
			<-begin
			sent, answered := make(chan struct{}, commands), 0
			go func() {
				for n := range commands {
					_, packet := client.writePkt(handle, uint64(n*size), string(content(fmt.Sprintf("%d-%d", i, n), size)))
					if _, err := client.Write(packet); err != nil {
						return
					}
					if !p.trouble {
						<-sent // it waits for the answer
					}
				}
			}()
			for answered < commands {
				r, err := client.receive(time.Now().Add(6 * time.Second))
				if err != nil {
					p.f("burst client %d: the connection ended after %d answers: %v", i, answered, err)
					return
				}
				p.f("burst client %d got %d: %.60v", i, r.id, r)
				answered++
				sent <- struct{}{}
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	slowPath := pathIn("slow", 1, 2)
	client, handle := connect(slowPath)
	defer client.Close()
	const small = 6
	for n := range small {
		id, packet := client.writePkt(handle, uint64(n*1024), string(content(fmt.Sprintf("slow-%d", n), 1024)))
		p.f("slow client sends WRITE %d, 1024 bytes, at once", id)
		if _, err := client.Write(packet); err != nil {
			panic(err)
		}
	}
	close(begin)
	_, last := client.writePkt(handle, small*1024, string(content("slow-last", size)))
	go func() {
		for at := 0; at < len(last); at += 6554 { // 64 kB a second
			if _, err := client.Write(last[at:min(len(last), at+6554)]); err != nil {
				p.f("slow client cannot write on: %v", err)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.f("slow client has sent its last WRITE")
	}()
	answered := 0
	for answered < small+1 {
		r, err := client.receive(time.Now().Add(6 * time.Second))
		if err != nil {
			p.say("slow client: the connection ended after %d answers: %v", answered, err)
			if timedOut(err) {
				return unable
			}
			break
		}
		p.f("slow client got %d: %.60v", r.id, r)
		answered++
	}
	time.Sleep(2 * time.Second) // what is out may still run
	close(stop)
	slowStore.mu.Lock()
	ran := slowStore.ranBy[slowPath]
	slowStore.mu.Unlock()
	for _, line := range g.metrics("file_", "client_memory", "memory_used") {
		p.f("metric %s", line)
	}
	others.Wait()
	p.say("the slow client's %d WRITEs got %d answers, %d of them have run", small+1, answered, ran)
	if !g.running() || ran > answered {
		return broken
	}
	if answered < small {
		return unable
	}
	return held
}
