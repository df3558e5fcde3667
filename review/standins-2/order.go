package main

import (
	"fmt"
	"time"
)

func init() { cases["8"] = order }

// order: one client writes the same piece of a file several times and does not wait for the answers in between.
func order(p *play) int {
	store := newFileServer(p.record, "s-0", 3*time.Millisecond)
	list := nodes(httpNode())
	front := freeAddr()
	push := lane("push", "by_key", 400, 3000, map[string]any{"InTurn": true})
	g := p.startGateway(list, agent(list), 192, settings(1, push), sftpEdge(front, 16, "pull", map[string]string{"s-0": store.serve()}))
	client, err := dialFiles(front, 3*time.Second)
	if err != nil {
		panic(err)
	}
	defer client.Close()
	const rounds, burst = 60, 4
	wrong, checked := 0, 0
	for round := range rounds {
		path := fmt.Sprintf("/layers/part-%d", round)
		handle, err := client.open(path, flagRead|flagWrite|flagCreate)
		if err != nil {
			p.say("round %d: %v", round, err)
			return unable
		}
		var all []byte
		var last string
		allOK := true
		answers := 0
		for i := range burst {
			last = fmt.Sprintf("round %03d write %d", round, i)
			_, packet := client.writePkt(handle, 0, last)
			p.f("client sends WRITE %s at 0: %q", path, last)
			if p.trouble {
				all = append(all, packet...)
				continue
			}
			r, err := client.do(packet, 4*time.Second)
			p.f("client got %v %v", r, err)
			allOK = allOK && err == nil && r.kind == fxStatus && r.code == statusOK
			answers++
		}
		if p.trouble {
			client.Write(all)
			for answers < burst {
				r, err := client.receive(time.Now().Add(4 * time.Second))
				p.f("client got %v %v", r, err)
				if err != nil {
					p.say("round %d: an answer is missing: %v", round, err)
					return unable
				}
				allOK = allOK && r.kind == fxStatus && r.code == statusOK
				answers++
			}
		}
		_, packet := client.readPkt(handle, 0, 64)
		r, err := client.do(packet, 4*time.Second)
		p.f("client reads %s back: %v %v", path, r, err)
		if !allOK || err != nil || r.kind != fxData {
			continue // a refused or failed command says nothing about the order
		}
		checked++
		if r.text != last {
			wrong++
			p.f("BROKEN: all writes were answered with OK, the last one was %q, and the file holds %q", last, r.text)
		}
	}
	p.say("%d rounds checked, in %d an acknowledged later write was undone by an earlier one", checked, wrong)
	if checked < rounds/2 || !g.running() {
		return unable
	}
	if wrong > 0 {
		return broken
	}
	return held
}
