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
	trafficWorkers   = 4 // clients of each protocol and volume
	trafficSteps     = 400
	trafficShards    = 2
	trafficVolumes   = 2
)

// limitMeter is the token bucket of each volume's limit, as the rule counts it at the storage servers.
type limitMeter struct {
	clock clock.Clock
	plan  scheduler.Plan

	mu       sync.Mutex
	level    map[uint64]float64
	updated  map[uint64]float64
	units    map[string]float64 // by protocol
	arrivals int64
	lowest   float64 // level of any volume
}

func newLimitMeter(c clock.Clock, plan scheduler.Plan) *limitMeter {
	return &limitMeter{clock: c, plan: plan, level: map[uint64]float64{}, updated: map[uint64]float64{}, units: map[string]float64{}}
}

// take counts a request that has arrived at a storage server.
func (m *limitMeter) take(protocol string, volume uint64, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.NowMs()
	if _, ok := m.level[volume]; !ok {
		m.level[volume], m.updated[volume] = m.plan.LimitBurst, now
	}
	m.level[volume] = min(m.plan.LimitBurst, m.level[volume]+m.plan.Limit*(now-m.updated[volume])/1000) - units
	m.updated[volume] = now
	m.lowest = min(m.lowest, m.level[volume])
	m.units[protocol] += units
	m.arrivals++
}

// serveHTTP is a storage server for HTTP.
func (m *limitMeter) serveHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	volume, volumeErr := strconv.ParseUint(query.Get("volume"), 10, 64)
	units, unitsErr := strconv.ParseFloat(query.Get("units"), 64)
	if err := errors.Join(volumeErr, unitsErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.take("http", volume, units)
	_, _ = io.WriteString(w, "data") // the gateway may have canceled the attempt
}

// countCommand is the answer of a file server to a command.
func (m *limitMeter) countCommand(command fakefileserver.Command) error {
	volume, err := strconv.ParseUint(strings.Split(command.Path, "/")[1], 10, 64)
	if err != nil {
		return err
	}
	switch {
	case command.Op != "open":
		m.take("file", volume, max(1, float64((command.Bytes+trafficUnitBytes-1)/trafficUnitBytes)))
	case command.Flags&sftpwire.FlagCreate != 0: // a client's own OPEN; the others belong to a READ or WRITE
		m.take("file", volume, 1)
	}
	return nil
}

// trafficClient performs one request at a time, one for each number that it receives.
type trafficClient struct{ requests chan int }

// trafficTest is a gateway for HTTP and SFTP with its storage servers and clients.
type trafficTest struct {
	t        *testing.T
	settings scheduler.Settings
	clock    *clock.Manual
	counters *metrics.Registry
	meter    *limitMeter
	loop     *eventloop.Loop
	httpURL  string
	listener net.Listener // of the SFTP server

	clients []trafficClient
	busy    atomic.Int32 // clients that perform a request
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
			Roots: []sftpserver.Root{{Path: "/1", Plan: "basic", Volume: 1, Gateways: 1}, {Path: "/2", Plan: "basic", Volume: 2, Gateways: 1}}}},
		test.listener)
}

// fillBuckets lets the token buckets of a new gateway, which are empty, fill in steps small enough for its timers.
func (test *trafficTest) fillBuckets() {
	for range 300 {
		test.clock.Advance(10)
		test.loop.Sync()
	}
}

// addClient starts a client that performs a request for each number.
func (test *trafficTest) addClient(perform func(n int)) {
	client := trafficClient{make(chan int)}
	test.clients = append(test.clients, client)
	test.running.Go(func() {
		for n := range client.requests {
			perform(n)
			test.busy.Add(-1)
		}
	})
}

func (test *trafficTest) addHTTPClient(volume, worker int) {
	test.addClient(func(n int) {
		request, err := test.newHTTPRequest(volume, worker, n)
		if err != nil {
			test.t.Error(err)
			return
		}
		// Rejections and canceled requests count as well: the meter is what the test looks at.
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	})
}

func (test *trafficTest) newHTTPRequest(volume, worker, n int) (*http.Request, error) {
	method, class, units := http.MethodGet, "pull", 1+n%6
	if n%3 == 0 {
		method, class = http.MethodPut, "push"
	}
	url := fmt.Sprintf("%s/%s/%016x?volume=%d&units=%d", test.httpURL, class, n, volume, units)
	request, err := http.NewRequestWithContext(test.t.Context(), method, url, nil)
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]string{
		"X-Correlation-Id": fmt.Sprintf("%d-%d-%d", volume, worker, n), // two open requests with the same one get 409
		"X-Service-Class":  class,
		"X-Plan":           "basic",
		"X-Time-Left-Ms":   "1500",
		"Idempotency-Key":  "k",
		"X-IO":             fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=1", volume, units, n%trafficShards),
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
	test.addClient(func(n int) {
		// Rejections are part of the traffic, so errors do not count.
		if size := trafficUnitBytes * (1 + n%6); n%2 == 0 {
			_, _ = file.WriteAt(make([]byte, size), 0)
		} else {
			// The library requests the rest of a short READ: no more than the file has.
			_, _ = file.ReadAt(make([]byte, min(size, trafficUnitBytes)), 0)
		}
	})
}

// waitSettled waits until each client is idle or has its request queued, and nothing is in flight.
func (test *trafficTest) waitSettled() {
	for int32(queuedRequests(test.loop, test.counters)) != test.busy.Load() {
		runtime.Gosched()
	}
}

// startRequests starts a request at each client that is idle.
func (test *trafficTest) startRequests(step int) {
	for i, client := range test.clients {
		select {
		case client.requests <- step + i:
			test.busy.Add(1)
		default: // its request is queued
		}
	}
}

// finish lets the clients finish their requests.
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

// TestMixedTrafficKeepsLimits has clients request far more than the limits of two volumes over HTTP and SFTP at once. What
// arrives at the storage servers must stay within the limit of each volume plus its overdraft, and must be what the scheduler
// has started: a frontend that bypassed the scheduler would fail both.
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
	t.Logf("lowest level %.1f, units %v, rejected %d of %d", meter.lowest, meter.units, rejected, test.counters.Get("requests_accepted"))
	if meter.lowest < -meter.plan.LimitOverdraft {
		t.Errorf("a level fell to %.1f, the overdraft is %.1f", meter.lowest, meter.plan.LimitOverdraft)
	}
	if started := test.counters.Get("attempts_started"); meter.arrivals != started {
		t.Errorf("%d requests arrived at the servers, %d were started", meter.arrivals, started)
	}
	// The test would prove nothing if a protocol were idle or the limits were not reached.
	if meter.units["http"] < 30 || meter.units["file"] < 30 || rejected == 0 {
		t.Errorf("units %v, %d rejected", meter.units, rejected)
	}
}
