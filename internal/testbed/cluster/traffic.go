package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/testbed/process"
)

// Distribution of the requests that clients draw.
const (
	otherHostOneIn    = 20 // one in this many requests goes to a random host of its volume instead of the primary host
	largeRequestOneIn = 25 // one in this many requests has maxUnits
	maxTypicalUnits   = 3  // other requests have from 1 to maxTypicalUnits units
)

const (
	// clientTimeoutSlack is how much longer than the deadline a client waits for a response.
	clientTimeoutSlack = time.Second
	// maxIdleConnsPerHost is how many idle connections the clients of a volume keep to each gateway.
	maxIdleConnsPerHost = 64
	// interruptionSlack is how long after its end an interruption of a gateway still has an effect: a request that is sent to the
	// gateway in this time may get its response late or not at all.
	interruptionSlack = 50 * time.Millisecond
	// responseSlack is how long after the deadline a response may arrive.
	responseSlack = 500 * time.Millisecond
)

// firstVolume is the ID of the first volume. The other volumes have the following IDs.
const firstVolume = 0xb000

func volumeID(volume int) uint64 { return uint64(firstVolume + volume) }

// requestID identifies a request. It contains the units of the request, so that the fake servers know them.
type requestID struct {
	volume uint64
	units  int
	number int // sequence number among all requests of the run
}

func (id requestID) String() string { return fmt.Sprintf("%x-%d-%d", id.volume, id.units, id.number) }

// parseRequestID parses the volume and the units of a request ID.
func parseRequestID(text string) (id requestID, ok bool) {
	fields := strings.Split(text, "-")
	if len(fields) != 3 {
		return requestID{}, false
	}
	volume, volumeErr := strconv.ParseUint(fields[0], 16, 64)
	units, unitsErr := strconv.Atoi(fields[1])
	return requestID{volume: volume, units: units}, volumeErr == nil && unitsErr == nil
}

// requestSource draws the requests of one volume.
type requestSource struct {
	random *rand.Rand
	hosts  int
	shards int
}

func newRequestSource(options *Options, volume int) *requestSource {
	return &requestSource{random: rand.New(rand.NewPCG(options.Seed, uint64(trafficStream+volume))), hosts: options.HostsPerVolume,
		shards: options.Shards}
}

// drawGap draws the time between two requests. load is the mean rate as a multiple of the volume's limit.
func (s *requestSource) drawGap(load float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / (load * limitRate / meanUnits) * float64(time.Second))
}

// drawnRequest is a request of a volume.
type drawnRequest struct {
	host  int // index among the volume's hosts
	units int
	shard int
}

// drawRequest draws the next request. Most requests go to the primary host.
func (s *requestSource) drawRequest(primaryHost int) drawnRequest {
	drawn := drawnRequest{host: primaryHost}
	if s.random.IntN(otherHostOneIn) == 0 {
		drawn.host = s.random.IntN(s.hosts)
	}
	drawn.units = 1 + s.random.IntN(maxTypicalUnits)
	if s.random.IntN(largeRequestOneIn) == 0 {
		drawn.units = int(maxUnits)
	}
	drawn.shard = s.random.IntN(s.shards)
	return drawn
}

// hosts returns the gateways that receive requests of a volume.
func (c *Cluster) hosts(volume int) (hosts []*process.Process) {
	for i := range c.options.HostsPerVolume {
		hosts = append(hosts, c.gateways[(volume+i)%len(c.gateways)])
	}
	return hosts
}

// sendRequests sends the requests of a volume until the cluster is closed.
func (c *Cluster) sendRequests(volume int) {
	source := newRequestSource(&c.options, volume)
	hosts := c.hosts(volume)
	var clients []*http.Client
	for range hosts {
		clients = append(clients, &http.Client{Timeout: deadlineMs*time.Millisecond + clientTimeoutSlack,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}})
	}
	for {
		c.mu.Lock()
		primaryHost := c.primaryHosts[volume]
		c.mu.Unlock()
		gap := source.drawGap(defaultLoad)
		select {
		case <-c.stop:
			return
		case <-time.After(gap):
		}
		drawn := source.drawRequest(primaryHost)
		id := requestID{volume: volumeID(volume), units: drawn.units, number: c.nextRequestNumber()}
		c.goroutines.Go(func() { c.send(clients[drawn.host], hosts[drawn.host], id, drawn.shard) })
	}
}

func (c *Cluster) nextRequestNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestCount++
	return c.requestCount
}

// send sends a request to a gateway, waits for the response and counts the outcome.
func (c *Cluster) send(client *http.Client, gateway *process.Process, id requestID, shard int) {
	req, err := c.newRequest(gateway, id, shard)
	if err != nil {
		return
	}
	start := time.Now()
	resp, err := client.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	end := time.Now()
	interrupted := gateway.InterruptedDuring(start.Add(-interruptionSlack), end)
	if err != nil {
		if !interrupted && !strings.Contains(err.Error(), "refused") {
			c.addViolation("%s: no response from %s within %v: %v", id, gateway.Name, end.Sub(start), err)
			c.updateResult(func(result *Result) { result.Lost++ })
		}
		return
	}
	c.updateResult(func(result *Result) { result.addResponse(id, resp.StatusCode, string(body)) })
	if late := end.Sub(start) - deadlineMs*time.Millisecond; late > responseSlack && !interrupted {
		c.addViolation("%s: response arrived %v after the deadline", id, late)
	}
}

func (c *Cluster) newRequest(gateway *process.Process, id requestID, shard int) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/pull/%016x", gateway.ListenAddr, id.volume)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Correlation-Id", id.String())
	req.Header.Set("X-Service-Class", "pull")
	req.Header.Set("X-Plan", "basic")
	req.Header.Set("X-Time-Left-Ms", strconv.Itoa(deadlineMs))
	req.Header.Set("X-IO", fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=%d", id.volume, id.units, shard, c.options.HostsPerVolume))
	return req, nil
}

// addResponse counts the response to a request, or records a violation if the response is unexpected.
func (r *Result) addResponse(id requestID, status int, body string) {
	switch {
	case status == http.StatusOK && strings.HasPrefix(body, id.String()+" "):
		r.Served++
		r.ServedUnits += float64(id.units)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.Rejected++
	case status >= http.StatusInternalServerError:
		r.Failed++
	default:
		r.Violations = append(r.Violations, fmt.Sprintf("%s: unexpected response with status %d and body %.40q", id, status, body))
	}
}
