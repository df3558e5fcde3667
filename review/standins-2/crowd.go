package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["10"] = crowd }

// crowd: idle devices fill the descriptors of the gateway. Then the platform's clients come.
func crowd(p *play) int {
	const devices, clients, descriptors = 256, 20, 256
	node := &blockServer{p: p, runs: map[string]int{}, lose: func(string, int) bool { return false }}
	list := nodes(node.serve())
	coap := freeAddr()
	p.maxSockets = descriptors
	p.before = fmt.Sprintf("ulimit -n %d; ", descriptors) // the platform's limit
	edge := map[string]any{"devices": map[string]any{"coap": coap, "max_connections": devices}}
	g := p.startGateway(list, agent(list), 192, settings(1, lane("push", "by_key", 400, 3000, nil)), edge)
	if p.trouble {
		for range devices {
			c, err := net.DialTimeout("tcp", coap, time.Second)
			if err != nil {
				p.f("a device cannot connect: %v", err)
				continue
			}
			defer c.Close()                  // it keeps its connection
			c.Write([]byte{0x00, 0xe1})      // the first message of CoAP over TCP (CSM), without options
			time.Sleep(2 * time.Millisecond) // they come one after another
			c.SetReadDeadline(time.Time{})   // it says nothing more, and reads what it is sent
			go func() { io.Copy(io.Discard, c) }()
		}
		time.Sleep(500 * time.Millisecond)
	}
	if held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid)); err == nil {
		p.f("the gateway holds %d descriptors of %d", len(held), descriptors)
	}
	type result struct{ sent, answered, closed bool }
	results := make(chan result, clients)
	for i := range clients {
		go func() {
			var res result
			defer func() { results <- res }()
			id := fmt.Sprintf("put-%02d", i)
			c, err := net.DialTimeout("tcp", g.listen, time.Second)
			if err != nil {
				p.f("%s: the connection did not come up: %v", id, err)
				return
			}
			defer c.Close()
			_, err = fmt.Fprintf(c, "PUT /push/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: push\r\n"+
				"X-Plan: business\r\nX-Time-Left-Ms: 3000\r\nIdempotency-Key: key-%s\r\nX-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n"+
				"Content-Length: 212\r\n\r\n%s", id, id, strings.Repeat("x", 212))
			started := time.Now()
			if err != nil {
				p.f("%s: not written: %v", id, err)
				return
			}
			res.sent = true
			p.f("client sent %s, with 3 s left", id)
			// An answer counts up to half a second after the time of the request, and each limit is 50 ms longer.
			c.SetReadDeadline(started.Add(3550 * time.Millisecond))
			text := make([]byte, 4096)
			n, err := c.Read(text)
			switch {
			case n > 0:
				res.answered = true
				status, _, _ := strings.Cut(string(text[:n]), "\r\n")
				p.f("client got %s after %.3f s: %s", id, time.Since(started).Seconds(), status)
			case timedOut(err):
				p.f("BROKEN: %s has no answer after %.3f s, and its connection is open", id, time.Since(started).Seconds())
			default: // new connections may be shut unread then
				res.closed = true
				p.f("%s: the connection was shut after %.3f s: %v", id, time.Since(started).Seconds(), err)
			}
		}()
	}
	sent, answered, closed := 0, 0, 0
	for range clients {
		res := <-results
		if res.sent {
			sent++
		}
		if res.answered {
			answered++
		}
		if res.closed {
			closed++
		}
	}
	ready := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if r, err := ready.Get("http://" + g.listen + "/ready"); err != nil {
		p.f("GET /ready: %v", err)
	} else {
		r.Body.Close()
		p.f("GET /ready: %d", r.StatusCode)
	}
	p.say("%d PUTs sent, %d answered, %d shut unread, %d left without either until their time was over", sent, answered, closed,
		sent-answered-closed)
	if !g.running() || sent > answered+closed {
		return broken
	}
	if sent < clients {
		return unable
	}
	return held
}
