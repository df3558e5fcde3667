package chaos

import (
	"net/http"
	"strconv"
	"time"

	"gaugerelay/internal/testbed/process"
)

const (
	// heartbeatInterval is the time from a message of a watch to the next heartbeat, while the endpoint list does not change.
	heartbeatInterval = 2 * time.Second
	// callSlotTimeout is how long a poll waits for earlier polls before discovery rejects the poll.
	callSlotTimeout = 2 * time.Second
)

// watch is an open watch of a gateway. Its fields are guarded by discovery.mu, except gateway and end, which do not change.
type watch struct {
	gateway      int
	end          chan struct{} // channel that is closed to reset the watch
	version      int           // version of the list that the gateway has
	firstPending bool          // whether the first message of the watch has not been sent yet
	silentSince  time.Time     // start of the silence of the watch; zero while the watch sends messages
}

// serveWatch handles a call of a gateway: it opens a watch of the endpoint list and sends its messages until the watch ends.
func (d *discovery) serveWatch(gateway int, w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("after")) // Atoi returns 0 if the parameter is absent: the gateway has no list.
	if d.failInOutage(w) {
		return
	}
	if !d.push && !d.waitForCallSlot(r) {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	id, opened := d.openWatch(gateway, version)
	if opened == nil {
		d.failInOutage(w)
		return
	}
	defer func() {
		d.mu.Lock()
		delete(d.openWatches[gateway], id)
		d.mu.Unlock()
	}()
	for {
		message, ok := d.nextMessage(opened)
		if !ok {
			d.waitSilently(opened, r)
		}
		if _, err := w.Write(message.line); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // if the connection is broken, the request's context ends, which ends the watch
		select {
		case <-message.changed:
		case <-time.After(heartbeatInterval):
		case <-opened.end:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// failInOutage fails a call in the manner of the current outage. It returns false if there is no outage.
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

// waitForCallSlot waits until the earlier polls have been handled, and then for as long as discovery takes to handle this
// poll. It returns false if the earlier polls took longer than callSlotTimeout or if the gateway canceled the poll.
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

// openWatch registers a watch of a gateway that has the given version of the list. It returns a nil watch during an outage.
func (d *discovery) openWatch(gateway, version int) (id int, opened *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return 0, nil
	}
	d.lastWatchID++
	opened = &watch{gateway: gateway, end: make(chan struct{}), version: version, firstPending: true}
	d.openWatches[gateway][d.lastWatchID] = opened
	return d.lastWatchID, opened
}

// watchMessage is one line of a watch.
type watchMessage struct {
	line    []byte          // a snapshot, a delta, or an empty line as a heartbeat
	changed <-chan struct{} // channel that is closed at the first change that the line does not contain
}

// nextMessage returns the next message of a watch and records its delivery. It returns false if the watch is silent.
func (d *discovery) nextMessage(opened *watch) (watchMessage, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !opened.silentSince.IsZero() {
		return watchMessage{}, false
	}
	var line []byte
	latest := len(d.changes)
	switch {
	case opened.firstPending && (opened.version == 0 || opened.version > latest):
		line = d.snapshot().JSON()
	case opened.version < latest:
		line = d.delta(opened.version).JSON()
	}
	opened.version, opened.firstPending = latest, false
	d.deliveries[opened.gateway] = append(d.deliveries[opened.gateway], delivery{time.Now(), latest})
	return watchMessage{line: append(line, '\n'), changed: d.changed}, true
}

// waitSilently keeps a silent watch open until either side ends it, and records the interval of the silence. It does not
// return but aborts the response with a panic.
func (d *discovery) waitSilently(opened *watch, r *http.Request) {
	select {
	case <-opened.end:
	case <-r.Context().Done():
	}
	d.mu.Lock()
	d.silences[opened.gateway] = append(d.silences[opened.gateway], process.Interval{From: opened.silentSince, To: time.Now()})
	d.mu.Unlock()
	panic(http.ErrAbortHandler)
}
