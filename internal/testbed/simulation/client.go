package simulation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/gateway"
	"gaugerelay/internal/testbed/memnet"
)

const (
	maxSurgeRate             = 120.0                  // largest request rate of a volume during its surge, in requests per second
	maxClientConns           = maxSockets / 3         // largest number of client connections to a gateway
	shutdownAcceptancePeriod = 400 * time.Millisecond // time after the start of a shutdown in which new requests get responses
)

// request is a client's request with its attempts and the time of its response.
type request struct {
	id      string // correlation ID
	object  uint64
	class   class
	volume  *volume
	units   float64
	shard   int               // shard that must serve the request, or -1 for any shard
	gateway *simulatedGateway // gateway that the request is sent to

	// The fields below are guarded by simulation.mu.

	attempts    []*attempt // attempts that servers have received completely
	respondedAt time.Time  // when the client received the response or an error; zero before that
}

// body returns the body that the client sends if the request is a write.
func (r *request) body() string { return "content of " + r.id }

// timeout returns the time within which the gateway must respond.
func (r *request) timeout() time.Duration { return milliseconds(r.class.DeadlineMs) }

// mayHaveExecuted reports whether a server may have executed the request. simulation.mu must be held.
func (r *request) mayHaveExecuted() bool {
	for _, attempt := range r.attempts {
		if attempt.mayHaveExecuted {
			return true
		}
	}
	return false
}

// generateRequests sends the requests of a volume as a Poisson process, whose rate is higher in the middle third of the run.
func (s *simulation) generateRequests(v *volume, random *rand.Rand) {
	startedAt, baselineRate := time.Now(), s.deployment.Plans[v.Plan].Rate*v.Usage/meanUnits
	client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}}
	for n := 0; ; n++ {
		rate := baselineRate
		if elapsed := time.Since(startedAt); elapsed > runDuration/3 && elapsed < runDuration*2/3 {
			rate = min(baselineRate*v.SurgeFactor, maxSurgeRate)
		}
		time.Sleep(seconds(random.ExpFloat64() / rate))
		if time.Since(startedAt) > runDuration {
			return
		}
		req := s.drawRequest(v, random)
		req.id = fmt.Sprintf("%x-%d", v.ID, n)
		s.tasks.Go(func() { s.send(client, req) })
	}
}

// drawRequest draws a random request of a volume. Gateways at the front of the volume's GatewayIndices get more requests than those
// at the end.
func (s *simulation) drawRequest(v *volume, random *rand.Rand) *request {
	units := float64(1 + random.IntN(3))
	if random.IntN(20) == 0 {
		units = maxUnits
	}
	req := &request{volume: v, units: units, class: s.deployment.Classes[random.IntN(len(s.deployment.Classes))],
		shard: v.Shards[random.IntN(len(v.Shards))]}
	if req.class.write && random.IntN(3) == 0 {
		req.shard = -1
	}
	req.gateway = s.gateways[v.GatewayIndices[min(random.IntN(len(v.GatewayIndices)), random.IntN(len(v.GatewayIndices)))]]
	req.object = random.Uint64()
	return req
}

// exchange is a request that was sent and its response.
type exchange struct {
	*request
	incarnation *gateway.Gateway // incarnation of the gateway that was running when the request was sent
	sentAt      time.Time
	status      int
	header      http.Header
	body        string
	err         error // not nil if there was no complete response; status, header and body are then not valid
}

// send sends a request and checks its response. It does nothing if maxClientConns clients are connected to the gateway.
func (s *simulation) send(client *http.Client, req *request) {
	s.mu.Lock()
	if req.gateway.openClients >= maxClientConns {
		s.mu.Unlock()
		return
	}
	req.gateway.openClients++
	s.requests[req.id] = req
	incarnation := req.gateway.gateway
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), req.timeout()+time.Second)
	defer cancel()
	httpRequest := s.newHTTPRequest(ctx, req)
	ex := exchange{request: req, incarnation: incarnation, sentAt: time.Now()}
	response, err := client.Do(httpRequest)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		ex.status, ex.header, ex.body = response.StatusCode, response.Header, string(body)
	}
	ex.err = err
	s.mu.Lock()
	defer s.mu.Unlock()
	req.gateway.openClients--
	req.respondedAt = time.Now()
	if ex.err != nil {
		s.checkLostRequest(ex)
		return
	}
	s.checkResponse(ex)
}

// newHTTPRequest returns the HTTP request that the client sends to the gateway.
func (s *simulation) newHTTPRequest(ctx context.Context, req *request) *http.Request {
	method, body := http.MethodGet, io.Reader(nil)
	if req.class.write {
		// The wrapper hides the reader's type. Otherwise net/http would set GetBody, with which its transport retries requests
		// by itself.
		method, body = http.MethodPut, struct{ io.Reader }{strings.NewReader(req.body())}
	}
	target := fmt.Sprintf("http://%s/%s/%016x", gatewayAddr(req.gateway.index), url.PathEscape(req.class.Name), req.object)
	httpRequest, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		panic(err) // The URL is always valid because all names are escaped.
	}
	if req.class.write {
		httpRequest.ContentLength = int64(len(req.body()))
	}
	header := httpRequest.Header
	header.Set("X-Correlation-Id", req.id)
	header.Set("X-Service-Class", req.class.Name)
	header.Set("X-Plan", s.deployment.Plans[req.volume.Plan].Name)
	header.Set("X-Time-Left-Ms", strconv.FormatInt(req.timeout().Milliseconds(), 10))
	header.Set("X-IO", fmt.Sprintf("volume=%016x,units=%v,shard=%d,hosts=%d", req.volume.ID, req.units, req.shard,
		len(req.volume.GatewayIndices)))
	if req.class.Idempotency == idempotentWithKey {
		header.Set("Idempotency-Key", "k-"+req.id)
	}
	return httpRequest
}

// checkLostRequest checks that a request may remain without a response: its connection was refused, its gateway was killed or
// restarted, or the gateway had been shutting down for longer than shutdownAcceptancePeriod when the request was sent. s.mu must be
// held.
func (s *simulation) checkLostRequest(ex exchange) {
	g := ex.gateway
	stopping := !g.stoppingSince.IsZero()
	refused := errors.Is(ex.err, memnet.ErrConnectionRefused)
	ended := ex.incarnation != g.gateway || g.killed || stopping && ex.sentAt.Sub(g.stoppingSince) > shutdownAcceptancePeriod
	if refused || ended {
		return
	}
	s.result.LostRequests++
	s.recordViolation("request %s (class %s): no response from gateway %d (up for %v, shutting down: %v) after %v: %v",
		ex.id, ex.class.Name, g.index, ex.sentAt.Sub(g.startedAt), stopping, ex.respondedAt.Sub(ex.sentAt), ex.err)
}

// checkResponse checks the time, status and body of a response. s.mu must be held.
func (s *simulation) checkResponse(ex exchange) {
	if late := ex.respondedAt.Sub(ex.sentAt) - ex.timeout(); late > tolerance {
		s.recordViolation("request %s: response arrived %v after the deadline", ex.id, late)
	}
	switch code := ex.status; {
	case code == http.StatusOK:
		s.result.Served++
		if !strings.HasPrefix(ex.body, ex.id+" ") {
			s.recordViolation("request %s: served with a body that no server sent for this request: %q", ex.id, ex.body)
		}
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		s.result.Rejected++
		s.checkRejection(ex)
	case code >= http.StatusInternalServerError:
		s.result.Failed++
	default:
		s.recordViolation("request %s: status %d in response to a valid request: %s", ex.id, code, ex.body)
	}
}

// checkRejection checks that a server cannot have executed a rejected request if a retry by the client would do harm: the class is not
// idempotent, or only the servers of a zone or shard deduplicate its requests. It also checks that the response carries Retry-After
// only if the settings allow it. s.mu must be held.
func (s *simulation) checkRejection(ex exchange) {
	c := ex.class
	retryHarmful := c.Idempotency == notIdempotent || c.Idempotency == idempotentWithKey && c.DedupScope != dedupScopeAll
	if retryHarmful && ex.mayHaveExecuted() {
		s.recordViolation("request %s (%s): rejected although a server may have executed it", ex.id, c.Idempotency)
	}
	if ex.header.Get("Retry-After") != "" && !s.deployment.RetryAfter {
		s.recordViolation("request %s: response carries Retry-After although the settings forbid it", ex.id)
	}
}
