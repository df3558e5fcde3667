package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = foreign }

// delayed starts a proxy to an address that delivers all bytes the given time later, in both directions, and returns its address.
func delayed(to string, by time.Duration) string {
	return acceptAll(func(c net.Conn) {
		up, err := net.Dial("tcp", to)
		if err != nil {
			c.Close()
			return
		}
		go deliver(up, c, by)
		deliver(c, up, by)
	})
}

// deliver copies what it reads, each piece the given time later, and closes both connections at the end.
func deliver(to, from net.Conn, by time.Duration) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{time.Now().Add(by), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	time.Sleep(by)
	to.Close()
	from.Close()
	for range pieces { // the reader ends with its connection
	}
}

// copyServer is a storage node that sends some answers a second time, some milliseconds late, if nothing else waits on the connection.
type copyServer struct {
	p       *play
	name    string
	every   int64 // one answer in so many has a second copy; 0: none
	answers *atomic.Int64
	copies  *atomic.Int64
}

func (s *copyServer) conn(c net.Conn) {
	defer c.Close()
	var arrived atomic.Int64 // bytes that have arrived
	counting := readerFunc(func(b []byte) (int, error) {
		n, err := c.Read(b)
		arrived.Add(int64(n))
		return n, err
	})
	requests := make(chan *http.Request, 16)
	go func() {
		defer close(requests)
		reader := bufio.NewReader(counting)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			requests <- r
		}
	}()
	for r := range requests {
		id := r.Header.Get("X-Correlation-Id")
		before := arrived.Load()
		time.Sleep(time.Duration(5+rand.Intn(10)) * time.Millisecond)
		body := "the data of " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if n := s.answers.Add(1); s.every == 0 || n%s.every != 0 {
			continue
		}
		late := time.Duration(5200+rand.Intn(1600)) * time.Microsecond
		time.Sleep(late)
		if arrived.Load() != before {
			continue // something else waits on the connection
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		s.copies.Add(1)
		s.p.f("%s sent the answer to %s again, %.1f ms late", s.name, id, late.Seconds()*1000)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// foreign: some answers come a second time, some milliseconds late. The storage nodes are in another room.
func foreign(p *play) int {
	const cells, clients, seconds, row = 10, 10, 20, 14
	var answers, copies atomic.Int64
	var addrs []string
	for i := range cells {
		s := &copyServer{p: p, name: fmt.Sprintf("s-%d", i), answers: &answers, copies: &copies}
		if p.trouble {
			s.every = 20
		}
		addrs = append(addrs, delayed(acceptAll(s.conn), time.Millisecond))
	}
	list := nodes(addrs...)
	g := p.startGateway(list, agent(list), 192, settings(cells, lane("push", "by_key", 400, 3000, nil)), nil)
	end := time.Now().Add(seconds * time.Second)
	var served, other, wrong atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("id-%02d-%05d", i, n)
				if n%row == 0 {
					time.Sleep(time.Duration(300+rand.Intn(400)) * time.Millisecond)
				}
				r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/pull/%016x", g.listen, rand.Int63()), nil)
				r.Header = http.Header{"X-Correlation-Id": {id}, "X-Service-Class": {"pull"}, "X-Plan": {"business"}, "X-Time-Left-Ms": {"1400"},
					"X-Io": {fmt.Sprintf("volume=%016x,units=1,shard=%d,hosts=1", 100+i, (i+n/row)%cells)}}
				answer, err := client.Do(r)
				if err != nil {
					other.Add(1)
					continue
				}
				text, err := io.ReadAll(answer.Body)
				answer.Body.Close()
				switch {
				case err != nil || answer.StatusCode != 200:
					other.Add(1)
				case string(text) != "the data of "+id:
					wrong.Add(1)
					p.f("BROKEN: client %d asked by %s and got 200 with %q", i, id, text)
				default:
					served.Add(1)
				}
			}
		})
	}
	all.Wait()
	p.f("metrics %v", g.metrics("server_data", "connections_"))
	p.say("%d answers right, %d other than 200, %d second copies sent, %d clients got the data of another request", served.Load(), other.Load(),
		copies.Load(), wrong.Load())
	if !g.running() || served.Load() < 1000 {
		return unable
	}
	if wrong.Load() > 0 {
		return broken
	}
	return held
}
