package main

import (
	"sync/atomic"
	"time"
)

func init() { cases["9"] = spoilt }

// spoilt: some answers to READs have a length that does not fit the packet that they come in.
func spoilt(p *play) int {
	store := newFileServer(p.record, "s-0", 3*time.Millisecond)
	var reads atomic.Int64
	if p.trouble {
		store.spoil = func(id uint32, data []byte) []byte {
			told := 0
			switch reads.Add(1) % 10 {
			case 3: // the length says that there is no data, but the data follows
			case 7: // the length says that there is less data than there is
				told = 100
			default:
				return nil
			}
			p.f("s-0 spoils the answer: its length says %d, %d bytes follow", told, len(data))
			return append(pkt{fxData}.u32(id).u32(uint32(told)), data...).length()
		}
	}
	list := nodes(httpNode())
	front := freeAddr()
	g := p.startGateway(list, agent(list), 192, settings(1, lane("push", "by_key", 400, 3000, nil)),
		sftpEdge(front, 16, "pull", map[string]string{"s-0": store.serve()}))
	client, err := dialFiles(front, 3*time.Second)
	if err != nil {
		panic(err)
	}
	defer client.Close()
	const path, size, chunk = "/layers/image", 32768, 4096
	whole := content("image", size)
	store.files[path] = whole
	handle, err := client.open(path, flagRead)
	if err != nil {
		panic(err)
	}
	answered, wrong := 0, 0
	for i := range 100 {
		off := i % (size / chunk) * chunk
		_, packet := client.readPkt(handle, uint64(off), chunk)
		p.f("client sends READ at %d, %d bytes", off, chunk)
		r, err := client.do(packet, 4*time.Second)
		p.f("client got %v %v", r, err)
		if err != nil {
			p.say("no answer: %v", err)
			return unable
		}
		switch {
		case r.kind == fxStatus && r.code == statusEOF:
			wrong++
			p.f("BROKEN: told that the file ends at %d, it has %d bytes", off, size)
		case r.kind == fxData && r.text != string(whole[off:off+chunk]):
			wrong++
			p.f("BROKEN: got %d of %d bytes, as if the file ended at %d; it has %d", len(r.text), chunk, off+len(r.text), size)
		case r.kind == fxData:
			answered++
		}
	}
	p.say("of 100 READs %d were served right, %d with something that is not the file's content", answered, wrong)
	if !g.running() || answered < 50 {
		return unable
	}
	if wrong > 0 {
		return broken
	}
	return held
}
