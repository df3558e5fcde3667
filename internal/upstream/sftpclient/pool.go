package sftpclient

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/upstream"
)

var errTooManySessions = errors.New("sftpclient: MaxSessions are open and none of them is idle")

// sessionPool holds the idle sessions and bounds the number of sessions that are open. Its methods may be called from any
// goroutine.
type sessionPool struct {
	options Options
	clock   clock.Clock

	mu           sync.Mutex
	idle         map[string][]*session // idle sessions by the address of their server; the most recently used session is last
	openSessions int                   // number of sessions that are open or being opened
}

func newSessionPool(options Options, c clock.Clock) *sessionPool {
	return &sessionPool{options: options, clock: c, idle: map[string][]*session{}}
}

// acquire returns an idle session to the address, or opens one. The caller must pass the session to release or discard.
func (p *sessionPool) acquire(ctx context.Context, address string) (*session, error) {
	idle, err := p.popIdleOrReserve(address)
	if idle != nil || err != nil {
		return idle, err
	}
	return p.open(ctx, address)
}

// popIdleOrReserve removes an idle session to the address from the pool and returns it. If there is none, it increments
// openSessions and returns nil without an error; the caller must then call open. It returns errTooManySessions if MaxSessions are
// open and none of them is idle.
func (p *sessionPool) popIdleOrReserve(address string) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.NowMs()
	for sessions := p.idle[address]; len(sessions) > 0; sessions = p.idle[address] {
		session := sessions[len(sessions)-1]
		p.idle[address] = sessions[:len(sessions)-1]
		if now-session.idleSinceMs < p.options.ConnIdleTimeoutMs*upstream.IdleTimeoutFraction {
			return session, nil
		}
		p.openSessions--
		session.Close()
	}
	if p.openSessions >= p.options.MaxSessions {
		p.evictIdleLocked()
	}
	if p.openSessions >= p.options.MaxSessions {
		return nil, errTooManySessions
	}
	p.openSessions++
	return nil, nil
}

// open opens a session that popIdleOrReserve has already counted in openSessions. If it fails, it decrements openSessions.
func (p *sessionPool) open(ctx context.Context, address string) (*session, error) {
	dial := p.options.Dial.OrDefault(p.options.ConnectTimeoutMs)
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		p.mu.Lock()
		p.openSessions--
		p.mu.Unlock()
		return nil, fmt.Errorf("sftpclient: connect: %w", err)
	}
	opened := &session{Conn: conn, clock: p.clock, address: address}
	stopCloser := context.AfterFunc(ctx, func() { opened.Close() })
	err = opened.negotiateVersion()
	if !stopCloser() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		p.discard(opened)
		return nil, err
	}
	return opened, nil
}

// release returns a session to the pool as idle.
func (p *sessionPool) release(s *session) {
	s.idleSinceMs = p.clock.NowMs()
	p.mu.Lock()
	p.idle[s.address] = append(p.idle[s.address], s)
	p.mu.Unlock()
}

// discard closes a session that is in use.
func (p *sessionPool) discard(s *session) {
	s.Close()
	p.mu.Lock()
	p.openSessions--
	p.mu.Unlock()
}

// evictIdleLocked closes one idle session to any address. It does nothing if no session is idle. The caller holds p.mu.
func (p *sessionPool) evictIdleLocked() {
	for address, sessions := range p.idle {
		if len(sessions) > 0 {
			sessions[0].Close()
			p.idle[address] = sessions[1:]
			p.openSessions--
			return
		}
	}
}

func (p *sessionPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, sessions := range p.idle {
		for _, s := range sessions {
			s.Close()
			p.openSessions--
		}
		delete(p.idle, address)
	}
}
