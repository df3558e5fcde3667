package overload

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
)

// Departure is a request whose client left without reading its response.
type Departure struct {
	ID       string
	LeftAt   time.Time // when the client closed its connection
	Repeated bool      // whether the request was sent again under the same id afterwards
}

// LeaveOptions are the parameters of Leave.
type LeaveOptions struct {
	Connections     int           // connections that send requests and leave
	PerConnection   int           // requests that each connection sends in one write
	StayFor         time.Duration // time from the write to the close
	RepeatOneIn     int           // one in this many connections has requests repeated
	RepeatRequests  int           // requests of such a connection that are sent again, on connections of their own
	FreshIDs        bool          // whether requests are sent again under new ids, with their keys
	RepeatAddresses []string      // gateways to which they are sent again; empty: the target
}

// Leave opens connections that send requests, close with everything unread, half of them by a reset, and send some of the
// requests again. It returns all of the requests.
func Leave(target Target, options LeaveOptions, seed uint64) []Departure {
	var mu sync.Mutex
	var departures []Departure
	var running sync.WaitGroup
	for number := range options.Connections {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		running.Go(func() {
			left := leaveOne(&target, options, seed, number, random)
			mu.Lock()
			defer mu.Unlock()
			departures = append(departures, left...)
		})
	}
	running.Wait()
	return departures
}

// leaveOne opens one connection, leaves it, and repeats its first requests if it is one of those that do.
func leaveOne(target *Target, options LeaveOptions, seed uint64, number int, random *rand.Rand) []Departure {
	conn, err := target.dial()
	if err != nil {
		return nil
	}
	var departures []Departure
	var heads, repeatedHeads []string
	for i := range options.PerConnection {
		request := target.newWrite(fmt.Sprintf("leave-%x-%d-%d", seed, number, i), random, 0)
		request.Shard = AnyShard
		departures = append(departures, Departure{ID: request.ID})
		heads = append(heads, request.Head())
		if options.FreshIDs {
			request.ID += "-again"
		}
		repeatedHeads = append(repeatedHeads, request.Head())
	}
	_, _ = io.WriteString(conn, strings.Join(heads, "")) // an error means that the gateway has closed the connection
	time.Sleep(options.StayFor)
	closeConn(conn, number%2 == 0)
	leftAt := time.Now()
	for i := range departures {
		departures[i].LeftAt = leftAt
	}
	if number%options.RepeatOneIn == 0 {
		addresses := options.RepeatAddresses
		if len(addresses) == 0 {
			addresses = []string{target.Addr}
		}
		var repeats sync.WaitGroup
		for i := range min(options.RepeatRequests, len(heads)) {
			departures[i].Repeated = true
			repeats.Go(func() { repeat(*target, addresses[(number+i)%len(addresses)], repeatedHeads[i]) })
		}
		repeats.Wait()
	}
	return departures
}

// closeConn closes a connection, by a reset if reset is set.
func closeConn(conn net.Conn, reset bool) {
	if reset {
		loopback.Reset(conn)
		return
	}
	conn.Close()
}

// repeat sends a request on a new connection and reads what comes back until the deadline of the request.
func repeat(target Target, address, head string) {
	target.Addr = address
	conn, err := target.dial()
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Duration(target.DeadlineMs) * time.Millisecond))
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	var first [1]byte
	_, _ = conn.Read(first[:]) // the response does not matter, only what reached servers
}
