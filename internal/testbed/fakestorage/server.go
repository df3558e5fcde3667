// Package fakestorage is a fake of storage servers over HTTP. Shards deduplicate writes by their idempotency key within a
// deduplication window. Servers randomly fail, reset connections, reject requests and respond slowly, and they can drain.
//
// The package owns the servers' state. Each [Server] has one goroutine that accepts connections, and the goroutines of net/http
// that serve them. Stop closes the connections but does not wait for these goroutines. Faults are drawn in the order in which
// requests arrive; the same seed draws the same sequence.
package fakestorage

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/testbed/invariants"
)

// drainGrace is how long a gateway may still send to a draining server after the gateway was notified of the drain.
const drainGrace = time.Second

// Faults holds, for each fault, the fraction of the requests that it affects, and the delay of slow requests.
type Faults struct {
	Reject      float64       // the request is rejected without being executed
	ErrorAfter  float64       // the response has status 500 although the request was executed
	ResetAfter  float64       // the connection is reset after the request was executed
	ResetBefore float64       // the connection is reset before a read is executed; writes are not affected
	Slow        float64       // the response is delayed by SlowDelay
	SlowDelay   time.Duration // additional delay of a slow response
}

// Server is a storage server on one listener. Its exported fields must not change after Start.
type Server struct {
	Name        string
	Shard       *Shard
	ServiceTime time.Duration // delay between the execution of a request and its response
	Faults      Faults
	Checker     *invariants.Checker // records executions of writes, and requests that arrive after the drain grace

	server *http.Server

	mu              sync.Mutex // guards the fields below
	random          *rand.Rand
	drainNotifiedAt time.Time // time at which the gateway was notified of the drain; zero while the server is not draining
}

// Start starts a goroutine that serves the listener until Stop is called.
func (s *Server) Start(listener net.Listener, seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, 77))
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }() // Serve returns an error when the server is closed.
}

// Stop closes the listener and all connections.
func (s *Server) Stop() { s.server.Close() }

// NotifyDrain makes the server drain and records the current time as the time at which the gateway was notified.
func (s *Server) NotifyDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainNotifiedAt = time.Now()
}

// Digest returns a short hexadecimal digest of some content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:6])
}

// ObjectData returns the content of an object, of the given size in bytes.
func ObjectData(object string, size int) []byte {
	data := make([]byte, 0, size+40)
	for i := 0; len(data) < size; i++ {
		data = fmt.Appendf(data, "%s/%d ", object, i)
	}
	return data[:size]
}

// faultDraw is a random number from [0, 1) that decides which fault affects a request. Each call of affects subtracts the fraction
// of its fault, so that at most one fault affects a request.
type faultDraw float64

// affects reports whether the request is affected by a fault that affects the given fraction of all requests.
func (d *faultDraw) affects(fraction float64) bool {
	*d -= faultDraw(fraction)
	return *d < 0 && float64(*d) >= -fraction
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get("X-Correlation-Id") == "" {
		panic(http.ErrAbortHandler) // A request that is incomplete or has no correlation ID gets no response.
	}
	now := time.Now()
	s.mu.Lock()
	draw := faultDraw(s.random.Float64())
	draining := !s.drainNotifiedAt.IsZero()
	afterGrace := draining && now.Sub(s.drainNotifiedAt) > drainGrace
	s.mu.Unlock()
	if afterGrace {
		execution := s.execution(r, body, now)
		execution.DrainNotified = true
		s.Checker.RecordExecution(objectName(r), execution)
	}
	if draining || draw.affects(s.Faults.Reject) {
		w.Header().Set("X-Unprocessed", "1")
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return
	}
	if draw.affects(s.Faults.ResetBefore) && r.Method == http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	response := s.execute(r, body, now)
	delay := s.ServiceTime
	if draw.affects(s.Faults.Slow) {
		delay += s.Faults.SlowDelay
	}
	time.Sleep(delay)
	if draw.affects(s.Faults.ErrorAfter) {
		http.Error(w, "error", http.StatusInternalServerError)
		return
	}
	if draw.affects(s.Faults.ResetAfter) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = w.Write(response) // A write error is ignored, because the gateway may have closed the connection.
}

// objectName returns the object that a request names: the last segment of its path.
func objectName(r *http.Request) string { return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] }

// execution returns the record of a request for the checker.
func (s *Server) execution(r *http.Request, body []byte, now time.Time) invariants.Execution {
	return invariants.Execution{Server: s.Name, Shard: s.Shard.Name, Key: r.Header.Get("Idempotency-Key"), Content: Digest(body), At: now}
}

// execute executes a request, records it if it is a write, and returns the body of the response.
func (s *Server) execute(r *http.Request, body []byte, now time.Time) []byte {
	const defaultSize = 40
	if r.Method == http.MethodPut {
		execution := s.execution(r, body, now)
		repeated, executed := s.Shard.deduplicate(execution.Key, execution.Content, now)
		execution.Deduplicated = repeated
		s.Checker.RecordExecution(objectName(r), execution)
		return []byte("done " + executed)
	}
	size, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil {
		size = defaultSize
	}
	return ObjectData(objectName(r), size)
}
