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
	maxSurgeRate     = 120.0                  // requests per second of a volume in its surge
	maxClientConns   = maxSockets / 3         // at a gateway
	shutdownAnnounce = 400 * time.Millisecond // after which a gateway that shuts down need not respond any more
)

// request is a client's request and what became of it. The fields from attempts on are guarded by simulation.mu.
type request struct {
	id      string // correlation id
	object  uint64
	class   class
	volume  *volume
	units   float64
	shard   int // -1: any
	gateway *simulatedGateway

	attempts    []*attempt
	respondedAt time.Time
}

// body returns the body of a write.
func (r *request) body() string { return "content of " + r.id }

// timeout returns the time that the client gives the gateway.
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

// generateRequests sends the requests of a volume as a Poisson process, with a surge in the middle third of the run.
func (s *simulation) generateRequests(v *volume, random *rand.Rand) {
	began, baselineRate := time.Now(), s.deployment.Plans[v.Plan].Rate*v.Usage/meanUnits
	client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}}
	for n := 0; ; n++ {
		rate := baselineRate
		if elapsed := time.Since(began); elapsed > runDuration/3 && elapsed < runDuration*2/3 {
			rate = min(baselineRate*v.SurgeFactor, maxSurgeRate)
		}
		time.Sleep(seconds(random.ExpFloat64() / rate))
		if time.Since(began) > runDuration {
			return
		}
		req := s.drawRequest(v, random)
		req.id = fmt.Sprintf("%x-%d", v.ID, n)
		s.tasks.Go(func() { s.send(client, req) })
	}
}

// drawRequest draws a request of a volume. Gateways early in the volume's list get more requests than later ones.
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
	req.gateway = s.gateways[v.Hosts[min(random.IntN(len(v.Hosts)), random.IntN(len(v.Hosts)))]]
	req.object = random.Uint64()
	return req
}

// exchange is a request that was sent and its response.
type exchange struct {
	*request
	incarnation *gateway.Gateway // of the gateway when the request was sent
	sentAt      time.Time
	status      int
	header      http.Header
	body        string
	err         error // set if there was no complete response; the fields above it mean nothing then
}

// send sends a request and checks its response. It does nothing if the gateway has as many clients as it may.
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

// newHTTPRequest returns a request in the protocol's form.
func (s *simulation) newHTTPRequest(ctx context.Context, req *request) *http.Request {
	method, body := http.MethodGet, io.Reader(nil)
	if req.class.write {
		// The wrapped type keeps net/http from setting GetBody, with which its transport would resend by itself.
		method, body = http.MethodPut, struct{ io.Reader }{strings.NewReader(req.body())}
	}
	target := fmt.Sprintf("http://%s/%s/%016x", gatewayAddr(req.gateway.index), url.PathEscape(req.class.Name), req.object)
	httpRequest, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		panic(err) // All names are escaped.
	}
	if req.class.write {
		httpRequest.ContentLength = int64(len(req.body()))
	}
	header := httpRequest.Header
	header.Set("X-Correlation-Id", req.id)
	header.Set("X-Service-Class", req.class.Name)
	header.Set("X-Plan", s.deployment.Plans[req.volume.Plan].Name)
	header.Set("X-Time-Left-Ms", strconv.FormatInt(req.timeout().Milliseconds(), 10))
	header.Set("X-IO", fmt.Sprintf("volume=%016x,units=%v,shard=%d,hosts=%d", req.volume.ID, req.units, req.shard, len(req.volume.Hosts)))
	if req.class.Idempotency == idempotentWithKey {
		header.Set("Idempotency-Key", "k-"+req.id)
	}
	return httpRequest
}

// checkLostRequest checks that a request without a response was refused at its connection, or that its gateway has ended.
// s.mu must be held.
func (s *simulation) checkLostRequest(ex exchange) {
	g := ex.gateway
	stopping := !g.stoppingSince.IsZero()
	refused := errors.Is(ex.err, memnet.ErrConnectionRefused)
	ended := ex.incarnation != g.gateway || g.killed || stopping && ex.sentAt.Sub(g.stoppingSince) > shutdownAnnounce
	if refused || ended {
		return
	}
	s.result.LostRequests++
	s.violation("%s (%s): gateway %d, up for %v, stopping %v: lost after %v: %v", ex.id, ex.class.Name, g.index,
		ex.sentAt.Sub(g.startedAt), stopping, ex.respondedAt.Sub(ex.sentAt), ex.err)
}

// checkResponse checks a response against what servers have done. s.mu must be held.
func (s *simulation) checkResponse(ex exchange) {
	if late := ex.respondedAt.Sub(ex.sentAt) - ex.timeout(); late > tolerance {
		s.violation("%s: responded to %v after its deadline", ex.id, late)
	}
	switch code := ex.status; {
	case code == http.StatusOK:
		s.result.Served++
		if !strings.HasPrefix(ex.body, ex.id+" ") {
			s.violation("%s: served with what no server made for it: %q", ex.id, ex.body)
		}
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		s.result.Rejected++
		s.checkRejection(ex)
	case code >= http.StatusInternalServerError:
		s.result.Failed++
	default:
		s.violation("%s: a request in the protocol's form got %d: %s", ex.id, code, ex.body)
	}
}

// checkRejection checks that a rejected request has had no effect that a repeat would double, and that its response carries
// Retry-After only where the settings allow it. s.mu must be held.
func (s *simulation) checkRejection(ex exchange) {
	c := ex.class
	repeatHarmful := c.Idempotency == notIdempotent || c.Idempotency == idempotentWithKey && c.DedupScope != dedupScopeAll
	if repeatHarmful && ex.mayHaveExecuted() {
		s.violation("%s (%s): rejected, though it may have executed", ex.id, c.Idempotency)
	}
	if ex.header.Get("Retry-After") != "" && !s.deployment.RetryAfter {
		s.violation("%s: Retry-After, which the settings forbid", ex.id)
	}
}
