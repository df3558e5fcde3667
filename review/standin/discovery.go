package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Discovery serves the endpoint list and its changes.
type Discovery struct {
	Addr string
	// Opened gets the time at which the first watch was opened.
	Opened chan time.Time
	// BeforeCall, if set, is called for each call of a watch. If it returns false, the call is answered by 503.
	BeforeCall func() bool

	mu       sync.Mutex
	list     List
	changes  []List
	changed  chan struct{} // closed at the next change
	silenced chan struct{} // closed by Silence
	ended    chan struct{} // closed by EndWatches
}

// StartDiscovery starts a discovery service on a loopback port.
func StartDiscovery(env *Env, list List, beforeCall func() bool) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), Opened: make(chan time.Time, 1), BeforeCall: beforeCall, list: list,
		changed: make(chan struct{}), silenced: make(chan struct{}), ended: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(env, w, r) })}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// Silence makes the open watches fall silent: they stay open and carry nothing more.
func (d *Discovery) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// EndWatches ends the open watches.
func (d *Discovery) EndWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.ended)
	d.ended = make(chan struct{})
}

// Change sets the state of one server and tells the open watches.
func (d *Discovery) Change(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	for i := range d.list.Servers {
		if server := &d.list.Servers[i]; server.ID == id {
			server.State = state
			d.changes = append(d.changes, List{Version: d.list.Version, Servers: []Server{*server}})
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serve(env *Env, w http.ResponseWriter, r *http.Request) {
	env.Logf("discovery: call %s", r.URL)
	if d.BeforeCall != nil && !d.BeforeCall() {
		env.Logf("discovery: 503")
		http.Error(w, "waited too long", http.StatusServiceUnavailable)
		return
	}
	d.mu.Lock()
	list, next, changed := d.list, len(d.changes), d.changed
	silenced, ended := d.silenced, d.ended
	text, _ := json.Marshal(list)
	d.mu.Unlock()
	fmt.Fprintf(w, "%s\n", text)
	env.Logf("discovery: list of version %d", list.Version)
	if r.URL.Query().Get("watch") == "" {
		return
	}
	control := http.NewResponseController(w)
	_ = control.Flush()
	select {
	case d.Opened <- time.Now():
	default:
	}
	for {
		select {
		case <-r.Context().Done():
			env.Logf("discovery: the watch has ended")
			return
		case <-ended:
			env.Logf("discovery: ends the watch")
			return
		case <-silenced:
			env.Logf("discovery: the watch falls silent")
			select {
			case <-ended:
				env.Logf("discovery: ends the watch")
			case <-r.Context().Done():
				env.Logf("discovery: the watch has ended")
			}
			return
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		case <-changed:
			d.mu.Lock()
			changes := d.changes[next:]
			next, changed = len(d.changes), d.changed
			d.mu.Unlock()
			for _, change := range changes {
				text, _ := json.Marshal(change)
				fmt.Fprintf(w, "%s\n", text)
				env.Logf("discovery: told %s", text)
			}
		}
		_ = control.Flush()
	}
}
