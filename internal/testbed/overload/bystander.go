package overload

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BystanderOptions are the parameters of Bystanders.
type BystanderOptions struct {
	Interval    time.Duration // time between the starts of two requests on new connections
	KeptConns   int           // clients that keep their connections and send a further request as soon as one is answered
	KeptPause   time.Duration // time for which such a client is idle between two requests
	RetryWithin time.Duration // time for which a request is sent again on another connection if its connection ends
	AnswerGrace time.Duration // time after its own for which a client still waits for a response, which is then late; 0: it does not wait
	DeadlinesMs []int         // remaining times of the requests, drawn for each; empty: that of the target
}

// BystanderResult is what clients that overload nothing saw.
type BystanderResult struct {
	Requests   int
	Served     int
	Refused    int               // responses 429 and 503
	Failed     int               // other responses
	Late       int               // responses after the time of the client, within AnswerGrace
	Missing    []MissingResponse // requests without a response in time
	Unanswered int               // requests without a response in time
	Lost       int               // connections that ended after a whole request was written to them and before the whole response
	Losses     []string          // descriptions of the first losses
	Latencies  []time.Duration   // times until the responses, in the order of their ends
}

// MissingResponse is a request without a response in time.
type MissingResponse struct {
	ID        string
	StartedAt time.Time // when the client began to connect or to write
	WrittenAt time.Time // when the whole request had been written; zero if it was not
	EndedAt   time.Time
}

// retryPause is the time after which a request whose connection has ended is sent again.
const retryPause = 20 * time.Millisecond

// maxSilence is the time from connecting after which a gateway may have closed a connection that has sent nothing, to make room. A client
// that has not got the processor for as long is silent, too.
const maxSilence = 200 * time.Millisecond

// maxLossTexts is how many losses a BystanderResult describes.
const maxLossTexts = 10

// AnsweredFraction returns the fraction of the requests that got a response in time.
func (r *BystanderResult) AnsweredFraction() float64 {
	return 1 - float64(r.Unanswered+r.Late)/float64(max(1, r.Requests))
}

// ServedFraction returns the fraction of the requests that were served.
func (r *BystanderResult) ServedFraction() float64 {
	return float64(r.Served) / float64(max(1, r.Requests))
}

// LatencyQuantile returns a quantile of the latencies, 0 if there are none.
func (r *BystanderResult) LatencyQuantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.Latencies))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// bystanders are the clients of one call of Bystanders.
type bystanders struct {
	target  *Target
	options BystanderOptions
	seed    uint64

	mu     sync.Mutex
	result BystanderResult
}

// Bystanders sends valid read requests until stop is closed: one after the other on new connections, and others on kept connections. It
// returns when all requests have ended.
func Bystanders(target Target, options BystanderOptions, seed uint64, stop <-chan struct{}) BystanderResult {
	b := &bystanders{target: &target, options: options, seed: seed}
	var running sync.WaitGroup
	for client := range options.KeptConns {
		running.Go(func() { b.keepConn(client, stop) })
	}
	for number := 0; !isClosed(stop); number++ {
		running.Go(func() { b.sendOnNewConn(fmt.Sprintf("new-%x-%d", seed, number)) })
		sleep(stop, options.Interval)
	}
	running.Wait()
	return b.result
}

// keepConn sends requests on a connection that it keeps. When the connection has ended it opens another one.
func (b *bystanders) keepConn(client int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(b.seed, uint64(client)))
	var conn net.Conn
	for number := 0; !isClosed(stop); number++ {
		conn = b.send(conn, b.newRequest(fmt.Sprintf("kept-%x-%d-%d", b.seed, client, number), random))
		sleep(stop, b.options.KeptPause)
	}
	if conn != nil {
		conn.Close()
	}
}

// sendOnNewConn sends a request on a new connection and closes it.
func (b *bystanders) sendOnNewConn(id string) {
	random := rand.New(rand.NewPCG(b.seed, xxhash.Sum64String(id)))
	if conn := b.send(nil, b.newRequest(id, random)); conn != nil {
		conn.Close()
	}
}

// newRequest draws a request.
func (b *bystanders) newRequest(id string, random *rand.Rand) *Request {
	request := b.target.newRead(id, random)
	if deadlines := b.options.DeadlinesMs; len(deadlines) > 0 {
		request.DeadlineMs = deadlines[random.IntN(len(deadlines))]
	}
	return request
}

// send sends a request on conn, or on a new connection if conn is nil, and counts its outcome. If the connection ends without a response,
// it repeats the request on another one. It returns the connection, or nil if it has ended.
func (b *bystanders) send(conn net.Conn, request *Request) net.Conn {
	startedAt := time.Now()
	deadline := startedAt.Add(time.Duration(request.DeadlineMs) * time.Millisecond)
	retryUntil := startedAt.Add(min(b.options.RetryWithin, time.Until(deadline)))
	for {
		isNew, connectedAt := conn == nil, time.Now()
		if isNew {
			conn = b.dialUntil(deadline)
		}
		var local string
		if conn != nil {
			local = conn.LocalAddr().String()
		}
		status, writtenAt, err := exchange(conn, request, deadline.Add(b.options.AnswerGrace))
		if err == nil {
			b.count(status, time.Since(startedAt), b.options.AnswerGrace > 0 && time.Now().After(deadline))
			return conn
		}
		if conn != nil {
			conn.Close()
		}
		timedOut := time.Now().After(deadline)
		// The close may have crossed the request on a kept connection, and on a new one that has been silent for long.
		mayHaveCrossed := !isNew || writtenAt.Sub(connectedAt) > maxSilence
		if !writtenAt.IsZero() && !timedOut && !mayHaveCrossed {
			b.countLoss(request, local, startedAt, err)
		}
		if timedOut || time.Now().After(retryUntil) {
			b.countUnanswered(request, writtenAt, startedAt)
			return nil
		}
		conn = nil
		time.Sleep(retryPause)
	}
}

// dialUntil connects to the gateway, or returns nil if that fails until the deadline.
func (b *bystanders) dialUntil(deadline time.Time) net.Conn {
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(context.Background(), "tcp", b.target.Addr)
	if err != nil {
		return nil
	}
	return conn
}

// exchange sends a request and reads the whole response. writtenAt is the time at which the whole request had been written, zero if that
// failed.
func exchange(conn net.Conn, request *Request, deadline time.Time) (status int, writtenAt time.Time, err error) {
	if conn == nil {
		return 0, time.Time{}, net.ErrClosed
	}
	conn.SetDeadline(deadline)
	if _, err := io.WriteString(conn, request.Head()); err != nil {
		return 0, time.Time{}, err
	}
	writtenAt = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, writtenAt, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, writtenAt, err
}

// count counts a request with a response.
func (b *bystanders) count(status int, latency time.Duration, late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Requests++
	b.result.Latencies = append(b.result.Latencies, latency)
	if late {
		b.result.Late++
	}
	switch status {
	case http.StatusOK:
		b.result.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		b.result.Refused++
	default:
		b.result.Failed++
	}
}

// countUnanswered counts a request without a response.
func (b *bystanders) countUnanswered(request *Request, writtenAt, startedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Requests++
	b.result.Unanswered++
	b.result.Missing = append(b.result.Missing, MissingResponse{request.ID, startedAt, writtenAt, time.Now()})
}

// countLoss counts a connection from a local address that ended under a request.
func (b *bystanders) countLoss(request *Request, local string, startedAt time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Lost++
	if len(b.result.Losses) < maxLossTexts {
		b.result.Losses = append(b.result.Losses, fmt.Sprintf("%s from %s: the connection ended after %v: %v", request.ID, local,
			time.Since(startedAt).Round(time.Millisecond), err))
	}
}
