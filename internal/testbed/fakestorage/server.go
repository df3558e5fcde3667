// Package fakestorage is a fake of storage servers over HTTP: shards that drop repeated writes by their key for a while, and
// servers that sometimes fail, reset connections, reject, are slow, and drain.
//
// The package owns the servers' state. Each [Server] has one goroutine that accepts connections, and those of net/http that
// serve them; Stop closes their connections and does not wait for them. The same seed draws the same faults in the order in
// which requests arrive.
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

// drainNotice is how long a gateway may still send to a server after it was notified that the server drains.
const drainNotice = time.Second

// Faults are the fractions of the requests that meet each fault, and the delay of slow ones.
type Faults struct {
	Reject      float64 // rejected without effect
	ErrorAfter  float64 // status 500 after execution
	ResetAfter  float64 // connection reset after execution
	ResetBefore float64 // connection reset before execution; reads only
	Slow        float64 // executed SlowDelay more slowly
	SlowDelay   time.Duration
}

// Server is a storage server on one listener. Its exported fields must not change after Start.
type Server struct {
	Name        string
	Shard       *Shard
	ServiceTime time.Duration // for each request
	Faults      Faults
	Checker     *invariants.Checker // receives all executions

	server *http.Server

	mu              sync.Mutex // guards the fields below
	random          *rand.Rand
	drainNotifiedAt time.Time // zero while the server does not drain
}

// Start serves the listener until Stop.
func (s *Server) Start(listener net.Listener, seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, 77))
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }() // It always ends with the error of Close.
}

// Stop closes the listener and all connections.
func (s *Server) Stop() { s.server.Close() }

// NotifyDrain has the server drain and records that the gateway has been notified of it now.
func (s *Server) NotifyDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainNotifiedAt = time.Now()
}

// Digest returns a short name of some content.
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

// faultDraw is a number drawn from [0, 1) that decides on the faults of a request. It is reduced by each fraction that it
// is compared with, so that a request meets one fault at most.
type faultDraw float64

// hits reports whether the request meets a fault that the given fraction of all requests meets.
func (d *faultDraw) hits(fraction float64) bool {
	*d -= faultDraw(fraction)
	return *d < 0 && float64(*d) >= -fraction
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get("X-Correlation-Id") == "" {
		panic(http.ErrAbortHandler) // The request is incomplete.
	}
	now := time.Now()
	s.mu.Lock()
	draw := faultDraw(s.random.Float64())
	draining := !s.drainNotifiedAt.IsZero()
	late := draining && now.Sub(s.drainNotifiedAt) > drainNotice
	s.mu.Unlock()
	if late {
		execution := s.execution(r, body, now)
		execution.DrainNotified = true
		s.Checker.RecordExecution(object(r), execution)
	}
	if draining || draw.hits(s.Faults.Reject) {
		w.Header().Set("X-Unprocessed", "1")
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return
	}
	if draw.hits(s.Faults.ResetBefore) && r.Method == http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	response := s.execute(r, body, now)
	delay := s.ServiceTime
	if draw.hits(s.Faults.Slow) {
		delay += s.Faults.SlowDelay
	}
	time.Sleep(delay)
	if draw.hits(s.Faults.ErrorAfter) {
		http.Error(w, "error", http.StatusInternalServerError)
		return
	}
	if draw.hits(s.Faults.ResetAfter) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = w.Write(response) // The gateway may have closed the connection.
}

// object returns the object that a request names.
func object(r *http.Request) string { return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] }

// execution returns the record of a request.
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
		s.Checker.RecordExecution(object(r), execution)
		return []byte("done " + executed)
	}
	size, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil {
		size = defaultSize
	}
	return ObjectData(object(r), size)
}
