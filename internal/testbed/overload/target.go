package overload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// MaxHeadBytes is the size of the largest head that gateways accept.
const MaxHeadBytes = 16 << 10

// maxBodyBytes is the size of the largest body that gateways accept.
const maxBodyBytes = 64 << 10

// dialTimeout bounds the time to connect. It is longer than a gateway takes to make room for a new connection.
const dialTimeout = 5 * time.Second

// Target is the gateway that clients connect to, and what their requests name.
type Target struct {
	Addr       string // address of the gateway, host:port
	ReadClass  string // class of GET requests
	WriteClass string // class of PUT requests, whose retries servers recognize by the key
	Plan       string
	Volume     uint64
	Shards     int
	DeadlineMs int // remaining time that requests state
}

// AnyShard is the shard of a request whose shard the gateway chooses.
const AnyShard = -1

// Request is a request of a fake client.
type Request struct {
	ID         string
	Class      string
	Plan       string
	Volume     uint64
	Shard      int // AnyShard: the gateway chooses
	Key        string
	DeadlineMs int
	Query      string // query of the target, without the question mark
	Write      bool
	ExtraField string // further fields, each ended by CRLF
	Length     int    // stated length of the body
}

// Head returns the head of the request, including the empty line at its end.
func (r *Request) Head() string {
	return r.fields() + "\r\n"
}

// fields returns the request line and the fields of the head.
func (r *Request) fields() string {
	method, query := http.MethodGet, ""
	if r.Query != "" {
		query = "?" + r.Query
	}
	if r.Write {
		method = http.MethodPut
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%016x%s HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: %s\r\n", method,
		r.Class, r.Shard+2, query, r.ID, r.Class, r.Plan)
	fmt.Fprintf(&b, "X-Time-Left-Ms: %d\r\nX-IO: volume=%016x,units=1,shard=%d,hosts=1\r\nContent-Length: %d\r\n", r.DeadlineMs, r.Volume,
		r.Shard, r.Length)
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	return b.String() + r.ExtraField
}

// newRead returns a valid request that reads.
func (t *Target) newRead(id string, random *rand.Rand) *Request {
	return &Request{ID: id, Class: t.ReadClass, Plan: t.Plan, Volume: t.Volume, Shard: random.IntN(t.Shards), DeadlineMs: t.DeadlineMs}
}

// newWrite returns a valid request that writes a body of the given length.
func (t *Target) newWrite(id string, random *rand.Rand, length int) *Request {
	return &Request{ID: id, Class: t.WriteClass, Plan: t.Plan, Volume: t.Volume, Shard: random.IntN(t.Shards), DeadlineMs: t.DeadlineMs,
		Key: "k-" + id, Write: true, Length: length}
}

// dial connects to the gateway.
func (t *Target) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp", t.Addr)
}
