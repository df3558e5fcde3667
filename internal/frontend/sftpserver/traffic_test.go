package sftpserver_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/sftp"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/fakefileserver"
	"gaugerelay/internal/upstream/httpclient"
	"gaugerelay/internal/upstream/sftpclient"
)

// meter is the limit's store of each volume, kept where the nodes are, as the rule counts it.
type meter struct {
	mu       sync.Mutex
	clock    clock.Clock
	plan     scheduler.Plan
	level    map[uint64]float64
	last     map[uint64]float64
	units    map[string]float64 // by wire
	arrivals int64
	worst    float64
}

func (m *meter) take(wire string, volume uint64, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.NowMs()
	if _, ok := m.level[volume]; !ok {
		m.level[volume], m.last[volume] = m.plan.LimitBurst, now
	}
	m.level[volume] = min(m.plan.LimitBurst, m.level[volume]+m.plan.Limit*(now-m.last[volume])/1000) - units
	m.last[volume] = now
	m.worst = min(m.worst, m.level[volume])
	m.units[wire] += units
	m.arrivals++
}

// Clients ask for far more than two basic repositories may have, at once over HTTP and by file commands. What
// reaches the nodes must stay within each one's limit plus slack, and must be what the core has sent: a front
// that went round the core would fail both.
func TestMixedTrafficKeepsLimits(t *testing.T) {
	const unit, workers, steps = 1000, 4, 400
	set := testbed.Settings(2)
	now := clock.NewManual(start)
	m := &meter{clock: now, plan: set.Plans[0], level: map[uint64]float64{}, last: map[uint64]float64{}, units: map[string]float64{}}
	counts := metrics.New()
	decisions, err := scheduler.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	lp := eventloop.New(eventloop.Options{Scheduler: decisions, Clock: now, Metrics: counts})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go lp.Run(ctx)

	list := lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}
	ports := map[string]string{}
	for shard := range 2 {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			q := r.URL.Query()
			volume, _ := strconv.ParseUint(q.Get("volume"), 10, 64)
			units, _ := strconv.ParseFloat(q.Get("units"), 64)
			m.take("http", volume, units)
			io.WriteString(w, "data")
		}))
		defer node.Close()
		files := fakefileserver.New(t)
		files.BeforeEffect = func(c fakefileserver.Command) error {
			volume, _ := strconv.ParseUint(strings.Split(c.Path, "/")[1], 10, 64)
			switch {
			case c.Op != "open":
				m.take("file", volume, max(1, float64((c.Bytes+unit-1)/unit)))
			case c.Flags&sftpwire.FlagCreate != 0: // a client's own OPEN; the others belong to a READ or WRITE
				m.take("file", volume, 1)
			}
			return nil
		}
		name := fmt.Sprint("n", shard)
		list.Servers = append(list.Servers, &lifecycle.Server{Name: name, Addr: node.Listener.Addr().String(), Shard: shard})
		ports[name] = files.Addr
	}
	lp.UpdateEndpoints(list)
	lp.Sync()

	web := httptest.NewServer(&httpserver.Handler{Loop: lp, Clock: now, Metrics: counts, Settings: &set,
		Upstream: httpclient.New(httpclient.Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxConns: 200}, now, counts, lp)})
	defer web.Close()
	ln := testbed.Listen(t)
	front := &sftpserver.Server{Loop: lp, Clock: now, Metrics: counts,
		Options: sftpserver.Options{MaxConns: 32, UnitBytes: unit, ReadClass: set.Classes[0], WriteClass: set.Classes[1], Shards: 2,
			MaxUnits: 6, Roots: []sftpserver.Root{{Path: "/1", Plan: "basic", Volume: 1, Hosts: 1}, {Path: "/2", Plan: "basic", Volume: 2, Hosts: 1}}},
		Upstream: sftpclient.New(sftpclient.Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 200,
			Address: func(n *lifecycle.Server) (string, bool) { return ports[n.Name], true }}, now, counts, lp.Complete)}
	go front.Serve(ln)
	advance := func(ms float64) { // in steps small enough for the module's wakes
		for ; ms > 0; ms -= 10 {
			now.Advance(10)
			lp.Sync()
		}
	}
	advance(3000) // the limits' stores fill: a gateway starts with empty ones

	// Each client asks for one thing at a time, when told to.
	var clients []chan int
	var busy atomic.Int32
	var all sync.WaitGroup
	client := func(ask func(n int)) {
		turns := make(chan int)
		clients = append(clients, turns)
		all.Go(func() {
			for n := range turns {
				ask(n)
				busy.Add(-1)
			}
		})
	}
	for volume := 1; volume <= 2; volume++ {
		for w := range workers {
			client(func(n int) {
				method, class, units := http.MethodGet, "pull", 1+n%6
				if n%3 == 0 {
					method, class = http.MethodPut, "push"
				}
				req, _ := http.NewRequest(method, fmt.Sprintf("%s/%s/%016x?volume=%d&units=%d", web.URL, class, n, volume, units), nil)
				for k, v := range map[string]string{
					"X-Correlation-Id": fmt.Sprintf("%d-%d-%d", volume, w, n), // one of another open request gets 409
					"X-Service-Class":  class, "X-Plan": "basic",
					"X-Time-Left-Ms": "1500", "Idempotency-Key": "k",
					"X-IO": fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=1", volume, units, n%2)} {
					req.Header.Set(k, v)
				}
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			})
			c := (&rig{t: t, ln: ln}).dial()
			conn, err := sftp.NewClientPipe(c, c)
			if err != nil {
				t.Fatal(err)
			}
			f, err := conn.OpenFile(fmt.Sprintf("/%d/file%d", volume, w), os.O_RDWR|os.O_CREATE)
			if err != nil {
				t.Fatal(err)
			}
			client(func(n int) {
				if size := unit * (1 + n%6); n%2 == 0 {
					f.WriteAt(make([]byte, size), 0)
				} else {
					f.ReadAt(make([]byte, min(size, unit)), 0) // no more than there is: a short one is asked for twice
				}
			})
		}
	}
	// settled waits until each client is idle or has its request held by the module, with nothing on its way.
	settled := func() {
		for int32(held(lp, counts)) != busy.Load() {
			runtime.Gosched()
		}
	}
	for step := range steps {
		for i, turns := range clients {
			select {
			case turns <- step + i:
				busy.Add(1)
			default: // its request is held
			}
		}
		settled()
		now.Advance(10)
	}
	for busy.Load() > 0 {
		settled()
		now.Advance(10)
	}
	for _, turns := range clients {
		close(turns)
	}
	all.Wait()

	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("lowest level %.1f, units %v, refused %d of %d", m.worst, m.units, counts.Get("answers_rejected"), counts.Get("requests_accepted"))
	if m.worst < -m.plan.LimitOverdraft {
		t.Errorf("a store fell to %.1f, the slack is %.1f", m.worst, m.plan.LimitOverdraft)
	}
	if m.arrivals != counts.Get("attempts_started") {
		t.Errorf("%d requests reached the nodes, the core sent %d", m.arrivals, counts.Get("attempts_started"))
	}
	// The test would prove nothing if either wire were idle or the limits did not bind.
	if m.units["http"] < 30 || m.units["file"] < 30 || counts.Get("answers_rejected") == 0 {
		t.Errorf("units %v, %d refused", m.units, counts.Get("answers_rejected"))
	}
}
