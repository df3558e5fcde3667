package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["7"] = smuggle }

// smuggle: some clients send requests with both Content-Length and Transfer-Encoding, which hide another request in their body.
func smuggle(p *play) int {
	node := &blockServer{p: p, runs: map[string]int{}, lose: func(string, int) bool { return false }}
	list := nodes(node.serve())
	g := p.startGateway(list, agent(list), 192, settings(1, lane("push", "by_key", 400, 3000, nil)), nil)
	head := func(proto, id, more string) string {
		return fmt.Sprintf("PUT /push/7f3a9c21e0b4d655 %s\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: push\r\nX-Plan: business\r\n"+
			"X-Time-Left-Ms: 2800\r\nIdempotency-Key: key-%s\r\nX-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n%s\r\n", proto, id, id, more)
	}
	const rounds = 20
	passed, hiddenRun, usual := 0, 0, 0
	for i := range rounds {
		id, hidden := fmt.Sprintf("outer-%02d", i), fmt.Sprintf("hidden-%02d", i)
		inside := head("HTTP/1.1", hidden, "Content-Length: 9\r\n") + "unwanted!"
		// To a reader that goes by Transfer-Encoding, the body is one chunk, and what it holds is data. To one that goes by Content-Length,
		// the body ends after the line with the size of the chunk, and what follows is a request.
		size := fmt.Sprintf("%x\r\n", len(inside))
		text := head("HTTP/1.0", id, fmt.Sprintf("Connection: keep-alive\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(size))) +
			size + inside + "\r\n0\r\n\r\n"
		if !p.trouble {
			text = head("HTTP/1.1", id, fmt.Sprintf("Content-Length: %d\r\n", len(inside))) + inside
		}
		c, err := net.Dial("tcp", g.listen)
		if err != nil {
			panic(err)
		}
		io.WriteString(c, text)
		p.f("client sent %s with %s in its body: %q", id, hidden, text)
		c.SetReadDeadline(time.Now().Add(time.Second))
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadResponse(reader, nil)
			if err != nil {
				p.f("client: no further answer: %v", err)
				break
			}
			body, _ := io.ReadAll(r.Body)
			p.f("client got %d %.60q", r.StatusCode, strings.TrimSpace(string(body)))
			if !p.trouble {
				break
			}
		}
		c.Close()
		node.mu.Lock()
		outer, inner := node.runs[id], node.runs[hidden]
		node.mu.Unlock()
		switch {
		case !p.trouble:
			usual += outer
			hiddenRun += inner
		case outer > 0:
			passed++
			p.f("BROKEN: %s, which has both lengths, was passed on", id)
			fallthrough
		default:
			if inner > 0 {
				hiddenRun++
				p.f("BROKEN: %s, which was data in the body of %s, has run at the storage node", hidden, id)
			}
		}
	}
	if !g.running() || !p.trouble && usual < rounds {
		return unable
	}
	p.say("%d requests with both lengths: %d were passed on, and %d requests hidden in their bodies have run", rounds, passed, hiddenRun)
	if passed+hiddenRun > 0 {
		return broken
	}
	return held
}
