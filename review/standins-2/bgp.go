package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["11"] = announceLate }

// Types of BGP messages (RFC 4271), and the code of the capability for AS numbers of four octets (RFC 6793).
const bgpOpen, bgpUpdate, bgpKeepalive, fourOctetAS = 1, 2, 4, 65

// routerAS is the AS of the router.
const routerAS = 65000

// bgpRouter is a router that a gateway announces its addresses to.
type bgpRouter struct {
	p                    *play
	announced, withdrawn chan time.Time
}

// serve answers the messages of one session.
func (r *bgpRouter) serve(c net.Conn) {
	defer c.Close()
	send := func(kind byte, body []byte) {
		message := make([]byte, 19, 19+len(body))
		for i := range 16 {
			message[i] = 0xff
		}
		binary.BigEndian.PutUint16(message[16:], uint16(19+len(body)))
		message[18] = kind
		c.Write(append(message, body...))
	}
	for {
		head := make([]byte, 19)
		if _, err := io.ReadFull(c, head); err != nil {
			r.p.f("router: the session has ended: %v", err)
			return
		}
		body := make([]byte, int(binary.BigEndian.Uint16(head[16:]))-19)
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		r.p.f("router got a message of type %d: %x", head[18], body)
		switch head[18] {
		case bgpOpen: // the gateway's, with the AS and the identifier of the router
			binary.BigEndian.PutUint16(body[1:], routerAS)
			copy(body[5:9], []byte{127, 0, 0, 9})
			for i := 10; i+6 <= len(body); i++ {
				if body[i] == fourOctetAS && body[i+1] == 4 {
					binary.BigEndian.PutUint32(body[i+2:], routerAS)
				}
			}
			send(bgpOpen, body)
			send(bgpKeepalive, nil)
		case bgpKeepalive:
			send(bgpKeepalive, nil)
		case bgpUpdate:
			withdrawn := int(binary.BigEndian.Uint16(body))
			attributes := int(binary.BigEndian.Uint16(body[2+withdrawn:]))
			if withdrawn > 0 {
				r.withdrawn <- time.Now()
			}
			if len(body) > 4+withdrawn+attributes {
				r.announced <- time.Now()
			}
		}
	}
}

// announceLate: a gateway that has no list of storage nodes yet gets SIGTERM, and the list 0.2 s later.
func announceLate(p *play) int {
	router := &bgpRouter{p, make(chan time.Time, 100), make(chan time.Time, 100)}
	routerAddr := acceptAll(router.serve)
	node := &blockServer{p: p, runs: map[string]int{}, lose: func(string, int) bool { return false }}
	line, _ := json.Marshal(nodes(node.serve()))
	give, l := make(chan struct{}), listen()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-give
		w.Write(append(line, '\n'))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	config, edge, addr := filepath.Join(p.dir, "config.json"), filepath.Join(p.dir, "edge.json"), freeAddr()
	p.writeJSON(config, map[string]any{"name": "n0", "listen": addr, "discovery": l.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": serverList{Full: true, Servers: []server{}},
		"settings": settings(1, lane("push", "by_key", 400, 3000, nil))})
	p.writeJSON(edge, map[string]any{"bgp": map[string]any{"peer": routerAddr, "local_as": 65001, "peer_as": routerAS,
		"router_id": "127.0.0.1", "announce": []string{"192.0.2.7/32"}}})
	command := exec.Command("/bin/sh", "-c", "exec bin/gaugerelay -edge "+edge)
	command.Dir = p.root
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+p.dir)
	stderr, err := command.StderrPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	p.ends = append(p.ends, func() { command.Process.Kill(); <-exited })
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.f("gateway: %s", lines.Text())
		}
		command.Wait()
		close(exited)
	}()

	time.Sleep(1500 * time.Millisecond)
	if !p.trouble {
		p.f("discovery gives its list")
		close(give)
		time.Sleep(1500 * time.Millisecond)
	}
	stopped := time.Now()
	p.f("SIGTERM")
	command.Process.Signal(syscall.SIGTERM)
	if p.trouble {
		time.Sleep(200 * time.Millisecond)
		p.f("discovery gives its list")
		close(give)
	}
	var refused time.Time // when the first new connection is refused
	for running := true; running; {
		select {
		case <-exited:
			running = false
		case <-time.After(20 * time.Millisecond):
			c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
			if err == nil {
				c.Close()
			} else if refused.IsZero() {
				refused = time.Now()
			}
		}
	}
	late, count := 0, len(router.announced)
	for range count {
		if at := <-router.announced; at.After(stopped) {
			late++
			p.say("the addresses were announced %v after SIGTERM", at.Sub(stopped))
		}
	}
	p.say("%d announcements, %d withdrawals; new connections are refused %v after SIGTERM, the exit is %v after it", count, len(router.withdrawn),
		refused.Sub(stopped), time.Since(stopped))
	switch {
	case late > 0 && len(router.withdrawn) == 0:
		return broken
	case !p.trouble && (count == 0 || len(router.withdrawn) == 0):
		return unable
	}
	return held
}
