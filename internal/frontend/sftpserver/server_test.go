package sftpserver_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/sftp"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/fakefileserver"
	"gaugerelay/internal/upstream/sftpclient"
)

// rig is a gateway with its file front before one stand-in file server.
type rig struct {
	t      *testing.T
	clock  *clock.Manual
	loop   *eventloop.Loop
	counts *metrics.Registry
	files  *fakefileserver.Server
	front  *sftpserver.Server
	ln     net.Listener
}

const start = 1.7e12 // ms

func newRig(t *testing.T) *rig {
	t.Helper()
	set := testbed.Settings(1)
	decisions, err := scheduler.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, clock: clock.NewManual(start), counts: metrics.New(), files: fakefileserver.New(t), ln: testbed.Listen(t)}
	r.loop = eventloop.New(eventloop.Options{Scheduler: decisions, Clock: r.clock, Metrics: r.counts})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.loop.Run(ctx)
	r.list(scheduler.Ready)
	back := sftpclient.New(sftpclient.Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 64,
		Address: func(*lifecycle.Server) (string, bool) { return r.files.Addr, true }}, r.clock, r.counts, r.loop.Complete)
	r.front = &sftpserver.Server{Loop: r.loop, Upstream: back, Clock: r.clock, Metrics: r.counts,
		Options: sftpserver.Options{MaxConns: 32, UnitBytes: 1024, ReadClass: set.Classes[0], WriteClass: set.Classes[1], Shards: 1,
			MaxUnits: set.MaxUnits, Roots: []sftpserver.Root{{Path: "/layers", Plan: "business", Volume: 7, Hosts: 1}}}}
	go r.front.Serve(r.ln)
	return r
}

func (r *rig) list(state scheduler.ServerState) {
	r.loop.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot, Servers: []*lifecycle.Server{{Name: "n0", Addr: "127.0.0.1:1", State: state}}})
	r.loop.Sync()
}

func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.ln.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

func (r *rig) client() *sftp.Client {
	r.t.Helper()
	c := r.dial()
	cl, err := sftp.NewClientPipe(c, c)
	if err != nil {
		r.t.Fatal(err)
	}
	return cl
}

// until waits for a condition that must come true; it asserts nothing on how soon.
func (r *rig) until(cond func() bool) {
	for !cond() {
		r.loop.Sync()
	}
}

// while lets the clock go on in small steps until a command has its answer, but only while the module holds it:
// never while it, or its answer, is on its way.
func (r *rig) while(done chan error) error {
	for {
		select {
		case err := <-done:
			return err
		default:
			if held(r.loop, r.counts) > 0 {
				r.clock.Advance(5)
			} else {
				runtime.Gosched() // what is on its way may want this processor
			}
		}
	}
}

// held is the number of requests that the module holds, or -1 while an attempt is out.
func held(l *eventloop.Loop, m *metrics.Registry) int {
	l.Sync()
	if m.Get("attempts_started") != ended(m) {
		return -1
	}
	return l.OpenRequests()
}

// ended counts the ends of attempts.
func ended(m *metrics.Registry) (n int64) {
	for _, how := range []string{"ok", "error", "overloaded", "timed_out", "connect_failed", "connection_reset", "canceled", "not_sent"} {
		n += m.Get("attempts_" + how)
	}
	return n
}

func code(err error) sftpwire.StatusCode {
	var s *sftp.StatusError
	switch {
	case errors.As(err, &s):
		return sftpwire.StatusCode(s.Code)
	case errors.Is(err, os.ErrNotExist):
		return sftpwire.StatusNoSuchFile
	case errors.Is(err, os.ErrPermission):
		return sftpwire.StatusPermissionDenied
	}
	return 0
}

func TestWriteReadStat(t *testing.T) {
	r := newRig(t)
	cl := r.client()
	f, err := cl.OpenFile("/layers/a.tar", os.O_RDWR|os.O_CREATE)
	if err != nil {
		t.Fatal(err)
	}
	data := bytes.Repeat([]byte("layer"), 1000)
	if _, err := f.WriteAt(data, 3); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(data))
	if _, err := f.ReadAt(got, 3); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("read back %d bytes: %v", len(got), err)
	}
	if st, err := cl.Stat("/layers/a.tar"); err != nil || st.Size() != 5003 {
		t.Errorf("stat: %v %v", st, err)
	}
	if r.counts.Get("requests_accepted") != 4 || r.counts.Get("answers_served") != 4 {
		t.Errorf("OPEN, WRITE, READ and STAT made %d requests, %d served", r.counts.Get("requests_accepted"), r.counts.Get("answers_served"))
	}
}

// A whole tarball goes up and comes down by a common client, which pipelines its READs.
func TestTransfer(t *testing.T) {
	r := newRig(t)
	cl := r.client()
	data := make([]byte, 700_001)
	for i := range data {
		data[i] = byte(i * i >> 8)
	}
	done := make(chan error, 1)
	go func() {
		f, err := cl.Create("/layers/big.tar")
		if err == nil {
			_, err = f.ReadFrom(bytes.NewReader(data))
		}
		done <- err
	}()
	if err := r.while(done); err != nil || !bytes.Equal(r.files.File("/layers/big.tar"), data) {
		t.Fatalf("up: %v, %d bytes there", err, len(r.files.File("/layers/big.tar")))
	}
	var got bytes.Buffer
	go func() {
		f, err := cl.Open("/layers/big.tar")
		if err == nil {
			_, err = f.WriteTo(&got)
		}
		done <- err
	}()
	if err := r.while(done); err != nil || !bytes.Equal(got.Bytes(), data) {
		t.Errorf("down: %v, %d bytes", err, got.Len())
	}
	if n := r.counts.Get("answers_rejected") + r.counts.Get("answers_failed"); n != 0 { // READs past the end may be out
		t.Errorf("%d not served", n)
	}
}

func TestWhatIsNotServedNeverReachesTheModule(t *testing.T) {
	r := newRig(t)
	cl := r.client()
	for what, c := range map[string]struct {
		err  error
		want sftpwire.StatusCode
	}{
		"no root":      {second(cl.Open("/etc/passwd")), sftpwire.StatusNoSuchFile},
		"path escape":  {second(cl.Open("/layers/../etc/passwd")), sftpwire.StatusNoSuchFile},
		"climbing out": {second(cl.Open("../../layers/../x")), sftpwire.StatusNoSuchFile},
		"like a root":  {second(cl.Open("/layers2/x")), sftpwire.StatusNoSuchFile},
		"NUL":          {second(cl.Open("/layers/a\x00b")), sftpwire.StatusBadMessage},
		"append":       {second(cl.OpenFile("/layers/a", os.O_WRONLY|os.O_APPEND)), sftpwire.StatusUnsupported},
		"mkdir":        {cl.Mkdir("/layers/a"), sftpwire.StatusUnsupported},
		"list":         {second(cl.ReadDir("/layers")), sftpwire.StatusUnsupported},
		"rename":       {cl.Rename("/layers/a", "/layers/b"), sftpwire.StatusUnsupported},
	} {
		if c.err == nil || code(c.err) != c.want {
			t.Errorf("%s: %v, want code %d", what, c.err, c.want)
		}
	}
	if n := r.counts.Get("requests_accepted"); n != 0 {
		t.Errorf("%d requests reached the module", n)
	}
	if _, err := cl.Open("/layers/none"); code(err) != sftpwire.StatusNoSuchFile {
		t.Errorf("a missing file: %v", err)
	}
}

func second[T any](_ T, err error) error { return err }

// raw speaks packets by hand.
type raw struct {
	t *testing.T
	net.Conn
}

func (c raw) send(typ byte, body []byte) {
	p := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	if _, err := c.Write(append(append(p, typ), body...)); err != nil {
		c.t.Fatal(err)
	}
}

func (c raw) status() sftpwire.StatusCode {
	c.t.Helper()
	var head [13]byte // length, type, id, code
	if _, err := io.ReadFull(c, head[:]); err != nil || head[4] != 101 {
		c.t.Fatalf("type %d: %v", head[4], err)
	}
	io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(head[:]))-9)
	return sftpwire.StatusCode(binary.BigEndian.Uint32(head[9:]))
}

func TestUnknownHandle(t *testing.T) {
	r := newRig(t)
	c := raw{t, r.dial()}
	body := binary.BigEndian.AppendUint32(nil, 1)
	body = append(binary.BigEndian.AppendUint32(body, 2), "99"...)
	c.send(5, append(body, make([]byte, 12)...)) // READ
	if got := c.status(); got != sftpwire.StatusFailure {
		t.Errorf("code %d", got)
	}
	if n := r.counts.Get("requests_accepted"); n != 0 {
		t.Errorf("%d requests reached the module", n)
	}
}

// A packet over the limit ends its connection unread; others go on.
func TestOversizedPacket(t *testing.T) {
	r := newRig(t)
	c := raw{t, r.dial()}
	c.Write(append(binary.BigEndian.AppendUint32(nil, sftpwire.MaxPacket+1), 6))
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes came back", n)
	}
	if _, err := r.client().Stat("/layers/none"); code(err) != sftpwire.StatusNoSuchFile {
		t.Errorf("another connection: %v", err)
	}
}

// A WRITE cut off inside its packet never becomes a request, and is counted once.
func TestWriteCutOffMidPacket(t *testing.T) {
	r := newRig(t)
	r.files.Put("/layers/a", []byte("old"))
	c := raw{t, r.dial()}
	c.Write(append(binary.BigEndian.AppendUint32(nil, 5000), 6, 0, 0, 0, 9, 0, 0, 0, 1, '1'))
	c.Close()
	r.until(func() bool { return r.counts.Get("file_commands_truncated") > 0 })
	if n := r.counts.Get("file_commands_truncated"); n != 1 {
		t.Errorf("%d ends", n)
	}
	if n := r.counts.Get("requests_accepted"); n != 0 || len(r.files.Commands()) != 0 || string(r.files.File("/layers/a")) != "old" {
		t.Errorf("%d requests taken, the file server saw %v", n, r.files.Commands())
	}
}

// A client that disconnects while its READ is out is a drop: no answer, one end, and the node's answer is taken in.
func TestEarlyDisconnect(t *testing.T) {
	r := newRig(t)
	r.files.Put("/layers/a", []byte("data"))
	reached, release := make(chan struct{}), make(chan struct{})
	r.files.BeforeEffect = func(c fakefileserver.Command) error {
		if c.Op == "read" {
			close(reached)
			<-release
		}
		return nil
	}
	c := r.dial()
	cl, err := sftp.NewClientPipe(c, c)
	if err != nil {
		t.Fatal(err)
	}
	f, err := cl.Open("/layers/a")
	if err != nil {
		t.Fatal(err)
	}
	go f.ReadAt(make([]byte, 4), 0)
	<-reached
	c.Close()
	r.until(func() bool { return r.counts.Get("requests_canceled") == 1 })
	r.until(func() bool { return r.counts.Get("attempts_canceled") == 1 }) // it is called off
	close(release)
	if got := r.counts.Get("answers_served"); got != 1 || r.loop.OpenRequests() != 0 {
		t.Errorf("%d served (the OPEN alone was due), %d open", got, r.loop.OpenRequests())
	}
}

// The gateway sends a WRITE that failed once more under the same upload key, so that the node applies it once;
// and a client that repeats a WRITE told as failed keeps its key too, but not after overwriting it.
func TestRepeatedWriteKeepsItsKey(t *testing.T) {
	r := newRig(t)
	r.files.Put("/layers/a", nil)
	var failures atomic.Int32
	r.files.AfterEffect = func(c fakefileserver.Command) error {
		if c.Op == "write" && failures.Add(-1) >= 0 {
			return errors.New("no answer made it out")
		}
		return nil
	}
	f, err := r.client().OpenFile("/layers/a", os.O_WRONLY)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string, failing int32) error {
		failures.Store(failing)
		done := make(chan error, 1)
		go func() { _, err := f.WriteAt([]byte(text), 0); done <- err }()
		return r.while(done) // further attempts come after a pause
	}
	keys := func() (keys []string) {
		for _, c := range r.files.Commands() {
			if c.Op == "write" {
				keys = append(keys, c.UploadKey)
			}
		}
		return keys
	}
	if err := write("A", 1); err != nil {
		t.Fatal(err)
	}
	if k := keys(); len(k) != 2 || k[0] == "" || k[0] != k[1] {
		t.Fatalf("the gateway's repeat: keys %q", k)
	}
	if err := write("B", 3); err == nil || !strings.Contains(err.Error(), "may have taken effect") {
		t.Fatalf("three failures: %v", err)
	}
	before := len(keys())
	if err := write("B", 0); err != nil {
		t.Fatal(err)
	}
	if k := keys(); k[before] != k[before-1] || string(r.files.File("/layers/a")) != "B" {
		t.Errorf("the client's repeat: keys %q, file %q", k, r.files.File("/layers/a"))
	}
	if err := write("A", 0); err != nil || string(r.files.File("/layers/a")) != "A" {
		t.Errorf("written again after B: %q, %v", r.files.File("/layers/a"), err)
	}
}

// A refusal says when to come back, and a drained node gets nothing.
func TestRefusalOnADrain(t *testing.T) {
	r := newRig(t)
	r.list(scheduler.Draining)
	done := make(chan error, 1)
	go func() { _, err := r.client().Open("/layers/a"); done <- err }()
	r.until(func() bool { return r.counts.Get("requests_accepted") == 1 })
	err := r.while(done)
	if code(err) != sftpwire.StatusFailure || !strings.Contains(err.Error(), "retry after ") {
		t.Errorf("%v", err)
	}
	if log := r.files.Commands(); len(log) != 0 {
		t.Errorf("the node saw %v", log)
	}
}

// A node that does not answer: a WRITE is failed at its deadline and says that it may have taken effect.
func TestDeadline(t *testing.T) {
	r := newRig(t)
	r.files.Put("/layers/a", nil)
	f, err := r.client().OpenFile("/layers/a", os.O_WRONLY)
	if err != nil {
		t.Fatal(err)
	}
	reached, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	var once sync.Once
	r.files.BeforeEffect = func(c fakefileserver.Command) error {
		if c.Op == "write" {
			once.Do(func() { close(reached) })
			<-release
		}
		return nil
	}
	done := make(chan error, 1)
	go func() { _, err := f.WriteAt([]byte("x"), 0); done <- err }()
	<-reached
	r.clock.Advance(3100)
	if err := <-done; code(err) != sftpwire.StatusFailure || !strings.Contains(err.Error(), "may have taken effect") {
		t.Errorf("%v", err)
	}
	r.until(func() bool { return r.counts.Get("attempts_timed_out") == 1 })
}

// A stop answers what was read whole.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	r := newRig(t)
	r.files.Put("/layers/a", []byte("data"))
	f, err := r.client().Open("/layers/a")
	if err != nil {
		t.Fatal(err)
	}
	reached, release := make(chan struct{}), make(chan struct{})
	r.files.BeforeEffect = func(c fakefileserver.Command) error {
		if c.Op == "read" {
			close(reached)
			<-release
		}
		return nil
	}
	done := make(chan error, 1)
	go func() { _, err := f.ReadAt(make([]byte, 4), 0); done <- err }()
	<-reached
	r.ln.Close()
	ended := make(chan struct{})
	go func() { r.front.Shutdown(); close(ended) }()
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the READ that was out: %v", err)
	}
	<-ended
}

// What comes while stopping is not answered, and takes the last answer with it by no reset.
func TestLastAnswerOutlivesBytesNotRead(t *testing.T) {
	r := newRig(t)
	c := r.dial()
	init := []byte{0, 0, 0, 5, 1, 0, 0, 0, 3}
	stat := append([]byte{0, 0, 0, 18, 17, 0, 0, 0, 9, 0, 0, 0, 9}, "/layers/a"...)
	reached, release := make(chan struct{}), make(chan struct{})
	r.files.Put("/layers/a", []byte("data"))
	r.files.BeforeEffect = func(fakefileserver.Command) error {
		close(reached)
		<-release
		return nil
	}
	c.Write(append(init, stat...))
	<-reached
	r.ln.Close()
	ended := make(chan struct{})
	go func() { r.front.Shutdown(); close(ended) }()
	for stopping := false; !stopping; { // it has ended reading; what comes now stays unread
		runtime.Gosched()
		stopping = sftpserver.Draining(r.front)
	}
	c.Write(stat)
	close(release)
	got, err := io.ReadAll(c)
	if n := bytes.Count(got, []byte{105, 0, 0, 0, 9}); n != 1 || err != nil { // ATTRS of request 9
		t.Errorf("%d answers, then %v", n, err)
	}
	c.Close()
	<-ended
}

// A client that sends more commands than are read at once and leaves behind them is away all the same: what of them waits
// for its node's connection does not go out.
func TestAClientThatLeavesBehindManyCommands(t *testing.T) {
	r := newRig(t)
	got := make(chan *lifecycle.Request, 64)
	r.front.Loop = taking{got}
	c := r.dial()
	c.Write([]byte{0, 0, 0, 5, 1, 0, 0, 0, 3})
	stat := append([]byte{0, 0, 0, 18, 17, 0, 0, 0, 9, 0, 0, 0, 9}, "/layers/a"...)
	for range 200 {
		c.Write(stat)
	}
	req := <-got
	if req.Canceled() {
		t.Fatal("it is said to be away while it is there")
	}
	c.Close()
	for !req.Canceled() { // the system tells of its end at once, on loopback
		runtime.Gosched()
	}
	r.front.CloseAll()
}

// taking is a loop that answers nothing.
type taking struct{ got chan *lifecycle.Request }

func (l taking) Submit(r *lifecycle.Request) bool                       { l.got <- r; return true }
func (taking) Cancel(*lifecycle.Request)                                {}
func (taking) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}

// The library's client sends a second READ after a short one, which is why filecarrier has its own codec.
func TestLibraryClientSendsASecondRead(t *testing.T) {
	files := fakefileserver.New(t)
	files.Put("/a", []byte("1234"))
	c, err := net.Dial("tcp", files.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	cl, err := sftp.NewClientPipe(c, c)
	if err != nil {
		t.Fatal(err)
	}
	f, err := cl.Open("/a")
	if err != nil {
		t.Fatal(err)
	}
	f.ReadAt(make([]byte, 10), 0)
	reads := 0
	for _, cmd := range files.Commands() {
		if cmd.Op == "read" {
			reads++
		}
	}
	if reads != 2 {
		t.Errorf("%d READs: the library may serve now", reads)
	}
}

// FuzzConnection checks random steps of a client against a model of its connection: handles that are open, the
// file's bytes, and one answer each.
func FuzzConnection(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4})
	f.Add([]byte{0, 0, 9, 17, 2, 1, 33, 5, 4, 3, 1})
	f.Add([]byte{1, 2, 5, 0, 41, 2, 6, 3, 0, 2, 7, 11})
	f.Fuzz(func(t *testing.T, steps []byte) {
		r := newRig(t)
		r.front.Roots[0].Volume = 1
		c := raw{t, r.dial()}
		var id, opens uint32
		var open []string
		closed := "404"
		var model []byte
		there := false
		str := func(b []byte, s string) []byte { return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...) }
		for _, s := range steps[:min(len(steps), 24)] {
			id++
			b := binary.BigEndian.AppendUint32(nil, id)
			h, known := closed, len(open) > 0 && s&8 == 0
			if known {
				h = open[int(s>>4)%len(open)]
			}
			off, want := uint64(s>>5), sftpwire.StatusOK
			switch s % 5 {
			case 0: // OPEN, creating on some
				flags := uint32(sftpwire.FlagRead | sftpwire.FlagWrite)
				if s&16 != 0 {
					flags |= sftpwire.FlagCreate
				}
				opens++
				c.send(3, binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(str(b, "/layers/f"), flags), 0))
				if there = there || s&16 != 0; there {
					open = append(open, fmt.Sprint(opens))
					c.answer(102, id)
					continue
				}
				want = sftpwire.StatusNoSuchFile
			case 1: // CLOSE
				c.send(4, str(b, h))
				if known {
					closed = h
					open = remove(open, h)
				} else {
					want = sftpwire.StatusFailure
				}
			case 2: // WRITE
				c.send(6, str(binary.BigEndian.AppendUint64(str(b, h), off), "xyz"))
				if known {
					model = append(model, make([]byte, max(0, int(off)+3-len(model)))...)
					copy(model[off:], "xyz")
				} else {
					want = sftpwire.StatusFailure
				}
			case 3: // READ
				c.send(5, binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(str(b, h), off), 4))
				if known && int(off) < len(model) {
					if got := c.answer(103, id); string(got[4:]) != string(model[off:min(len(model), int(off)+4)]) {
						t.Fatalf("read %q, want %q at %d", got[4:], model, off)
					}
					continue
				}
				want = sftpwire.StatusFailure
				if known {
					want = sftpwire.StatusEOF
				}
			case 4: // STAT
				c.send(17, str(b, "/layers/f"))
				if there {
					if got := c.answer(105, id); binary.BigEndian.Uint64(got[4:]) != uint64(len(model)) {
						t.Fatalf("size in %x, want %d", got, len(model))
					}
					continue
				}
				want = sftpwire.StatusNoSuchFile
			}
			if got := sftpwire.StatusCode(binary.BigEndian.Uint32(c.answer(101, id))); got != want {
				t.Fatalf("step %d (%d): code %d, want %d", id, s, got, want)
			}
		}
		r.loop.Sync()
		taken := r.counts.Get("requests_accepted")
		if served := r.counts.Get("answers_served"); served != taken || r.loop.OpenRequests() != 0 {
			t.Fatalf("%d taken, %d served, %d open", taken, served, r.loop.OpenRequests())
		}
	})
}

// answer reads one packet of the wanted type and id.
func (c raw) answer(typ byte, id uint32) []byte {
	c.t.Helper()
	var head [9]byte
	if _, err := io.ReadFull(c, head[:]); err != nil || head[4] != typ || binary.BigEndian.Uint32(head[5:]) != id {
		c.t.Fatalf("head %x: %v; want type %d, id %d", head, err, typ, id)
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:])-5)
	io.ReadFull(c, body)
	return body
}

func remove(list []string, s string) (out []string) {
	for _, x := range list {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}
