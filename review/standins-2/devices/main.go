// Command review-2-devices plays the cases 8 and 10 of the review. It starts the gateway as the deploy file does, with stand-ins for
// clients, storage nodes and the discovery agent on loopback addresses, and judges one rule in each case. All stand-ins use the
// standard library only.
//
//	review-2-devices CASE ROOT RECORD
//
// CASE is the number of the case, ROOT the root of the project, RECORD the file that gets what was sent, answered and run. The
// variable TROUBLE=0 leaves the disruption out. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is what all cases share.
type rig struct {
	root, dir string
	trouble   bool
	memoryMB  int // limit of each gateway
	start     time.Time

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	nodes    []map[string]any // entries of the endpoint list
	broken   int
	bad      error // why the case could not run
}

// ms returns the time since the start of the case in milliseconds.
func (r *rig) ms() float64 { return float64(time.Since(r.start)) / float64(time.Millisecond) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f %s\n", r.ms(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	r.note("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// fail ends the case because it cannot run.
func (r *rig) fail(err error) { panic(cannotRun{err}) }

type cannotRun struct{ err error }

// check ends the case if err is not nil.
func (r *rig) check(err error) {
	if err != nil {
		r.fail(err)
	}
}

// listen opens a listener on a free loopback port.
func (r *rig) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err)
	return l
}

// freeAddr returns a loopback address that is free now.
func (r *rig) freeAddr() string {
	l := r.listen()
	defer l.Close()
	return l.Addr().String()
}

// addNode adds a storage node to the endpoint list.
func (r *rig) addNode(id, addr string, cell int) {
	r.nodes = append(r.nodes, map[string]any{"id": id, "addr": addr, "zone": "a", "kind": "node", "cell": cell, "state": "Ready",
		"weight": 1.0, "started_ms": 0})
}

// list returns the endpoint list as discovery sends it.
func (r *rig) list() map[string]any {
	return map[string]any{"version": 41, "full": true, "servers": r.nodes}
}

// agent starts the agent of discovery: it answers with the list, and a watch gets an empty line every 2 s.
func (r *rig) agent() string {
	line, err := json.Marshal(r.list())
	r.check(err)
	l := r.listen()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Write(append(line, '\n'))
		if q.URL.Query().Get("watch") == "" {
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-q.Context().Done():
				return
			case <-time.After(2 * time.Second):
			}
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}))
	return l.Addr().String()
}

// lane is a class of requests in the settings.
type lane struct {
	name               string
	promise, deadline  int
	idempotency, scope string
	window             int
	write              bool
}

// settings returns the settings of a small deployment with pushed lists.
func settings(gateways, self, shards, attempts int, lanes []lane) map[string]any {
	classes, writes := []any{}, []bool{}
	for _, l := range lanes {
		classes = append(classes, map[string]any{"Name": l.name, "PromiseMs": l.promise, "DeadlineMs": l.deadline, "Idempotency": l.idempotency,
			"KeyScope": l.scope, "DedupWindowMs": l.window, "Worth": 2, "LateValue": 0.1, "Stream": false})
		writes = append(writes, l.write)
	}
	return map[string]any{"Siblings": gateways, "SelfIndex": self, "TickMs": 2, "Discovery": "push", "Zones": []string{"a"}, "MyZone": "a",
		"Lanes": classes,
		"Plans": []any{
			map[string]any{"Name": "basic", "UsualRate": 4.1, "Reservation": 2, "Shares": 1, "Pays": 0.96, "CeilingRate": 33, "CapDepth": 53,
				"CapSlack": 6},
			map[string]any{"Name": "business", "UsualRate": 8.2, "Reservation": 8.2, "Shares": 2, "Pays": 0.9, "CeilingRate": 0, "CapDepth": 0,
				"CapSlack": 0}},
		"Limits": map[string]any{"AttemptsCap": attempts, "MayDuplicate": false, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500,
			"ConnIdleMs": 30000, "ConnectTimeoutMs": 250, "Probing": false, "Peers": false, "StreamsPerConn": 1},
		"Invariants": map[string]any{"GraceToAnswerMs": 8, "DrainGraceMs": 1000, "FallMs": 3000, "FallMultiple": 2.5, "RampTimeMs": 15000,
			"StartCapacity": 0.28},
		"FamilyInfo": map[string]any{"ClassWrites": writes, "MeanUnits": 2, "MostUnits": 6, "NShards": shards, "FairWorth": 0.3, "IdleWorth": 0.05,
			"ColdBears": 51, "UsePeriodMs": 0, "TellsElsewhere": false}}
}

// kolkata are the classes of the site kolkata-east.
var kolkata = []lane{{"pull", 300, 1500, "repeatable", "all", 5000, false}, {"push", 400, 3000, "by_key", "cell", 3000, true},
	{"bulk-read", 1500, 5000, "repeatable", "all", 5000, false}}

// recife are the classes of the site recife-main.
var recife = []lane{{"cv-read", 200, 1200, "repeatable", "all", 5000, false}, {"apply-write", 300, 2500, "once", "all", 5000, true},
	{"report-export", 1500, 5000, "repeatable", "all", 5000, false}}

// gateway is a gateway process.
type gateway struct {
	name, addr string
	cmd        *exec.Cmd
	exited     chan struct{}
	config     string
}

// startGateway starts a gateway with the command of the deploy file, and waits until it is ready. edge is the operator's file, or nil.
func (r *rig) startGateway(name, discovery string, settings map[string]any, edge map[string]any) *gateway {
	g := &gateway{name: name, addr: r.freeAddr(), exited: make(chan struct{})}
	g.config = filepath.Join(r.dir, name+".json")
	r.writeJSON(g.config, map[string]any{"name": name, "listen": g.addr, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", uint64(time.Now().UnixNano())), "limits": map[string]any{"cores": 1.0, "memory_mb": r.memoryMB, "sockets": 1024},
		"known": r.list(), "settings": settings})
	run := "exec bin/gaugerelay"
	if edge != nil {
		file := filepath.Join(r.dir, name+"-edge.json")
		r.writeJSON(file, edge)
		run += " -edge '" + file + "'"
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	r.check(err)
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = r.root, log, log
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+g.config, "ROUTER_NAME="+name, "ROUTER_LISTEN="+g.addr, "ROUTER_DISCOVERY="+discovery)
	r.check(g.cmd.Start())
	r.mu.Lock()
	r.gateways = append(r.gateways, g)
	r.mu.Unlock()
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	for range 500 {
		select {
		case <-g.exited:
			text, _ := os.ReadFile(log.Name())
			r.fail(fmt.Errorf("gateway %s ended: %s", name, text))
		case <-time.After(20 * time.Millisecond):
		}
		if response, err := http.Get("http://" + g.addr + "/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.note("gateway %s is ready at %s", name, g.addr)
				return g
			}
		}
	}
	r.fail(fmt.Errorf("gateway %s is not ready", name))
	return nil
}

// logs copies the lines of a gateway's log that contain one of the words to the record.
func (r *rig) logs(g *gateway, words ...string) {
	text, _ := os.ReadFile(filepath.Join(r.dir, g.name+".log"))
	for _, line := range strings.Split(string(text), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				r.note("log of %s: %s", g.name, line)
				break
			}
		}
	}
}

func (r *rig) writeJSON(path string, value any) {
	text, err := json.Marshal(value)
	r.check(err)
	r.check(os.WriteFile(path, text, 0o644))
}

// end kills the gateways that still run.
func (r *rig) end() {
	for _, g := range r.gateways {
		select {
		case <-g.exited:
		default:
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
}

// cases holds the cases by their numbers. The file of each case adds it.
var cases = map[int]func(*rig){}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2-devices CASE ROOT RECORD")
		return 2
	}
	number, _ := strconv.Atoi(os.Args[1])
	play := cases[number]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	r := &rig{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", memoryMB: 192, start: time.Now(), record: record}
	giveUp := func(why string) {
		r.note("%s", why)
		r.end()
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() { giveUp("the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp(fmt.Sprint("ended by ", <-signals)) }()
	defer func() {
		r.end()
		var cannot cannotRun
		if value := recover(); value != nil {
			err, _ := value.(cannotRun)
			cannot = err
			if cannot.err == nil {
				cannot.err = errors.New(fmt.Sprint(value))
			}
			r.note("the case could not run: %v", cannot.err)
			fmt.Println("could not run:", cannot.err)
			status = 2
			return
		}
		status = 0
		if r.broken > 0 {
			status = 1
		}
		r.note("the rule was broken %d times, status %d", r.broken, status)
		fmt.Printf("case %d, trouble %v: broken %d times\n", number, r.trouble, r.broken)
	}()
	play(r)
	return status
}
