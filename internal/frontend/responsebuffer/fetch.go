package responsebuffer

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/lifecycle"
)

// ErrNoResponse means that a repeated request got no response by its deadline.
var ErrNoResponse = errors.New("responsebuffer: no response to the repeated request in time")

// Fetcher executes requests of devices again whose responses have been dropped. The requests must be reads that may be executed any number
// of times.
type Fetcher struct {
	Set   *Set
	Loop  frontend.Loop
	Clock clock.Clock
}

// Fetch executes a request again and waits for the response until deadlineMs, a time of Clock in milliseconds. The exchange of the request
// does not change: the link reads on, so that nothing is estimated from the device's remaining time.
func (f Fetcher) Fetch(ctx context.Context, request *lifecycle.Request, deadlineMs float64) (response lifecycle.Response, err error) {
	remainingMs := deadlineMs - f.Clock.NowMs()
	if remainingMs <= 0 {
		return response, ErrNoResponse
	}
	repeated := request.WithoutExchange(f.Set.nextID(), remainingMs)
	responses := make(chan lifecycle.Response, 1) // has room for the only response, so that the event loop never blocks
	repeated.Respond = func(response lifecycle.Response) { responses <- response }
	if !f.Loop.Submit(repeated) {
		return lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: frontend.InboxFullRetryAfterMs}, nil
	}
	overdue, stop := clock.After(f.Clock, remainingMs+frontend.ResponseGraceMs)
	defer stop()
	select {
	case response = <-responses:
		if body, ok := response.Body.([]byte); ok {
			response.ETag = xxhash.Sum64(body)
		}
		return response, nil
	case <-overdue:
		err = ErrNoResponse
	case <-ctx.Done():
		err = ctx.Err()
	}
	f.Loop.Cancel(repeated)
	return response, err
}

// nextID returns an id that no other request has.
func (s *Set) nextID() string { return fmt.Sprintf("%s-again-%x", s.idPrefix, s.lastID.Add(1)) }
