// Package sftpclient carries attempts to the file ports of storage nodes as SFTP version 3 packets over plain
// TCP, and tells how each of them ended.
package sftpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/permission"
)

// Options are the limits of a Backend.
type Options struct {
	ConnectTimeoutMs, ConnIdleTimeoutMs float64
	MaxSessions                         int // connections open at once, to all nodes
	// Address tells where a node takes file commands.
	Address func(n *lifecycle.Server) (addr string, ok bool)
	// Dial opens connections; nil: the machine's network.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client sends attempts over pooled sessions that carry one attempt at a time.
type Client struct {
	opt     Options
	clock   clock.Clock
	metrics *metrics.Registry
	finish  func(lifecycle.Attempt, lifecycle.AttemptResult)

	mu    sync.Mutex
	idle  map[string][]*session
	count int
}

// session is a connection past its INIT and VERSION.
type session struct {
	net.Conn
	addr   string
	lastID uint32
	idleMs float64 // since when
	clock  clock.Clock
}

// New returns a backend; finish takes the ends of attempts.
func New(opt Options, c clock.Clock, m *metrics.Registry, finish func(lifecycle.Attempt, lifecycle.AttemptResult)) *Client {
	return &Client{opt: opt, clock: c, metrics: m, finish: finish, idle: map[string][]*session{}}
}

// Start implements core.Carrier.
func (b *Client) Start(a lifecycle.Attempt) func() {
	ctx, cancel := clock.WithDeadline(b.clock, a.DeadlineMs)
	go func() {
		defer cancel(nil)
		b.attempt(ctx, a)
	}()
	return func() { cancel(context.Canceled) }
}

var (
	errCapped = errors.New("no more sessions allowed")
	errDenied = errors.New("the command must not go out any more")
)

// attempt runs one attempt to its end. An attempt that never ran is reported as Full, also where the connection
// failed: the file port may be down while the node serves others well, and ConnectFailed would make the module
// hold the node back for all of them.
func (b *Client) attempt(ctx context.Context, a lifecycle.Attempt) {
	cmd := a.Request.Payload.(*sftpwire.Command)
	addr, ok := b.opt.Address(a.Server)
	if !ok || a.Server.Closed() {
		b.finish(a, lifecycle.AttemptResult{Status: scheduler.StatusOverloaded})
		return
	}
	s, err := b.session(ctx, addr)
	if err != nil {
		b.metrics.Add("file_connects_failed", 1)
		b.finish(a, lifecycle.AttemptResult{Status: b.ended(ctx, false)})
		return
	}
	// Told while the session was opened: nothing new goes to the node, nor anything for a client that has left.
	leftMs, why := a.Authorize(b.clock)
	if why != permission.Allowed {
		b.rest(s)
		b.finish(a, lifecycle.AttemptResult{Status: unbegun(why)})
		return
	}
	// Closing the connection is how an attempt is given up.
	stop := context.AfterFunc(ctx, func() { s.Close() })
	reply, handle, ran, err := s.run(cmd, a, leftMs)
	switch {
	case err != nil && !errors.Is(err, errMalformed):
		b.finish(a, lifecycle.AttemptResult{Status: b.ended(ctx, ran)})
	case err != nil:
		b.metrics.Add("file_answers_malformed", 1)
		b.finish(a, lifecycle.AttemptResult{Status: scheduler.StatusError})
	case reply.Code == sftpwire.StatusFailure && strings.HasPrefix(reply.Message, sftpwire.UnprocessedPrefix):
		b.finish(a, lifecycle.AttemptResult{Status: scheduler.StatusOverloaded})
	case reply.Code == sftpwire.StatusFailure || reply.Code == sftpwire.StatusBadMessage:
		b.finish(a, lifecycle.AttemptResult{Status: scheduler.StatusError})
	default: // the node has done its work, also where it tells that there is no such file
		b.finish(a, lifecycle.AttemptResult{Status: scheduler.StatusOK, Body: reply})
	}
	if err == nil && handle != nil { // its answer is out; the session serves again once the handle is closed
		_, _, err = s.call(newPacket(typeClose, s.next()).text(string(handle)))
	}
	if !stop() || err != nil {
		b.drop(s)
		return
	}
	b.rest(s)
}

// unbegun is how an attempt ended that was not let through.
func unbegun(why permission.Denial) scheduler.Status {
	switch {
	case why == permission.ClientCanceled:
		return scheduler.StatusCanceled
	case why.IsIndependentOfServer():
		return scheduler.StatusNotSent
	}
	return scheduler.StatusOverloaded
}

// rest gives a session back.
func (b *Client) rest(s *session) {
	s.idleMs = b.clock.NowMs()
	b.mu.Lock()
	b.idle[s.addr] = append(b.idle[s.addr], s)
	b.mu.Unlock()
}

// ended tells how an attempt without an answer ended.
func (b *Client) ended(ctx context.Context, ran bool) scheduler.Status {
	switch cause := context.Cause(ctx); {
	case !ran:
		return scheduler.StatusOverloaded
	case errors.Is(cause, context.DeadlineExceeded):
		return scheduler.StatusTimedOut
	case cause != nil:
		return scheduler.StatusCanceled
	}
	return scheduler.StatusConnectionReset
}

// session takes an idle session or opens one.
func (b *Client) session(ctx context.Context, addr string) (*session, error) {
	b.mu.Lock()
	now := b.clock.NowMs()
	for list := b.idle[addr]; len(list) > 0; list = b.idle[addr] {
		s := list[len(list)-1]
		b.idle[addr] = list[:len(list)-1]
		if now-s.idleMs < b.opt.ConnIdleTimeoutMs*0.6 { // under the node's own idle time
			b.mu.Unlock()
			return s, nil
		}
		b.count--
		s.Close()
	}
	if b.count >= b.opt.MaxSessions {
		b.evict()
	}
	if b.count >= b.opt.MaxSessions {
		b.mu.Unlock()
		return nil, errCapped
	}
	b.count++
	b.mu.Unlock()
	dial := b.opt.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: clock.Duration(b.opt.ConnectTimeoutMs), KeepAlive: -1}).DialContext
	}
	c, err := dial(ctx, "tcp", addr)
	if err != nil {
		b.mu.Lock()
		b.count--
		b.mu.Unlock()
		return nil, err
	}
	s := &session{Conn: c, clock: b.clock, addr: addr}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	err = s.greet()
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		b.drop(s)
		return nil, err
	}
	return s, nil
}

// evict closes an idle session, of whatever node, to make room. b.mu is held.
func (b *Client) evict() {
	for addr, list := range b.idle {
		if len(list) > 0 {
			list[0].Close()
			b.idle[addr] = list[1:]
			b.count--
			return
		}
	}
}

func (b *Client) drop(s *session) {
	s.Close()
	b.mu.Lock()
	b.count--
	b.mu.Unlock()
}

// Close closes the idle sessions.
func (b *Client) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, list := range b.idle {
		for _, s := range list {
			s.Close()
			b.count--
		}
		delete(b.idle, addr)
	}
}

func (s *session) next() uint32 { s.lastID++; return s.lastID }

// greet exchanges INIT and VERSION.
func (s *session) greet() error {
	if _, err := s.Write(newPacket(typeInit, version).done()); err != nil {
		return err
	}
	typ, _, err := readPacket(s)
	if err == nil && typ != typeVersion {
		err = errMalformed
	}
	return err
}

// errUnwritten marks a packet whose last byte did not go out.
type errUnwritten struct{ error }

// call sends a packet and reads its answer.
func (s *session) call(p packet) (typ byte, f *fields, err error) {
	if _, err := s.Write(p.done()); err != nil {
		return 0, nil, errUnwritten{err}
	}
	typ, body, err := readPacket(s)
	if err != nil {
		return 0, nil, err
	}
	f = &fields{b: body}
	if id := f.u32(); f.err == nil && id != s.lastID {
		return 0, nil, fmt.Errorf("%w: an answer to packet %d", errMalformed, id)
	}
	return typ, f, f.err
}

// run sends a command. ran tells whether its own packet (not the OPEN before a READ or WRITE, which changes
// nothing) has been written whole.
func (s *session) run(cmd *sftpwire.Command, a lifecycle.Attempt, leftMs float64) (rep *sftpwire.Reply, handle []byte, ran bool, err error) {
	if cmd.Op == sftpwire.OpStat {
		typ, f, err := s.call(newPacket(typeStat, s.next()).text(cmd.Path))
		ran = written(err)
		if err != nil {
			return nil, nil, ran, err
		}
		rep, err = reply(typ, f)
		return rep, nil, ran, err
	}
	flags := cmd.Flags
	switch cmd.Op {
	case sftpwire.OpRead:
		flags = sftpwire.FlagRead
	case sftpwire.OpWrite:
		flags = sftpwire.FlagWrite
	}
	open := newPacket(typeOpen, s.next()).text(cmd.Path).u32(flags).u32(attrExtended)
	if cmd.UploadKey != "" {
		open = open.u32(2).text(sftpwire.AttrUploadKey).text(cmd.UploadKey)
	} else {
		open = open.u32(1)
	}
	typ, f, err := s.call(open.text(sftpwire.AttrTimeLeft).text(fmt.Sprint(leftMs)))
	ran = cmd.Op == sftpwire.OpOpen && written(err)
	if err != nil {
		return nil, nil, ran, err
	}
	if typ != typeHandle {
		if rep, err = reply(typ, f); err == nil && rep.Code == sftpwire.StatusOK {
			err = errMalformed // an OPEN that succeeds has a handle
		}
		return rep, nil, ran, err
	}
	if handle = f.bytes(); f.err != nil || len(handle) > 256 {
		return nil, nil, ran, errMalformed
	}
	rep = &sftpwire.Reply{}
	if cmd.Op == sftpwire.OpOpen {
		return rep, handle, ran, nil
	}
	if _, why := a.Authorize(s.clock); why != permission.Allowed { // since the OPEN went out
		return nil, nil, false, errDenied
	}
	var p packet
	if cmd.Op == sftpwire.OpRead {
		p = newPacket(typeRead, s.next()).text(string(handle)).u64(cmd.Offset).u32(cmd.Length)
	} else {
		p = newPacket(typeWrite, s.next()).text(string(handle)).u64(cmd.Offset).text(string(cmd.Data))
	}
	typ, f, err = s.call(p)
	ran = written(err)
	if err != nil {
		return nil, nil, ran, err
	}
	if rep, err = reply(typ, f); err == nil && typ == typeData &&
		(cmd.Op != sftpwire.OpRead || len(rep.Data) > int(cmd.Length)) {
		err = errMalformed // data that was not asked for
	}
	return rep, handle, ran, err
}

func written(err error) bool {
	var cut errUnwritten
	return !errors.As(err, &cut)
}

// reply reads the answer to a command.
func reply(typ byte, f *fields) (*sftpwire.Reply, error) {
	r := &sftpwire.Reply{}
	switch typ {
	case typeStatus:
		r.Code = f.u32()
		if len(f.b) > 0 { // some servers leave the text out
			text := f.bytes()
			r.Message = string(text[:min(len(text), maxNameLength)])
		}
	case typeData:
		r.Data = f.bytes()
	case typeAttrs:
		r.Attrs = f.attrs()
	default:
		return nil, errMalformed
	}
	return r, f.err
}
