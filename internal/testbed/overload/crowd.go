package overload

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// CrowdKind is what the clients of a crowd send.
type CrowdKind uint8

// Kinds of crowds. Each client sends its bytes at once, unless the comment says otherwise, and then waits for the gateway.
const (
	EndlessHead      CrowdKind = iota // a head of very many short fields that never ends
	HeadThenHalfBody                  // such a head that ends, and half of a large body
	HalfBody                          // a short head and half of the largest body
	SlowWriter                        // a valid request, a few bytes at a time
	SameNameFields                    // an endless head of very many fields of one name
	ShortestFields                    // an endless head of very many fields of one byte
	LongValue                         // an endless head with a single long value
	ChunkedBody                       // a body in chunks that never ends, with fields behind it
	UnreadResponses                   // valid requests whose responses stay unread
	Silent                            // nothing
	PipelinedHeads                    // a request and, behind it, an endless head of very many short fields
	CrowdKindCount
)

var crowdKindNames = [CrowdKindCount]string{"endless-head", "head-then-half-body", "half-body", "slow-writer", "same-name-fields",
	"shortest-fields", "long-value", "chunked-body", "unread-responses", "silent", "pipelined-heads"}

// String returns the name of the kind.
func (k CrowdKind) String() string {
	if k < CrowdKindCount {
		return crowdKindNames[k]
	}
	return fmt.Sprintf("CrowdKind(%d)", uint8(k))
}

const (
	// answerTimeout is the time from connecting within which a gateway must respond to, or close the connection of, a client that
	// does not send a complete request.
	answerTimeout = 3 * time.Second
	// maxReconnectDelay is the longest time after which a client of a crowd connects again.
	maxReconnectDelay = 50 * time.Millisecond
	// slowWriteInterval is the time between two writes of a slow writer, and slowWriteBytes the size of a write.
	slowWriteInterval = 40 * time.Millisecond
	slowWriteBytes    = 4
	// pollInterval is how often waiting clients look at their stop channel.
	pollInterval = 100 * time.Millisecond
	// unreadRequests is the number of requests that a client sends whose responses it does not read.
	unreadRequests = 60
	// largeResponseQuery asks the fake servers for a response of nearly the largest size.
	largeResponseQuery = "padding=60000"
)

// CrowdResult is what the clients of a crowd saw.
type CrowdResult struct {
	Connections int64 // connections that were opened
	Unanswered  int64 // connections with an incomplete request that neither got a response nor were closed in time
}

// Crowd keeps clients connected until stop is closed. Whenever the gateway closes a connection, its client connects again.
func Crowd(target Target, kind CrowdKind, clients int, seed uint64, stop <-chan struct{}) CrowdResult {
	var result CrowdResult
	var running sync.WaitGroup
	for client := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		running.Go(func() {
			for number := 0; !isClosed(stop); number++ {
				member := crowdMember{target: &target, kind: kind, random: random, stop: stop,
					id: fmt.Sprintf("crowd-%x-%d-%d", seed, client, number), result: &result}
				member.run()
				sleep(stop, time.Duration(random.Float64()*float64(maxReconnectDelay)))
			}
		})
	}
	running.Wait()
	return result
}

// crowdMember is one connection of a client of a crowd.
type crowdMember struct {
	target *Target
	kind   CrowdKind
	random *rand.Rand
	stop   <-chan struct{}
	id     string
	result *CrowdResult
}

// run connects, sends, and waits until the gateway closes the connection.
func (m *crowdMember) run() {
	conn, err := m.target.dial()
	if err != nil {
		return
	}
	defer conn.Close()
	atomic.AddInt64(&m.result.Connections, 1)
	connectedAt := time.Now()
	closed := make(chan struct{})
	if m.kind == UnreadResponses {
		_, _ = io.WriteString(conn, m.message()) // an error ends the wait below just as a close does
		sleep(m.stop, answerTimeout)
		return
	}
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}()
	m.write(conn, closed)
	m.awaitClose(connectedAt, closed)
}

// write sends the message of the member.
func (m *crowdMember) write(conn net.Conn, closed <-chan struct{}) {
	message := m.message()
	if m.kind != SlowWriter {
		_, _ = io.WriteString(conn, message) // after an error, the connection ends
		return
	}
	for len(message) > 0 && !isClosed(closed) && !isClosed(m.stop) {
		n := min(slowWriteBytes, len(message))
		if _, err := io.WriteString(conn, message[:n]); err != nil {
			return
		}
		message = message[n:]
		time.Sleep(slowWriteInterval)
	}
}

// awaitClose waits until the connection is closed, and counts it if that takes too long. A gateway may keep an idle connection that has
// sent nothing.
func (m *crowdMember) awaitClose(connectedAt time.Time, closed <-chan struct{}) {
	for {
		select {
		case <-closed:
			return
		case <-m.stop:
			return
		case <-time.After(pollInterval):
		}
		if m.kind != Silent && time.Since(connectedAt) > answerTimeout+pollInterval {
			atomic.AddInt64(&m.result.Unanswered, 1)
			return
		}
	}
}

// message returns the bytes that the member sends.
func (m *crowdMember) message() string {
	head := m.target.newWrite(m.id, m.random, maxBodyBytes*15/16)
	room := MaxHeadBytes*7/8 - len(head.fields()) + m.random.IntN(MaxHeadBytes/16)
	switch m.kind {
	case EndlessHead:
		return head.fields() + shortFields(room)
	case HeadThenHalfBody:
		head.ExtraField = shortFields(room)
		return head.Head() + strings.Repeat("b", head.Length/2)
	case HalfBody:
		head.Length = maxBodyBytes
		return head.Head() + strings.Repeat("b", head.Length/2)
	case SlowWriter:
		return m.target.newWrite(m.id, m.random, 1000).Head() + strings.Repeat("b", 1000)
	case SameNameFields:
		return head.fields() + strings.Repeat("a:b\r\n", room/len("a:b\r\n"))
	case ShortestFields:
		return head.fields() + strings.Repeat("a:\n", room/len("a:\n"))
	case LongValue:
		return head.fields() + "A: " + strings.Repeat("v", room)
	case ChunkedBody:
		return strings.Replace(head.fields(), "Content-Length: ", "Transfer-Encoding: chunked\r\nX-Length: ", 1) + "\r\n" +
			strings.Repeat("400\r\n"+strings.Repeat("b", 0x400)+"\r\n", 20) + "0\r\n" + shortFields(room)
	case UnreadResponses:
		var messages strings.Builder
		for number := range unreadRequests {
			request := m.target.newRead(fmt.Sprintf("%s-%d", m.id, number), m.random)
			request.Query = largeResponseQuery
			messages.WriteString(request.Head())
		}
		return messages.String()
	case PipelinedHeads:
		return m.target.newRead(m.id, m.random).Head() + head.fields() + shortFields(room)
	default:
		return ""
	}
}

// shortFields returns fields with different short names that take the given number of bytes or slightly less.
func shortFields(bytes int) string {
	var b strings.Builder
	for number := 0; b.Len() < bytes-8; number++ {
		fmt.Fprintf(&b, "%x:\r\n", number)
	}
	return b.String()
}

// isClosed reports whether a channel is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// sleep waits for the given time, or until stop is closed.
func sleep(stop <-chan struct{}, d time.Duration) {
	select {
	case <-stop:
	case <-time.After(d):
	}
}

// Announcers keeps clients connected that send the beginning of a message and stop, until stop is closed. Whenever the gateway closes a
// connection, its client connects again. It returns the number of connections.
func Announcers(addr string, beginning []byte, clients int, stop <-chan struct{}) (connections int64) {
	target := Target{Addr: addr}
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for !isClosed(stop) {
				conn, err := target.dial()
				if err == nil {
					atomic.AddInt64(&connections, 1)
					announce(conn, beginning, stop)
				}
				sleep(stop, maxReconnectDelay)
			}
		})
	}
	running.Wait()
	return connections
}

// announce sends the beginning of a message and waits until the connection ends or stop is closed.
func announce(conn net.Conn, beginning []byte, stop <-chan struct{}) {
	defer conn.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}()
	_, _ = conn.Write(beginning) // after an error, the connection ends
	select {
	case <-closed:
	case <-stop:
	}
}
