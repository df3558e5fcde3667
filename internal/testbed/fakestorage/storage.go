// Package storage is a stand-in for storage nodes over HTTP: cells that drop repeats by upload key for a while, and
// nodes that sometimes fail, hang up, turn away, are slow, drain and start anew.
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

// Shard is what the nodes of one shard share.
type Shard struct {
	Name        string
	DedupWindow time.Duration

	mu   sync.Mutex
	seen map[string]first // by key
}

type first struct {
	at      time.Time
	content string
}

// repeat tells whether a key has been seen within the window, and with what, and notes it.
func (c *Shard) repeat(key, content string, now time.Time) (bool, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]first{}
	}
	if f, ok := c.seen[key]; ok && now.Sub(f.at) < c.DedupWindow {
		return true, f.content
	}
	c.seen[key] = first{now, content}
	return false, content
}

// Faults are parts of the requests that meet each.
type Faults struct {
	Reject, ErrorAfter, ResetAfter, ResetBefore, Slow float64
	SlowDelay                                         time.Duration
}

// Server serves one listener.
type Server struct {
	Name        string
	Shard       *Shard
	ServiceTime time.Duration
	Faults      Faults
	Checker     *invariants.Checker

	server *http.Server
	mu     sync.Mutex
	rnd    *rand.Rand
	told   time.Time // when the gateway was told that it drains
}

// Start serves until Stop.
func (n *Server) Start(ln net.Listener, seed uint64) {
	n.rnd = rand.New(rand.NewPCG(seed, 77))
	n.server = &http.Server{Handler: n}
	go n.server.Serve(ln)
}

// Stop resets all its connections.
func (n *Server) Stop() { n.server.Close() }

// Drain notes that the gateway has been told.
func (n *Server) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told = time.Now()
}

// Digest names bytes.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:6])
}

// ObjectData is what a node says to a read of a piece of so many bytes.
func ObjectData(piece string, size int) []byte {
	out := make([]byte, 0, size+40)
	for i := 0; len(out) < size; i++ {
		out = fmt.Appendf(out, "%s/%d ", piece, i)
	}
	return out[:size]
}

// ServeHTTP implements http.Handler.
func (n *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get("X-Correlation-Id") == "" {
		panic(http.ErrAbortHandler) // it was never whole
	}
	piece := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	now := time.Now()
	n.mu.Lock()
	draw := n.rnd.Float64()
	told := !n.told.IsZero() && now.Sub(n.told) > time.Second
	drains := !n.told.IsZero()
	n.mu.Unlock()
	hit := func(part float64) bool {
		draw -= part
		return draw < 0 && draw >= -part
	}
	if told {
		n.Checker.RecordExecution(piece, invariants.Execution{Server: n.Name, Shard: n.Shard.Name, Key: r.Header.Get("Idempotency-Key"),
			Content: Digest(body), At: now, DrainNotified: true})
	}
	if drains || hit(n.Faults.Reject) {
		w.Header().Set("X-Unprocessed", "1")
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return
	}
	if hit(n.Faults.ResetBefore) && r.Method == http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	answer := ObjectData(piece, 40)
	if r.Method == http.MethodPut {
		key := r.Header.Get("Idempotency-Key")
		run := invariants.Execution{Server: n.Name, Shard: n.Shard.Name, Key: key, Content: Digest(body), At: now}
		var done string
		run.Deduplicated, done = n.Shard.repeat(key, run.Content, now)
		n.Checker.RecordExecution(piece, run)
		answer = []byte("done " + done)
	} else if size, err := strconv.Atoi(r.URL.Query().Get("n")); err == nil {
		answer = ObjectData(piece, size)
	}
	work := n.ServiceTime
	if hit(n.Faults.Slow) {
		work += n.Faults.SlowDelay
	}
	time.Sleep(work)
	if hit(n.Faults.ErrorAfter) {
		http.Error(w, "error", http.StatusInternalServerError)
		return
	}
	if hit(n.Faults.ResetAfter) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer)
}
