// Package devicefront serves devices on poor links by CoAP over TCP (RFC 8323), with block-wise transfer (RFC 7959,
// BERT too) and Request-Tag (RFC 9175). GET is a read, PUT a write; the path, the class and the settings are those of
// the platform's HTTP form. What a device's request becomes is decided behind the loop, by the exchange ledger.
//
//	2.05, 2.04  served: the node's answer, perhaps a block of it; ETag names it
//	2.31        a block of an upload is held
//	4.00, 4.02  malformed, or an option that is not known here
//	4.08        a block does not fit on; OptHave tells how many bytes are held
//	4.09        another content than that of the exchange it names; nothing of it was done
//	4.13        over 64 KiB
//	4.29, 5.03  refused: nothing was done; Max-Age tells when to come back
//	5.02        failed: it may have been done
//	5.04        no answer in time
//
// A frame that makes no sense ends its connection by Abort. What was open on it goes on; its device asks again.
package coapserver

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// Options bound a Front.
type Options struct {
	GatewayName         string        // told to devices: another at each start
	MaxConns            int           // connections at once
	MaxPendingRequests  int           // requests open on one connection
	MaxMessageSize      int           // bytes of a message that is taken
	FirstMessageTimeout time.Duration // for the first message
	KeepaliveTime       time.Duration // without a byte, before the device is asked whether it is there
	MinIdleTimeout      time.Duration // a silence in the midst of something ends a connection after a time from here,
	MaxIdleTimeout      time.Duration // to here; the link's history says where
	HoldOff             time.Duration // told with Release: when a device may connect again
	ResponseGrace       time.Duration // behind a request's time the front gives up by itself
}

// Loop is what the front asks of the loop.
type Loop interface {
	Submit(*lifecycle.Request) bool
	Cancel(*lifecycle.Request)
	ResponseWritten(*lifecycle.Request, lifecycle.LinkSample)
	LinkMeasured(device string, l lifecycle.LinkSample)
}

// Server serves devices.
type Server struct {
	Options
	Loop     Loop
	Upstream lifecycle.Upstream
	Clock    clock.Clock
	Metrics  *metrics.Registry
	Settings *scheduler.Settings

	endMs    atomic.Uint64 // bits of the float64: while stopping, when the last answer must be out; 0 before
	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
	ending   bool
	wg       sync.WaitGroup
}

// Serve takes connections until the listener closes.
func (f *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		f.StartConn(nc)
	}
}

// StartConn serves a connection in goroutines of its own.
func (f *Server) StartConn(nc net.Conn) {
	c := newConn(f, nc)
	f.mu.Lock()
	if f.conns == nil {
		f.conns = map[*conn]bool{}
	}
	if f.ending || len(f.conns) >= f.MaxConns && !f.shed() {
		f.mu.Unlock()
		f.Metrics.Add("device_connections_refused", 1)
		nc.Close()
		return
	}
	f.conns[c] = true
	draining := f.draining
	f.wg.Add(1)
	f.mu.Unlock()
	f.Metrics.Add("device_connections", 1)
	c.hello()
	if draining {
		c.release()
	}
	go func() {
		defer f.wg.Done()
		c.serve()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
	}()
}

// shed closes the connection that has been idle the longest, if one has nothing open. f.mu is held.
func (f *Server) shed() bool {
	var oldest *conn
	var since time.Time
	for c := range f.conns {
		if at, idle := c.idleSince(); idle && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	if oldest == nil {
		return false
	}
	f.Metrics.Add("device_connections_shed", 1)
	delete(f.conns, oldest)
	go oldest.cut() // it calls nobody that waits for f.mu, but closing may take a moment
	return true
}

// SetResponseDeadline makes the front answer all that it takes from now on before endMs.
func (f *Server) SetResponseDeadline(endMs float64) { f.endMs.Store(math.Float64bits(endMs)) }

// Drain asks devices to go elsewhere. Those between connections may still come for their answers.
func (f *Server) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		c.release()
	}
}

// Shutdown answers what is open, closes all connections and waits for that; the listener must be closed before.
func (f *Server) Shutdown() {
	f.mu.Lock()
	f.ending = true
	for c := range f.conns {
		c.end()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// ConnCount is the number of connections.
func (f *Server) ConnCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close closes all connections as they are.
func (f *Server) Close() {
	f.mu.Lock()
	f.ending = true
	all := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		all = append(all, c)
	}
	f.mu.Unlock()
	for _, c := range all {
		c.cut()
	}
}
