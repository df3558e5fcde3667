package overload

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// FloodOptions are the parameters of Flood.
type FloodOptions struct {
	Kind          FloodKind
	Connections   int  // connections that flood at the same time
	ReadResponses bool // whether responses are read
	PerWrite      int  // requests in one write; 0: floodBatch
	Reconnect     bool // whether each connection sends one request, waits for its response, and is closed
}

// String describes the flood.
func (o FloodOptions) String() string {
	text := fmt.Sprintf("%v on %d connections", o.Kind, o.Connections)
	if o.PerWrite > 0 {
		text += fmt.Sprintf(", %d in a write", o.PerWrite)
	}
	if o.Reconnect {
		text += ", each with one request"
	}
	return text
}

const (
	// floodBatch is the number of requests in one write of a flood.
	floodBatch = 50
	// floodWriteTimeout bounds a write of a flood.
	floodWriteTimeout = 2 * time.Second
	// reconnectTimeout bounds the wait for a response where each connection sends one request.
	reconnectTimeout = time.Second
)

// Flood sends requests at full speed until stop is closed, and returns their number. A connection that ends is replaced.
func Flood(target Target, options FloodOptions, seed uint64, stop <-chan struct{}) (requests int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for number := range max(1, options.Connections) {
		f := flooder{target: &target, options: options, seed: seed, number: number,
			random: rand.New(rand.NewPCG(seed, uint64(options.Kind)+uint64(number)<<8)), stop: stop}
		running.Go(func() {
			f.run()
			mu.Lock()
			defer mu.Unlock()
			requests += f.sent
		})
	}
	running.Wait()
	return requests
}

// flooder is one client of a flood, with one connection at a time.
type flooder struct {
	target  *Target
	options FloodOptions
	seed    uint64
	number  int
	random  *rand.Rand
	stop    <-chan struct{}
	sent    int // number of requests that have been written
}

// run floods until stop is closed.
func (f *flooder) run() {
	for !isClosed(f.stop) {
		conn, err := f.target.dial()
		if err != nil {
			sleep(f.stop, time.Millisecond)
			continue
		}
		if f.options.Reconnect {
			f.sendOne(conn)
			conn.Close()
			continue
		}
		f.flood(conn)
		conn.Close()
		sleep(f.stop, time.Millisecond)
	}
}

// sendOne sends one request and waits until its response begins or the connection ends.
func (f *flooder) sendOne(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(reconnectTimeout))
	if _, err := io.WriteString(conn, f.options.Kind.preamble()+f.request()); err != nil {
		return
	}
	f.sent++
	var first [1]byte
	_, _ = conn.Read(first[:]) // only the time of the response matters
}

// flood sends requests on a connection until it ends or stop is closed.
func (f *flooder) flood(conn net.Conn) {
	if f.options.ReadResponses {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	}
	perWrite := f.options.PerWrite
	if perWrite == 0 {
		perWrite = floodBatch
	}
	batch := f.options.Kind.preamble()
	for !isClosed(f.stop) {
		var requests strings.Builder
		for range perWrite {
			requests.WriteString(f.request())
			f.sent++
		}
		conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
		if _, err := io.WriteString(conn, batch+requests.String()); err != nil {
			return
		}
		batch = ""
	}
}

// request returns the bytes of the next request.
func (f *flooder) request() string {
	return floodRequest(f.target, f.options.Kind, f.random, fmt.Sprintf("flood-%x-%d-%d", f.seed, f.number, f.sent))
}
