package httpfront

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Conns sheds idle client connections, the longest idle first, once more than Most are open. It guards new
// clients: where all the connections that the descriptor limit allows are kept idle, theirs would wait unread.
// Between requests a gateway may close a connection; a client whose request crosses that sends it once more.
type Conns struct {
	Most int

	mu   sync.Mutex
	open int
	idle list.List // of net.Conn, the longest idle first
	at   map[net.Conn]*list.Element
}

// State is an http.Server's ConnState.
func (c *Conns) State(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.at[nc]; e != nil {
		c.idle.Remove(e)
		delete(c.at, nc)
	}
	switch s {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		if c.at == nil {
			c.at = map[net.Conn]*list.Element{}
		}
		c.at[nc] = c.idle.PushBack(nc)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	if c.open > c.Most && c.idle.Len() > 0 {
		// It counts as open until the server has noticed; taking it off the list keeps it from being shed twice.
		nc := c.idle.Remove(c.idle.Front()).(net.Conn)
		delete(c.at, nc)
		nc.Close()
	}
}
