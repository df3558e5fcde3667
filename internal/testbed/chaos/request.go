package chaos

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is how a request ended at its client.
type outcome uint8

const (
	outcomePending      outcome = iota
	outcomeServed               // status 200
	outcomeRejected             // status 429 or 503
	outcomeFailed               // another status of 500 and above
	outcomeInvalid              // any other status: the gateway found the request invalid
	outcomeCanceled             // the client closed its connection
	outcomeDisconnected         // the connection ended without a complete response
	outcomeTimedOut             // no complete response came in time
	outcomeNotConnected         // no connection was established, so the request was never sent
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"pending", "served", "rejected", "failed", "invalid", "canceled", "disconnected", "timed out",
	"not connected"}

func (o outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// request is a request of a client and its outcome.
type request struct {
	id          string
	gateway     int
	class       *class
	shard       int
	units       int
	deadline    time.Duration // as the client states it
	cancelAfter time.Duration // the client closes its connection so long after sending; 0: it does not
	incomplete  bool          // the client sends only half of the request and waits

	connReused   bool      // the connection had carried an earlier request
	dialedAt     time.Time // zero if the connection was reused
	sentAt       time.Time // when the last byte was written; zero: never
	closedAt     time.Time // when the client closed the connection without a response; zero: it did not
	endedAt      time.Time
	outcome      outcome
	status       int // 0: no response
	responseBody string
	err          error
}

// message returns the request as it is sent.
func (r *request) message() string {
	method, body := http.MethodGet, ""
	if r.class.write {
		method, body = http.MethodPut, "content of "+r.id
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%016x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: basic\r\n", method,
		r.class.name, uint64(r.shard+2), r.id, r.class.name)
	fmt.Fprintf(&b, "X-Time-Left-Ms: %d\r\nX-IO: volume=%016x,units=%d,shard=%d,hosts=1\r\nContent-Length: %d\r\n", r.deadline.Milliseconds(),
		firstVolume+r.gateway, r.units, r.shard, len(body))
	if r.class.idempotency == idempotentWithKey {
		fmt.Fprintf(&b, "Idempotency-Key: k-%s\r\n", r.id)
	}
	return b.String() + "\r\n" + body
}

// requestID names a request so that servers know which gateway it was sent to and what it costs.
type requestID struct {
	gateway int // that the client sent it to
	units   int
	number  int // among the requests to the gateway
}

func (id requestID) String() string { return fmt.Sprintf("g%d-%d-%d", id.gateway, id.units, id.number) }

// parseRequestID reads the text of a request ID.
func parseRequestID(text string) (id requestID, ok bool) {
	fields := strings.Split(strings.TrimPrefix(text, "g"), "-")
	if len(fields) != 3 {
		return requestID{}, false
	}
	for i, field := range []*int{&id.gateway, &id.units, &id.number} {
		number, err := strconv.Atoi(fields[i])
		if err != nil {
			return requestID{}, false
		}
		*field = number
	}
	return id, true
}

// responsePrefix is how the body of a response to a request begins; the server's name follows.
func responsePrefix(id string) string { return id + " from " }
