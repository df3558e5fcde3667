// Command review-2 plays the cases 6, 7 and 9 of the review: stand-ins for clients, storage nodes and discovery in this process, and
// gateways as separate processes, on loopback addresses and the real clock.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// record writes the record of a case.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *record) f(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// say records a line and prints it.
func (r *record) say(format string, args ...any) {
	r.f(format, args...)
	fmt.Printf(format+"\n", args...)
}

// play is what a case gets.
type play struct {
	*record
	trouble  bool
	root     string // of the project
	dir      string // temporary folder
	gateways int    // number of gateways that were started
	ends     []func()
}

var cases = map[string]func(*play) int{}

func main() {
	name := flag.String("case", "", "number of the case")
	root := flag.String("root", "", "root of the project")
	path := flag.String("record", "", "file of the record")
	flag.Parse()
	os.Exit(run(*name, *root, *path))
}

func run(name, root, path string) (code int) {
	playCase := cases[name]
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	file, err := os.Create(path)
	if playCase == nil || err != nil {
		fmt.Println("cannot run:", name, err)
		return unable
	}
	defer file.Close()
	rec := &record{out: bufio.NewWriter(file), start: time.Now()}
	defer rec.out.Flush()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return unable
	}
	defer os.RemoveAll(dir)
	p := &play{record: rec, trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir}
	defer func() {
		for _, end := range p.ends {
			end()
		}
		p.say("case %s trouble=%v: exit %d (0 held, 1 broken, 2 could not run)", name, p.trouble, code)
	}()
	result := make(chan int, 1)
	go func() {
		defer func() {
			if err := recover(); err != nil {
				p.say("cannot run: %v", err)
				result <- unable
			}
		}()
		result <- playCase(p)
	}()
	select {
	case code := <-result:
		return code
	case received := <-stop:
		p.say("cannot run: %v", received)
	case <-time.After(100 * time.Second):
		p.say("cannot run: the time is over")
	}
	return unable
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// acceptAll accepts connections on a free loopback port, serves each in a goroutine of its own, and returns the address.
func acceptAll(serve func(net.Conn)) string {
	l := listen()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// freeAddr returns a loopback address that is free now.
func freeAddr() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// server is an entry of the list of storage nodes.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

type serverList struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// agent starts this machine's agent of discovery, which has one list that does not change.
func agent(list serverList) string {
	l := listen()
	line, _ := json.Marshal(list)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write(append(line, '\n'))
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				w.Write([]byte("\n"))
			}
		}
	}))
	return l.Addr().String()
}

// lane returns a class of the settings.
func lane(name, effect string, promise, deadline float64, more map[string]any) map[string]any {
	l := map[string]any{"Name": name, "Idempotency": effect, "KeyScope": "cell", "PromiseMs": promise, "DeadlineMs": deadline,
		"DedupWindowMs": 3000.0, "Worth": 2.0, "LateValue": 0.15, "Stream": false}
	for key, value := range more {
		l[key] = value
	}
	return l
}

// settings returns the settings of a small deployment with the classes pull, push and bulk-read.
func settings(shards int, push map[string]any) map[string]any {
	return map[string]any{"Siblings": 1, "SelfIndex": 0, "TickMs": 2.0, "Discovery": "ask", "Zones": []string{"a"}, "MyZone": "a",
		"Lanes": []any{lane("pull", "repeatable", 300, 1500, nil), push, lane("bulk-read", "repeatable", 1500, 5000, nil)},
		"Plans": []any{
			map[string]any{"Name": "basic", "UsualRate": 400.0, "Reservation": 200.0, "Shares": 1, "Pays": 1},
			map[string]any{"Name": "business", "UsualRate": 800.0, "Reservation": 400.0, "Shares": 2, "Pays": 1}},
		"Limits": map[string]any{"AttemptsCap": 3, "MayDuplicate": true, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500.0,
			"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "StreamsPerConn": 100},
		"Invariants": map[string]any{"GraceToAnswerMs": 8.0, "DrainGraceMs": 1000.0, "AskWithinMs": 10000.0, "FallMs": 3000.0,
			"FallMultiple": 2.5, "RampTimeMs": 15000.0, "StartCapacity": 0.28},
		"FamilyInfo": map[string]any{"ClassWrites": []bool{false, true, false}, "MeanUnits": 2.0, "MostUnits": 6.0, "NShards": shards,
			"FairWorth": 0.3, "IdleWorth": 0.05, "ColdBears": 51.0}}
}

// gateway is a gateway process.
type gateway struct {
	listen, config string
	cmd            *exec.Cmd
	exited         chan struct{}
	values         map[string]any
}

// startGateway writes the configuration and starts the program as the deploy file does. The edge is the operator's file; nil: none.
func (p *play) startGateway(list serverList, discovery string, memoryMB int, set, edge map[string]any) *gateway {
	name := fmt.Sprintf("n%d", p.gateways)
	p.gateways++
	dir := filepath.Join(p.dir, name)
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		panic(err)
	}
	g := &gateway{listen: freeAddr(), config: filepath.Join(dir, "config.json"), exited: make(chan struct{})}
	g.values = map[string]any{"name": name, "listen": g.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "known": list, "settings": set}
	p.writeJSON(g.config, g.values)
	command := "exec bin/gaugerelay"
	if edge != nil {
		path := filepath.Join(dir, "edge.json")
		p.writeJSON(path, edge)
		command += " -edge " + path
	}
	g.cmd = exec.CommandContext(context.Background(), "/bin/sh", "-c", command)
	g.cmd.Dir = p.root
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+g.config, "ROUTER_NAME="+name, "ROUTER_LISTEN="+g.listen,
		"ROUTER_DISCOVERY="+discovery, "TMPDIR="+tmp)
	stderr, err := g.cmd.StderrPipe()
	if err != nil {
		panic(err)
	}
	if err := g.cmd.Start(); err != nil {
		panic(err)
	}
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.f("gateway: %s", lines.Text())
		}
		g.cmd.Wait()
		close(g.exited)
	}()
	p.ends = append(p.ends, func() { g.cmd.Process.Kill(); <-g.exited })
	for range 200 {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if r, err := client.Get("http://" + g.listen + "/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return g
			}
		}
		select {
		case <-g.exited:
			panic("the gateway has ended before it was ready")
		case <-time.After(50 * time.Millisecond):
		}
	}
	panic("the gateway is not ready")
}

func (p *play) writeJSON(path string, value any) {
	text, err := json.MarshalIndent(value, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o644)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		panic(err)
	}
}

// running reports whether the gateway has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// metrics returns the lines of GET /metrics that have one of the prefixes.
func (g *gateway) metrics(prefixes ...string) (lines []string) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + g.listen + "/metrics")
	if err != nil {
		return []string{err.Error()}
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	for _, line := range strings.Split(string(text), "\n") {
		for _, prefix := range prefixes {
			if strings.HasPrefix(line, prefix) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// nodes returns a list of storage nodes at the given addresses, one cell each.
func nodes(addrs ...string) serverList {
	list := serverList{Version: 41, Full: true}
	for i, addr := range addrs {
		list.Servers = append(list.Servers, server{fmt.Sprintf("s-%d", i), addr, "a", "std-node", i, "Ready", 1, 0})
	}
	return list
}

// sockets is the number of descriptors that a gateway may have.
const sockets = 512
