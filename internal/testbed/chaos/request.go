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
	outcomeInvalid              // any other status; expected only for a request that was sent incompletely
	outcomeCanceled             // the client closed its connection before the response, as request.cancelAfter says
	outcomeDisconnected         // the connection ended before a complete response
	outcomeTimedOut             // no complete response arrived in time
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
	deadline    time.Duration // remaining time that the client states
	cancelAfter time.Duration // time for which the client waits for the response before it cancels; 0: it does not cancel
	incomplete  bool          // whether the client sends only half of the request and then waits

	connReused   bool      // whether the connection had carried an earlier request
	dialedAt     time.Time // when the client began to connect; zero if the connection was reused
	sentAt       time.Time // when the client had finished writing; zero: the write failed or did not begin
	closedAt     time.Time // when the client closed the connection after sending, without a complete response; otherwise zero
	endedAt      time.Time
	outcome      outcome
	status       int // status of the response; 0: no response
	responseBody string
	err          error
}

// message returns the bytes of the request that the client sends.
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

// requestID identifies a request. It contains the gateway and the units of the request, so that the fake servers know them.
type requestID struct {
	gateway int // gateway that the client sends the request to
	units   int
	number  int // sequence number among the requests to the gateway
}

func (id requestID) String() string { return fmt.Sprintf("g%d-%d-%d", id.gateway, id.units, id.number) }

// parseRequestID parses a request ID.
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

// responsePrefix returns the beginning of the body of a response to a request. The server's name follows it.
func responsePrefix(id string) string { return id + " from " }
