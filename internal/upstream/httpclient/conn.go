package httpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/permission"
	"gaugerelay/internal/socketstate"
)

const (
	maxHead = 16 << 10 // bytes of an answer's head, those of the 1xx before it included
	// mostWholeMs after its first byte an answer must be whole. Nodes send theirs in one go; one that trickles or says
	// to be longer than it is would else hold its request until the client's time is up.
	mostWholeMs = 250
)

var (
	errOver   = errors.New("the attempt must not begin any more")
	errStale  = errors.New("the connection cannot be used any more")
	errSpoilt = errors.New("an answer that cannot be read")
)

// try follows one attempt through the transport.
type try struct {
	lifecycle.Attempt
	ctx    context.Context
	head   []byte            // as far as the transport has written it, until its end is found; none of it is out before
	body   int               // bytes of it still to be written once head is
	ends   bool              // the end of the head was found
	denied permission.Denial // why it did not begin

	whole atomic.Bool // the last byte has been handed to the connection
	stale atomic.Bool // nothing was written, since the connection had been closed or spoilt before
	conn  *conn       // the one that it got
	began bool        // its first byte was handed to conn; guarded by conn.mu
	broke atomic.Bool // the connection ended while the answer was awaited
}

// passing takes in bytes of the body that are about to be written, before they are: a node may answer or break off before
// the write returns. httptrace's WroteRequest cannot tell this: a body that follows its headers is copied to the
// connection directly, so the node may have it whole, and have run it, before that hook is called.
func (t *try) passing(bytes int) {
	if t.body -= bytes; t.body <= 0 {
		t.whole.Store(true)
	}
}

// timeLeft stands in a head for the time that the client has left, until the head goes out: the attempt may have to wait for
// its connection, and that takes of it.
var timeLeft = []byte("\r\nX-Time-Left-Ms: ?\r\n")

// withTimeLeft puts the time that is left into a head.
func withTimeLeft(head []byte, leftMs float64) []byte {
	at := bytes.Index(head, timeLeft)
	if at < 0 {
		return head
	}
	mark := at + len(timeLeft) - len("?\r\n")
	out := make([]byte, 0, len(head)+16)
	out = append(out, head[:mark]...)
	out = strconv.AppendInt(out, int64(leftMs), 10)
	return append(out, head[mark+1:]...)
}

// answer follows the framing of the answer to one request.
type answer struct {
	head   []byte // as far as it has come
	before int    // bytes of 1xx heads before it
	left   int    // bytes of the body still to come, once inBody
	inBody bool
	unkept bool // its end cannot be told from here, so nothing may follow it on the connection
}

// feed takes the next bytes and tells how many of them are the answer's, and whether they complete it.
func (a *answer) feed(p []byte) (n int, whole bool, err error) {
	for !a.inBody {
		had := len(a.head)
		a.head = append(a.head, p[n:]...)
		if k := min(len(a.head), 7); !bytes.Equal(a.head[:k], []byte("HTTP/1.")[:k]) {
			return 0, false, errSpoilt
		}
		end := bytes.Index(a.head, []byte("\r\n\r\n"))
		if end < 0 {
			end = bytes.Index(a.head, []byte("\n\n")) - 2 // as net/http reads it, too
		}
		if end < 0 {
			if len(a.head)+a.before > maxHead {
				return 0, false, errSpoilt
			}
			return len(p), false, nil
		}
		end += 4
		n += end - had
		err := a.parse(a.head[:end])
		if err != nil {
			return 0, false, err
		}
		a.head = nil
	}
	if a.unkept {
		return len(p), false, nil
	}
	more := min(a.left, len(p)-n)
	a.left -= more
	return n + more, a.left == 0, nil
}

// parse reads a whole head. http.Transport reads it too and finds further faults; this is about its end alone.
func (a *answer) parse(head []byte) error {
	lines := strings.Split(string(head), "\n")
	words := strings.Fields(lines[0])
	if len(words) < 2 || len(words[1]) != 3 {
		return errSpoilt
	}
	code, err := strconv.Atoi(words[1])
	if err != nil || code == 101 { // an upgrade that nobody asked for
		return errSpoilt
	}
	if code >= 100 && code < 200 { // the answer is still to come
		if a.before += len(head); a.before > maxHead {
			return errSpoilt
		}
		return nil
	}
	a.inBody, a.left = true, -1
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		switch value = strings.TrimSpace(value); {
		case strings.EqualFold(name, "Transfer-Encoding"):
			a.unkept = true
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 63)
			if err != nil || a.left >= 0 && a.left != int(n) || n > httpmessage.MaxBodyBytes {
				return errSpoilt // also one of 3 GB: it is not worth reading any of it
			}
			a.left = int(n)
		}
	}
	if code == 204 || code == 304 {
		a.left = 0
	}
	a.unkept = a.unkept || a.left < 0
	return nil
}

// conn is a connection to a node. It carries one attempt at a time, and knows which. It hands on the answer to
// that attempt and nothing else. http.Transport gives a connection back before it looks at what follows an
// answer (readLoop's tryPutIdleConn comes before its next Peek), and would take a second copy, or noise, for the
// answer to the next request.
type conn struct {
	net.Conn
	back *Backend
	try  atomic.Pointer[try] // nil with a probe
	shut atomic.Bool

	mu      sync.Mutex
	used    bool    // it has carried a request
	wholeMs float64 // when its last answer was whole
	answer  *answer // being awaited; nil between requests
	spoilt  bool    // nothing is sent or read on it any more
	unwatch func()
}

// mayBegin decides whether the attempt's first byte may go out now, and tells the time that its client has left.
// http.Transport may have taken up a request before it sees that it is given up, and writes it then.
func (t *try) mayBegin() (leftMs float64, ok bool) {
	leftMs, t.denied = t.Authorize(t.conn.back.clock)
	return leftMs, t.denied == permission.Allowed && t.ctx.Err() == nil
}

// over tells whether the attempt must not begin any more.
func (t *try) over() bool { return t.ctx.Err() != nil || t.Expired(t.conn.back.clock.NowMs()) }

// Write guards three rules. A drain counts from the first byte of a send, and the attempt may have waited for
// this connection to come up, as its client may have left meanwhile; an attempt has never run if its last byte was
// not written; and no request goes out where something has come that no request asked for.
//
// A head goes out in one piece, once all of it is here: what it says of the client's time holds as of its first byte.
func (c *conn) Write(p []byte) (int, error) {
	t := c.try.Load()
	if t == nil { // a probe
		c.rest()
		if err := c.begin(nil); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	if t.ends {
		return c.send(t, p, len(p))
	}
	t.head = append(t.head, p...)
	end := bytes.Index(t.head, endOfHead)
	if end < 0 {
		return len(p), nil
	}
	c.rest()
	leftMs, ok := t.mayBegin()
	if !ok {
		return 0, errOver
	}
	t.ends = true
	end += len(endOfHead)
	out := append(withTimeLeft(t.head[:end], leftMs), t.head[end:]...)
	if _, err := c.send(t, out, len(t.head)-end); err != nil {
		return 0, err
	}
	if broken := t.CheckSent(c.back.clock.NowMs(), leftMs); broken != "" {
		c.back.metrics.Add("rule_violations_"+broken, 1)
	}
	return len(p), nil
}

var endOfHead = []byte("\r\n\r\n")

// send writes bytes of an attempt, the last of which are so many of its body.
func (c *conn) send(t *try, p []byte, body int) (int, error) {
	if err := c.begin(t); err != nil {
		return 0, err
	}
	t.passing(body)
	n, err := c.Conn.Write(p)
	if n < len(p) {
		t.whole.Store(false)
	}
	return n, err
}

// begin notes that bytes of a request are about to go out, unless the connection cannot be used for it any more. A probe
// has no attempt.
func (c *conn) begin(t *try) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A node may answer before it has all of the request. The rest of that begins nothing.
	if rest := t != nil && t.began && !t.whole.Load(); c.answer == nil && !rest {
		if c.spoilt || c.used && c.pending() {
			c.spoilt = true
			if t != nil {
				t.stale.Store(true)
			}
			return errStale
		}
		c.used, c.answer = true, &answer{}
	}
	if t != nil {
		t.began = true
	}
	return nil
}

// rest waits until a second copy of the last answer would have come: a node may send one some milliseconds late, and
// behind the next request it could not be told from that one's answer.
func (c *conn) rest() {
	c.mu.Lock()
	left := 0.0
	if c.used && c.answer == nil && !c.spoilt {
		left = c.wholeMs + c.back.opt.RestMs - c.back.clock.NowMs()
	}
	c.mu.Unlock()
	if left > 0 {
		over := make(chan struct{})
		c.back.clock.AfterFunc(left, func() { close(over) })
		<-over
	}
}

// unbegun tells whether a kept connection has failed before a byte of the attempt was handed to it, and sees to it
// that none is. http.Transport drops a connection whose end it reads before it has written a request that waits.
func (t *try) unbegun() bool {
	if t.conn == nil || t.over() {
		return false
	}
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	if t.began || !t.conn.used {
		return false
	}
	t.conn.spoilt = true
	return true
}

// pending tells whether something has come that has not been read: surplus of an answer, or the connection's end.
func (c *conn) pending() bool {
	bytes, err := socketstate.HasUnreadData(c.Conn)
	return bytes || err != nil
}

// take reads from the connection and sees in the same moment, under mu, whether a request awaits what came. Seen a
// moment later, a request that went out in between would get for its answer what had come before it.
func (c *conn) take(p []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Conn.Read(p)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	ended := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for {
			if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
				break
			}
		}
		if n > 0 {
			c.unasked()
		}
		return err != syscall.EAGAIN
	})
	switch {
	case ended != nil:
		return 0, ended
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// unasked spoils a connection on which something came that no request awaits. c.mu is held.
func (c *conn) unasked() {
	if c.answer == nil && !c.spoilt {
		c.back.metrics.Add("node_surplus", 1)
		c.spoilt = true
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.take(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.try.Load()
	if err != nil && t != nil && !c.spoilt {
		t.broke.Store(true)
	}
	if n > 0 {
		c.unasked()
	}
	if n == 0 || c.spoilt {
		if c.spoilt {
			n, err = 0, errSpoilt
		}
		return n, err
	}
	mine, whole, bad := c.answer.feed(p[:n])
	switch {
	case bad != nil:
		c.spoilt = true
		return 0, bad
	case whole:
		if c.answer, c.wholeMs = nil, c.back.clock.NowMs(); c.unwatch != nil {
			c.unwatch()
			c.unwatch = nil
		}
		if mine < n {
			c.back.metrics.Add("node_surplus", 1)
			c.spoilt = true
		}
		// Behind a request that was answered before it was whole nothing follows: a second answer, to all of it, may.
		c.spoilt = c.spoilt || t != nil && t.began && !t.whole.Load()
	case c.unwatch == nil:
		waited := c.answer
		c.unwatch = c.back.clock.AfterFunc(mostWholeMs, func() { c.giveUp(waited) })
	}
	return mine, err
}

// giveUp ends a connection whose answer has begun and does not end.
func (c *conn) giveUp(a *answer) {
	c.mu.Lock()
	late := c.answer == a
	c.spoilt = c.spoilt || late
	c.mu.Unlock()
	if late {
		c.Close()
	}
}

func (c *conn) Close() error {
	if c.shut.CompareAndSwap(false, true) {
		c.back.conns.Add(-1)
	}
	c.mu.Lock()
	if c.unwatch != nil {
		c.unwatch()
		c.unwatch = nil
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
