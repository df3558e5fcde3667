package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases[8] = refusedAfterRun }

// storeNode is a storage node on HTTP. A request runs when its last byte has arrived.
type storeNode struct {
	rig     *rig
	service time.Duration
	addr    string

	mu   sync.Mutex
	runs []storeRun
}

type storeRun struct {
	atMs           float64
	path, id, key  string
	length, repeat int
}

func (r *rig) newStoreNode(service time.Duration) *storeNode {
	n := &storeNode{rig: r, service: service}
	l := r.listen()
	n.addr = l.Addr().String()
	go http.Serve(l, n)
	return n
}

func (n *storeNode) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	content, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	run := storeRun{atMs: n.rig.ms(), path: q.URL.Path, id: q.Header.Get("X-Correlation-Id"), key: q.Header.Get("Idempotency-Key"),
		length: len(content)}
	n.mu.Lock()
	n.runs = append(n.runs, run)
	n.mu.Unlock()
	time.Sleep(n.service)
	w.Header().Set("Content-Type", "application/octet-stream")
	fmt.Fprintf(w, "done %s", run.path)
}

// ran returns the runs of requests for a path.
func (n *storeNode) ran(path string) (runs []storeRun) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, run := range n.runs {
		if run.path == path {
			runs = append(runs, run)
		}
	}
	return runs
}

// deviceRequest is a transmission of a device's write.
type deviceRequest struct {
	device, path, exchange, id string
	more                       string // further header lines
	body                       []byte
	bytesPerSecond             int
}

// transmit writes a request at the rate of the device's link.
func (q deviceRequest) transmit(conn net.Conn) error {
	head := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: api.internal\r\nX-Device-Id: %s\r\nIdempotency-Key: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Service-Class: apply-write\r\nX-Plan: business\r\nX-Time-Left-Ms: 2500\r\nContent-Length: %d\r\n"+
		"X-IO: volume=0000000000000001,units=2,shard=0,hosts=1\r\n%s\r\n", q.path, q.device, q.exchange, q.id, len(q.body), q.more)
	const tick = 20 * time.Millisecond
	rest := append([]byte(head), q.body...)
	for chunk := q.bytesPerSecond / 50; len(rest) > 0; time.Sleep(tick) {
		n := min(chunk, len(rest))
		if _, err := conn.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// readAnswer reads an answer.
func readAnswer(conn net.Conn, timeout time.Duration) (*http.Response, string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, strings.TrimSpace(string(text)), err
}

// refusedAfterRun resets the connection of a device after its write has been sent. The device connects again over a slower link and sends the
// write again, beside other devices. The write has run, so that the answer must not promise that it has not.
func refusedAfterRun(r *rig) {
	const (
		path  = "/apply-write/00000000000000aa"
		limit = 32 // max_connections
		crowd = 30 // other devices
		size  = 60 << 10
	)
	node := r.newStoreNode(40 * time.Millisecond)
	r.addNode("s-1", node.addr, 0)
	devices := r.freeAddr()
	g := r.startGateway("n1", r.agent(), settings(1, 0, 1, 4, recife), map[string]any{
		"devices": map[string]any{"http": devices, "max_connections": limit}})
	dial := func() net.Conn {
		conn, err := net.DialTimeout("tcp", devices, 5*time.Second)
		r.check(err)
		return conn
	}
	body := bytes.Repeat([]byte("x"), size)

	// The device learns the name of the gateway.
	conn := dial()
	fmt.Fprintf(conn, "GET /cv-read/0000000000000001 HTTP/1.1\r\nHost: api.internal\r\nX-Device-Id: x\r\nX-Correlation-Id: r1\r\n"+
		"X-Service-Class: cv-read\r\nX-Plan: business\r\nX-Time-Left-Ms: 1200\r\nX-IO: volume=0000000000000001,units=1,shard=0,hosts=1\r\n\r\n")
	hello, text, err := readAnswer(conn, 5*time.Second)
	r.check(err)
	r.note("x: a read answered: %s %q", hello.Status, text)
	conn.Close()
	name := hello.Header.Get("X-Gateway")

	// First transmission.
	conn = dial()
	firstMs := r.ms()
	first := deviceRequest{device: "x", path: path, exchange: "order-1", id: "t1", body: body, bytesPerSecond: 4 << 20}
	r.check(first.transmit(conn))
	r.note("x: the first transmission is sent")
	if r.trouble {
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		r.note("the connection of x is reset")
	} else {
		response, text, err := readAnswer(conn, 5*time.Second)
		r.check(err)
		r.note("x: first transmission answered: %s %q", response.Status, text)
		conn.Close()
	}
	time.Sleep(200 * time.Millisecond)
	for _, run := range node.ran(path) {
		r.note("node: %s ran at %.1f", run.path, run.atMs)
	}

	// The device sends its write again, over a slower link. The other devices come meanwhile.
	second := make(chan struct{})
	go func() {
		defer close(second)
		if r.trouble {
			sendAgain(r, node, dial, first, fmt.Sprintf("X-Repeat: 1\r\nX-Age-Ms: %.0f\r\nX-Sent-To: %s\r\n", r.ms()-firstMs, name))
		}
	}()
	time.Sleep(50 * time.Millisecond)
	// The other devices send their writes.
	var others sync.WaitGroup
	counts, mu := map[string]int{}, sync.Mutex{}
	for i := range crowd {
		others.Go(func() {
			conn, err := net.DialTimeout("tcp", devices, 5*time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			other := deviceRequest{device: fmt.Sprint("d", i), path: fmt.Sprintf("/apply-write/%016x", 0x1000+i), exchange: fmt.Sprint("o", i),
				id: fmt.Sprint("d", i), body: body, bytesPerSecond: 96 << 10}
			if err := other.transmit(conn); err != nil {
				r.note("device %d: %v", i, err)
			}
			response, text, err := readAnswer(conn, 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				counts["error"]++
				r.note("device %d: %v", i, err)
				return
			}
			counts[response.Status+" "+text[:min(len(text), 8)]]++
		})
	}
	<-second
	others.Wait()
	r.note("the other devices: %v", counts)
	runs := node.ran(path)
	for _, run := range runs {
		r.note("node: %s of %s ran at %.1f", run.path, run.id, run.atMs)
	}
	time.Sleep(200 * time.Millisecond)
	r.logs(g, "client_connection_closed", "WARN", "ERROR")
	fmt.Printf("the write of x ran %d times; others %v\n", len(runs), counts)
}

// sendAgain sends a write again, and as a new one if the gateway answers that nothing was executed.
func sendAgain(r *rig, node *storeNode, dial func() net.Conn, first deviceRequest, more string) {
	conn := dial()
	defer conn.Close()
	again := first
	again.id, again.bytesPerSecond, again.more = "t2", 64<<10, more
	r.note("x: the second transmission begins")
	go func() { _ = again.transmit(conn) }() // ends with the connection, if the answer comes earlier
	response, text, err := readAnswer(conn, 8*time.Second)
	if err != nil {
		r.note("x: second transmission: no answer (%v)", err)
		return
	}
	r.note("x: second transmission answered: %s %q, Retry-After %s", response.Status, text, response.Header.Get("Retry-After"))
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return
	}
	if runs := node.ran(first.path); len(runs) > 0 {
		r.breaks("the write ran at %.1f, and the device was told that nothing was executed", runs[0].atMs)
	}
	time.Sleep(time.Second)
	later := dial()
	defer later.Close()
	fresh := first
	fresh.exchange, fresh.id = "order-2", "t3"
	_ = fresh.transmit(later)
	if response, text, err := readAnswer(later, 5*time.Second); err == nil {
		r.note("x: the write as a new one answered: %s %q", response.Status, text)
	}
}
