package chaos

import (
	"net/http"
	"strconv"
	"time"

	"gaugerelay/internal/testbed/process"
)

const (
	// heartbeatInterval is the time between two messages of a watch on which nothing changes.
	heartbeatInterval = 2 * time.Second
	// callSlotTimeout is how long a call waits until discovery rejects it.
	callSlotTimeout = 2 * time.Second
)

// watch is an open watch. Its fields are guarded by discovery.mu, except gateway and end, which do not change.
type watch struct {
	gateway     int
	end         chan struct{} // closed to reset the watch
	version     int           // of the list that the gateway has
	opening     bool          // its first message was not sent yet
	silentSince time.Time     // zero while it sends messages
}

// serveWatch handles one call of a gateway: a watch of the endpoint list.
func (d *discovery) serveWatch(gateway int, w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("after")) // 0 if the gateway has no list
	if d.failInOutage(w) {
		return
	}
	if !d.push && !d.waitForCallSlot(r) {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	id, own := d.openWatch(gateway, version)
	if own == nil {
		d.failInOutage(w)
		return
	}
	defer func() {
		d.mu.Lock()
		delete(d.open[gateway], id)
		d.mu.Unlock()
	}()
	for {
		message, ok := d.nextMessage(own)
		if !ok {
			d.waitSilently(own, r)
		}
		if _, err := w.Write(message.line); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the request's context ends when the connection is broken
		select {
		case <-message.changed:
		case <-time.After(heartbeatInterval):
		case <-own.end:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// failInOutage answers a call as the current outage does, and reports whether there is one.
func (d *discovery) failInOutage(w http.ResponseWriter) bool {
	d.mu.Lock()
	down, kind := d.down, d.outage
	d.mu.Unlock()
	if !down {
		return false
	}
	if kind == outageReset {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "down", http.StatusServiceUnavailable)
	return true
}

// waitForCallSlot waits until the calls before this one are handled, and for the time of this one. It reports false if
// the call has waited for too long or was canceled.
func (d *discovery) waitForCallSlot(r *http.Request) bool {
	select {
	case d.callSlot <- struct{}{}:
	case <-time.After(callSlotTimeout):
		return false
	case <-r.Context().Done():
		return false
	}
	d.mu.Lock()
	callTime := d.callTime
	d.mu.Unlock()
	time.Sleep(callTime)
	<-d.callSlot
	return true
}

// openWatch registers a watch of a gateway that has a version of the list. During an outage it returns nil.
func (d *discovery) openWatch(gateway, version int) (id int, own *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return 0, nil
	}
	d.nextWatch++
	own = &watch{gateway: gateway, end: make(chan struct{}), version: version, opening: true}
	d.open[gateway][d.nextWatch] = own
	return d.nextWatch, own
}

// watchMessage is one line of a watch.
type watchMessage struct {
	line    []byte          // a snapshot, a delta, or an empty line as a heartbeat
	changed <-chan struct{} // closed by the first change that it does not contain
}

// nextMessage returns the next message of a watch and records its delivery. It reports false if the watch is silent.
func (d *discovery) nextMessage(own *watch) (watchMessage, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !own.silentSince.IsZero() {
		return watchMessage{}, false
	}
	var line []byte
	latest := len(d.changes)
	switch {
	case own.opening && (own.version == 0 || own.version > latest):
		line = d.snapshot().JSON()
	case own.version < latest:
		line = d.delta(own.version).JSON()
	}
	own.version, own.opening = latest, false
	d.deliveries[own.gateway] = append(d.deliveries[own.gateway], delivery{time.Now(), latest})
	return watchMessage{line: append(line, '\n'), changed: d.changed}, true
}

// waitSilently keeps a silent watch open until either side ends it, and records for how long it was silent. It does not
// return: it aborts the response.
func (d *discovery) waitSilently(own *watch, r *http.Request) {
	select {
	case <-own.end:
	case <-r.Context().Done():
	}
	d.mu.Lock()
	d.silences[own.gateway] = append(d.silences[own.gateway], process.Interval{From: own.silentSince, To: time.Now()})
	d.mu.Unlock()
	panic(http.ErrAbortHandler)
}
