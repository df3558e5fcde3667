package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["9"] = twice }

// keyServer is a storage node that drops repeats by key for a time, counted from the first run.
type keyServer struct {
	p      *play
	window time.Duration

	mu      sync.Mutex
	last    map[string]time.Time
	effects map[string]int
}

func (s *keyServer) conn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		key := r.Header.Get("Idempotency-Key")
		s.mu.Lock()
		now := time.Now()
		repeat := now.Sub(s.last[key]) < s.window
		if !repeat {
			s.last[key] = now
			s.effects[string(body)]++
		}
		effects := s.effects[string(body)]
		s.mu.Unlock()
		s.p.f("s-0 got %s %s key %s %q: repeat=%v, it has taken effect %d times", r.Method, r.Header.Get("X-Correlation-Id"), key, body,
			repeat, effects)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
			return
		}
	}
}

// link is a connection of a device that may stall: from then on it delivers nothing until it resumes.
type link struct {
	to      string
	mu      sync.Mutex
	resumes time.Time
}

func (l *link) conn(c net.Conn) {
	up, err := net.Dial("tcp", l.to)
	if err != nil {
		c.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			l.mu.Lock()
			wait := time.Until(l.resumes)
			l.mu.Unlock()
			time.Sleep(wait)
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond) // the link is slow
			}
			if err != nil {
				to.(*net.TCPConn).CloseWrite()
				return
			}
		}
	}
	go pass(c, up)
	pass(up, c)
}

// twice: the link of a device stalls under a push, and the device sends it again through another gateway.
func twice(p *play) int {
	const devices, stall = 5, 6 * time.Second
	node := &keyServer{p: p, window: 3 * time.Second, last: map[string]time.Time{}, effects: map[string]int{}}
	list := nodes(acceptAll(node.conn))
	disco := agent(list)
	var fronts [2]string
	var gateways [2]*gateway
	for i := range fronts {
		fronts[i] = freeAddr()
		set := settings(1, lane("push", "by_key", 400, 3000, nil))
		set["Siblings"], set["SelfIndex"] = 2, i
		gateways[i] = p.startGateway(list, disco, 192, set, map[string]any{"devices": map[string]any{"http": fronts[i]}})
	}
	put := func(c net.Conn, reader *bufio.Reader, device, key, more string, leftMs int, wait time.Duration) (status int, gatewayName string) {
		body := device + " " + key
		_, err := fmt.Fprintf(c, "PUT /push/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Device-Id: %s\r\nX-Correlation-Id: %s-%d\r\n"+
			"X-Service-Class: push\r\nX-Plan: business\r\nX-Time-Left-Ms: %d\r\nIdempotency-Key: %s\r\n"+
			"X-IO: volume=00000003b4d60021,units=2,shard=0,hosts=2\r\n%sContent-Length: %d\r\n\r\n%s",
			device, key, time.Now().UnixNano(), leftMs, key, more, len(body), body)
		if err != nil {
			return 0, ""
		}
		c.SetReadDeadline(time.Now().Add(wait))
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, ""
		}
		io.Copy(io.Discard, r.Body)
		return r.StatusCode, r.Header.Get("X-Gateway")
	}
	var all sync.WaitGroup
	for i := range devices {
		all.Go(func() {
			device := fmt.Sprintf("device-%d", i)
			l := &link{to: fronts[0]}
			c, err := net.Dial("tcp", acceptAll(l.conn))
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			status, name := put(c, reader, device, "first", "", 2500, 4*time.Second)
			p.f("%s: its first push, through gateway n0 (%s): %d", device, name, status)
			if p.trouble {
				l.mu.Lock()
				l.resumes = time.Now().Add(stall)
				l.mu.Unlock()
				p.f("%s: its link stalls for %v", device, stall)
			}
			status, _ = put(c, reader, device, "second", "", 2500, time.Second)
			p.f("%s: its second push, through gateway n0: %d (0: no answer for a second)", device, status)
			c.Close()
			if status != 0 {
				return
			}
			again, err := net.Dial("tcp", fronts[1])
			if err != nil {
				return
			}
			defer again.Close()
			more := "X-Repeat: 1\r\nX-Age-Ms: 1000\r\nX-Sent-To: " + name + "\r\n"
			status, name = put(again, bufio.NewReader(again), device, "second", more, 1500, 2*time.Second)
			p.f("%s: sent again, through gateway n1 (%s): %d", device, name, status)
		})
	}
	all.Wait()
	time.Sleep(stall + time.Second)
	pushes, more := 0, 0
	node.mu.Lock()
	for push, effects := range node.effects {
		if !strings.HasSuffix(push, "second") {
			continue
		}
		pushes++
		if effects > 1 {
			more++
			p.f("BROKEN: the push %q has taken effect %d times", push, effects)
		}
	}
	node.mu.Unlock()
	p.say("%d pushes, %d of them have taken effect more than once", pushes, more)
	if more > 0 {
		return broken
	}
	if pushes < devices || !gateways[0].running() || !gateways[1].running() {
		return unable
	}
	return held
}
