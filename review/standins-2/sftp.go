package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Packet types, status codes and flags of SFTP version 3 (draft-ietf-secsh-filexfer-02).
const (
	fxInit    = 1
	fxVersion = 2
	fxOpen    = 3
	fxClose   = 4
	fxRead    = 5
	fxWrite   = 6
	fxStat    = 17
	fxStatus  = 101
	fxHandle  = 102
	fxData    = 103
	fxAttrs   = 105

	statusOK         = 0
	statusEOF        = 1
	statusNoSuchFile = 2
	statusFailure    = 4

	flagRead   = 1
	flagWrite  = 2
	flagCreate = 8
	flagTrunc  = 16
)

// pkt builds a packet; length returns it with its length.
type pkt []byte

func (p pkt) u32(v uint32) pkt { return binary.BigEndian.AppendUint32(p, v) }
func (p pkt) u64(v uint64) pkt { return binary.BigEndian.AppendUint64(p, v) }
func (p pkt) str(s string) pkt { return append(p.u32(uint32(len(s))), s...) }
func (p pkt) length() []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(p))), p...)
}

// fields reads the fields of a packet.
type fields struct{ b []byte }

func (f *fields) u32() uint32 {
	if len(f.b) < 4 {
		f.b = nil
		return 0
	}
	v := binary.BigEndian.Uint32(f.b)
	f.b = f.b[4:]
	return v
}

func (f *fields) u64() uint64 { return uint64(f.u32())<<32 | uint64(f.u32()) }

func (f *fields) str() string {
	n := int(f.u32())
	if n > len(f.b) {
		n = len(f.b)
	}
	s := string(f.b[:n])
	f.b = f.b[n:]
	return s
}

func readPkt(r io.Reader) (kind byte, body *fields, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 1 || n > 1<<20 {
		return 0, nil, fmt.Errorf("a packet of %d bytes", n)
	}
	b := make([]byte, n-1)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, nil, err
	}
	return head[4], &fields{b}, nil
}

// content returns the content of a file.
func content(name string, size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s/%d ", name, i)
	}
	return b.Bytes()[:size]
}

// pathIn returns a path whose file lies in the cell, of the given number of cells.
func pathIn(name string, cell, cells uint64) string {
	for n := 0; ; n++ {
		path := fmt.Sprintf("/layers/%s-%d", name, n)
		hash := fnv.New64a()
		hash.Write([]byte(path))
		if hash.Sum64()%cells == cell {
			return path
		}
	}
}

// fileServer is a sound file port of the storage nodes of one cell: one command at a time on each connection, repeats by upload key are
// dropped.
type fileServer struct {
	rec     *record
	name    string
	service time.Duration
	// spoil may replace the answer to a READ; nil leaves it.
	spoil func(id uint32, data []byte) []byte
	// slots bounds the commands that run at once; nil means that there is no bound.
	slots chan struct{}
	// hang makes the server answer nothing.
	hang atomic.Bool

	mu    sync.Mutex
	files map[string][]byte
	keys  map[string]bool
	ranBy map[string]int // commands that have run, by path
}

func newFileServer(rec *record, name string, service time.Duration) *fileServer {
	return &fileServer{rec: rec, name: name, service: service, files: map[string][]byte{}, keys: map[string]bool{}, ranBy: map[string]int{}}
}

// serve accepts connections on a free loopback port and returns its address.
func (s *fileServer) serve() string { return acceptAll(s.conn) }

func (s *fileServer) conn(c net.Conn) {
	defer c.Close()
	type handle struct{ path, key string }
	handles, last := map[string]handle{}, 0
	for {
		kind, f, err := readPkt(c)
		if err != nil {
			return
		}
		if kind == fxInit {
			c.Write(pkt{fxVersion}.u32(3).length())
			continue
		}
		id := f.u32()
		var out []byte
		status := func(code uint32) []byte { return pkt{fxStatus}.u32(id).u32(code).str("").str("").length() }
		switch kind {
		case fxOpen:
			path, flags, key := f.str(), f.u32(), ""
			if f.u32()&(1<<31) != 0 {
				for n := f.u32(); n > 0; n-- {
					name, value := f.str(), f.str()
					if strings.HasPrefix(name, "upload-key@") {
						key = value
					}
				}
			}
			s.mu.Lock()
			_, known := s.files[path]
			if !known && flags&flagCreate != 0 || known && flags&flagTrunc != 0 && !s.keys["open "+key] {
				s.files[path] = []byte{}
				s.keys["open "+key] = true
				known = true
			}
			s.mu.Unlock()
			if !known {
				out = status(statusNoSuchFile)
				break
			}
			last++
			name := fmt.Sprint("h", last)
			handles[name] = handle{path, key}
			out = pkt{fxHandle}.u32(id).str(name).length()
		case fxClose:
			delete(handles, f.str())
			out = status(statusOK)
		case fxRead:
			h, off, n := handles[f.str()], int(f.u64()), int(f.u32())
			s.work()
			s.mu.Lock()
			file := s.files[h.path]
			var data []byte
			if off < len(file) {
				data = append(data, file[off:min(len(file), off+n)]...)
			}
			s.ranBy[h.path]++
			s.mu.Unlock()
			s.rec.f("%s ran READ %s at %d, %d bytes", s.name, h.path, off, len(data))
			if len(data) == 0 {
				out = status(statusEOF)
				break
			}
			out = pkt{fxData}.u32(id).str(string(data)).length()
			if s.spoil != nil {
				if spoilt := s.spoil(id, data); spoilt != nil {
					out = spoilt
				}
			}
		case fxWrite:
			h, off, data := handles[f.str()], int(f.u64()), f.str()
			s.work()
			s.mu.Lock()
			repeat := h.key != "" && s.keys[h.key]
			if !repeat {
				s.keys[h.key] = true
				file := s.files[h.path]
				if end := off + len(data); end > len(file) {
					file = append(file, make([]byte, end-len(file))...)
				}
				copy(file[off:], data)
				s.files[h.path] = file
				s.ranBy[h.path]++
			}
			s.mu.Unlock()
			s.rec.f("%s ran WRITE %s at %d: %.40q repeat=%v", s.name, h.path, off, data, repeat)
			out = status(statusOK)
		case fxStat:
			path := f.str()
			s.mu.Lock()
			file, known := s.files[path]
			s.mu.Unlock()
			if !known {
				out = status(statusNoSuchFile)
				break
			}
			out = pkt{fxAttrs}.u32(id).u32(1).u64(uint64(len(file))).length()
		default:
			out = status(8)
		}
		if s.hang.Load() {
			s.rec.f("%s hangs: no answer to a packet of type %d", s.name, kind)
			select {}
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// work takes the time of one command.
func (s *fileServer) work() {
	if s.slots != nil {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
	}
	time.Sleep(s.service)
}

// fileClient is a client of file commands on one connection.
type fileClient struct {
	net.Conn
	id uint32
}

// reply is an answer to a file command.
type reply struct {
	kind byte
	id   uint32
	code uint32 // of a STATUS
	text string // message of a STATUS, handle, or data
}

func (r reply) String() string {
	switch r.kind {
	case fxStatus:
		return fmt.Sprintf("STATUS %d %q", r.code, r.text)
	case fxHandle:
		return "HANDLE " + r.text
	case fxData:
		return fmt.Sprintf("DATA of %d bytes %.40q", len(r.text), r.text)
	}
	return fmt.Sprintf("packet of type %d", r.kind)
}

// dialFiles connects and sends INIT. It waits for VERSION until the time is over.
func dialFiles(addr string, wait time.Duration) (*fileClient, error) {
	c, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write(pkt{fxInit}.u32(3).length()); err != nil {
		c.Close()
		return nil, err
	}
	if kind, _, err := readPkt(c); err != nil || kind != fxVersion {
		c.Close()
		return nil, fmt.Errorf("no VERSION: %v", err)
	}
	c.SetDeadline(time.Time{})
	return &fileClient{Conn: c}, nil
}

func (c *fileClient) next() uint32 { c.id++; return c.id }

func (c *fileClient) openPkt(path string, flags uint32) (uint32, []byte) {
	id := c.next()
	return id, pkt{fxOpen}.u32(id).str(path).u32(flags).u32(0).length()
}

func (c *fileClient) readPkt(handle string, off uint64, n uint32) (uint32, []byte) {
	id := c.next()
	return id, pkt{fxRead}.u32(id).str(handle).u64(off).u32(n).length()
}

func (c *fileClient) writePkt(handle string, off uint64, data string) (uint32, []byte) {
	id := c.next()
	return id, pkt{fxWrite}.u32(id).str(handle).u64(off).str(data).length()
}

// receive reads one answer until the deadline.
func (c *fileClient) receive(deadline time.Time) (reply, error) {
	c.SetReadDeadline(deadline)
	kind, f, err := readPkt(c)
	if err != nil {
		return reply{}, err
	}
	r := reply{kind: kind, id: f.u32()}
	switch kind {
	case fxStatus:
		r.code, r.text = f.u32(), f.str()
	case fxHandle, fxData:
		r.text = f.str()
	}
	return r, nil
}

// do sends a packet and reads its answer.
func (c *fileClient) do(packet []byte, wait time.Duration) (reply, error) {
	if _, err := c.Write(packet); err != nil {
		return reply{}, err
	}
	return c.receive(time.Now().Add(wait))
}

// timedOut reports whether a read has ended because its time was over, so that the other side has not ended the connection.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// open opens a file and returns its handle.
func (c *fileClient) open(path string, flags uint32) (string, error) {
	_, p := c.openPkt(path, flags)
	r, err := c.do(p, 4*time.Second)
	if err != nil {
		return "", err
	}
	if r.kind != fxHandle {
		return "", fmt.Errorf("OPEN got %v", r)
	}
	return r.text, nil
}
