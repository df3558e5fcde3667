package sftpserver_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/fakefileserver"
	"gaugerelay/internal/upstream/httpclient"
	"gaugerelay/internal/upstream/sftpclient"
)

// Size of the traffic test.
const (
	trafficUnitBytes = 1000
	trafficWorkers   = 4 // number of clients for each protocol and volume
	trafficSteps     = 400
	trafficShards    = 2
	trafficVolumes   = 2
)

// limitMeter checks the traffic that arrives at the storage servers against each volume's limit, with one token bucket for each
// volume.
type limitMeter struct {
	clock clock.Clock
	plan  scheduler.Plan

	mu          sync.Mutex
	level       map[uint64]float64 // units in the token bucket, by volume; negative: overdrawn
	updated     map[uint64]float64 // time of the last update of level in milliseconds, by volume
	units       map[string]float64 // units of all requests that have arrived, by protocol
	arrivals    int64              // number of requests that have arrived
	lowestLevel float64            // lowest level that any volume has had
}

func newLimitMeter(c clock.Clock, plan scheduler.Plan) *limitMeter {
	return &limitMeter{clock: c, plan: plan, level: map[uint64]float64{}, updated: map[uint64]float64{}, units: map[string]float64{}}
}

// recordArrival records a request that has arrived at a storage server.
func (m *limitMeter) recordArrival(protocol string, volume uint64, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.NowMs()
	if _, ok := m.level[volume]; !ok {
		m.level[volume], m.updated[volume] = m.plan.LimitBurst, now
	}
	m.level[volume] = min(m.plan.LimitBurst, m.level[volume]+m.plan.Limit*(now-m.updated[volume])/1000) - units
	m.updated[volume] = now
	m.lowestLevel = min(m.lowestLevel, m.level[volume])
	m.units[protocol] += units
	m.arrivals++
}

// serveHTTP handles a request that has arrived at an HTTP storage server.
func (m *limitMeter) serveHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	volume, volumeErr := strconv.ParseUint(query.Get("volume"), 10, 64)
	units, unitsErr := strconv.ParseFloat(query.Get("units"), 64)
	if err := errors.Join(volumeErr, unitsErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.recordArrival("http", volume, units)
	_, _ = io.WriteString(w, "data") // the gateway may have canceled the attempt
}

// countCommand records a command that has arrived at a file server.
func (m *limitMeter) countCommand(command fakefileserver.Command) error {
	volume, err := strconv.ParseUint(strings.Split(command.Path, "/")[1], 10, 64)
	if err != nil {
		return err
	}
	switch {
	case command.Op != "open":
		m.recordArrival("file", volume, max(1, float64((command.Bytes+trafficUnitBytes-1)/trafficUnitBytes)))
	case command.Flags&sftpwire.FlagCreate != 0: // an OPEN of a client; the gateway's own OPENs for a READ or WRITE are not counted
		m.recordArrival("file", volume, 1)
	}
	return nil
}

// trafficClient performs one request at a time: one for each sequence number that it receives.
type trafficClient struct{ requests chan int }

// trafficTest holds a gateway for HTTP and SFTP, its storage servers and its clients.
type trafficTest struct {
	t        *testing.T
	settings scheduler.Settings
	clock    *clock.Manual
	counters *metrics.Registry
	meter    *limitMeter
	loop     *eventloop.Loop
	httpURL  string
	listener net.Listener // listener of the SFTP server

	clients []trafficClient
	busy    atomic.Int32 // number of clients that are performing a request
	running sync.WaitGroup
}

func newTrafficTest(t *testing.T) *trafficTest {
	t.Helper()
	test := &trafficTest{t: t, settings: testbed.Settings(trafficShards), clock: clock.NewManual(startMs), counters: metrics.New(),
		listener: testbed.Listen(t)}
	test.meter = newLimitMeter(test.clock, test.settings.Plans[0])
	test.loop = startLoop(t, test.settings, test.clock, test.counters)
	fileServers := test.startStorageServers()
	test.startHTTP()
	test.startSFTP(fileServers)
	return test
}

// startStorageServers starts the storage servers and returns the addresses of their SFTP ports, by name.
func (test *trafficTest) startStorageServers() map[string]string {
	update := lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}
	fileServers := map[string]string{}
	for shard := range trafficShards {
		server := httptest.NewServer(http.HandlerFunc(test.meter.serveHTTP))
		test.t.Cleanup(server.Close)
		files := fakefileserver.New(test.t)
		files.BeforeEffect = test.meter.countCommand
		name := fmt.Sprint("n", shard)
		update.Servers = append(update.Servers, &lifecycle.Server{Name: name, Addr: server.Listener.Addr().String(), Shard: shard})
		fileServers[name] = files.Addr
	}
	test.loop.UpdateEndpoints(update)
	test.loop.Sync()
	return fileServers
}

func (test *trafficTest) startHTTP() {
	upstream := httpclient.New(httpclient.Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxConns: 200},
		test.clock, test.counters, test.loop)
	server := httptest.NewServer(&httpserver.Handler{Loop: test.loop, Clock: test.clock, Metrics: test.counters,
		Settings: &test.settings, Upstream: upstream})
	test.t.Cleanup(server.Close)
	test.httpURL = server.URL
}

func (test *trafficTest) startSFTP(fileServers map[string]string) {
	upstream := sftpclient.New(sftpclient.Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 200,
		Address: func(server *lifecycle.Server) (string, bool) { return fileServers[server.Name], true }},
		test.clock, test.counters, test.loop.Complete)
	serve(test.t, &sftpserver.Server{Loop: test.loop, Clock: test.clock, Metrics: test.counters, Upstream: upstream,
		Options: sftpserver.Options{MaxConns: 32, UnitBytes: trafficUnitBytes, ReadClass: test.settings.Classes[0],
			WriteClass: test.settings.Classes[1], Shards: trafficShards, MaxUnits: 6,
			Roots: []sftpserver.Root{{Path: "/1", Plan: "basic", Volume: 1, Gateways: 1},
				{Path: "/2", Plan: "basic", Volume: 2, Gateways: 1}}}},
		test.listener)
}

// fillBuckets advances the clock until the token buckets of the new gateway, which start empty, are full. The clock advances in small
// steps, so that the gateway can handle its timers in between.
func (test *trafficTest) fillBuckets() {
	for range 300 {
		test.clock.Advance(10)
		test.loop.Sync()
	}
}

// addClient starts a client that calls perform for each sequence number it receives.
func (test *trafficTest) addClient(perform func(sequence int)) {
	client := trafficClient{make(chan int)}
	test.clients = append(test.clients, client)
	test.running.Go(func() {
		for sequence := range client.requests {
			perform(sequence)
			test.busy.Add(-1)
		}
	})
}

func (test *trafficTest) addHTTPClient(volume, worker int) {
	test.addClient(func(sequence int) {
		request, err := test.newHTTPRequest(volume, worker, sequence)
		if err != nil {
			test.t.Error(err)
			return
		}
		// The response is not checked, since rejections and cancellations are expected.
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	})
}

func (test *trafficTest) newHTTPRequest(volume, worker, sequence int) (*http.Request, error) {
	method, class, units := http.MethodGet, "pull", 1+sequence%6
	if sequence%3 == 0 {
		method, class = http.MethodPut, "push"
	}
	url := fmt.Sprintf("%s/%s/%016x?volume=%d&units=%d", test.httpURL, class, sequence, volume, units)
	request, err := http.NewRequestWithContext(test.t.Context(), method, url, nil)
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]string{
		"X-Correlation-Id": fmt.Sprintf("%d-%d-%d", volume, worker, sequence), // unique: a second open request with the same ID gets 409
		"X-Service-Class":  class,
		"X-Plan":           "basic",
		"X-Time-Left-Ms":   "1500",
		"Idempotency-Key":  "k",
		"X-IO":             fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=1", volume, units, sequence%trafficShards),
	} {
		request.Header.Set(name, value)
	}
	return request, nil
}

func (test *trafficTest) addSFTPClient(volume, worker int) {
	test.t.Helper()
	client := newClient(test.t, dial(test.t, test.listener.Addr().String()))
	file, err := client.OpenFile(fmt.Sprintf("/%d/file%d", volume, worker), os.O_RDWR|os.O_CREATE)
	if err != nil {
		test.t.Fatal(err)
	}
	test.addClient(func(sequence int) {
		// Errors are ignored, since rejections are expected.
		if size := trafficUnitBytes * (1 + sequence%6); sequence%2 == 0 {
			_, _ = file.WriteAt(make([]byte, size), 0)
		} else {
			// The READ asks for no more than the smallest WRITE stores: after a short READ, the library would send a second one.
			_, _ = file.ReadAt(make([]byte, min(size, trafficUnitBytes)), 0)
		}
	})
}

// waitSettled waits until each client is idle or has a queued request, and no attempt is in flight.
func (test *trafficTest) waitSettled() {
	for int32(queuedRequests(test.loop, test.counters)) != test.busy.Load() {
		runtime.Gosched()
	}
}

// startRequests makes each idle client perform a request.
func (test *trafficTest) startRequests(step int) {
	for i, client := range test.clients {
		select {
		case client.requests <- step + i:
			test.busy.Add(1)
		default: // the client is busy: its request is queued
		}
	}
}

// finish waits until the clients have finished their requests, and stops them.
func (test *trafficTest) finish() {
	for test.busy.Load() > 0 {
		test.waitSettled()
		test.clock.Advance(10)
	}
	for _, client := range test.clients {
		close(client.requests)
	}
	test.running.Wait()
}

// TestMixedTrafficKeepsLimits checks that HTTP and SFTP traffic together stays within the limits of two volumes although the
// clients request far more. The requests that arrive at the storage servers must stay within the limit of each volume plus its
// overdraft, and their number must be the number of attempts that the scheduler has started. A frontend that bypassed the
// scheduler would fail both checks.
func TestMixedTrafficKeepsLimits(t *testing.T) {
	test := newTrafficTest(t)
	test.fillBuckets()
	for volume := 1; volume <= trafficVolumes; volume++ {
		for worker := range trafficWorkers {
			test.addHTTPClient(volume, worker)
			test.addSFTPClient(volume, worker)
		}
	}
	for step := range trafficSteps {
		test.startRequests(step)
		test.waitSettled()
		test.clock.Advance(10)
	}
	test.finish()

	meter := test.meter
	meter.mu.Lock()
	defer meter.mu.Unlock()
	rejected := test.counters.Get("answers_rejected")
	t.Logf("lowest level %.1f, units by protocol %v, rejected %d of %d requests",
		meter.lowestLevel, meter.units, rejected, test.counters.Get("requests_accepted"))
	if meter.lowestLevel < -meter.plan.LimitOverdraft {
		t.Errorf("token bucket of a volume fell to %.1f units, want no more than %.1f below 0",
			meter.lowestLevel, meter.plan.LimitOverdraft)
	}
	if started := test.counters.Get("attempts_started"); meter.arrivals != started {
		t.Errorf("%d requests arrived at the storage servers, want the number of started attempts: %d", meter.arrivals, started)
	}
	// The checks above prove nothing unless both protocols have traffic and the limits are reached.
	if meter.units["http"] < 30 || meter.units["file"] < 30 || rejected == 0 {
		t.Errorf("units by protocol %v, %d requests rejected; want at least 30 units each and a rejection", meter.units, rejected)
	}
}
