package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Packet types, status codes and flags of SFTP version 3 (draft-ietf-secsh-filexfer-02).
const (
	fxInit, fxVersion, fxOpen, fxClose, fxRead, fxWrite = 1, 2, 3, 4, 5, 6
	fxStat, fxStatus, fxHandle, fxData, fxAttrs         = 17, 101, 102, 103, 105
	okCode, eofCode, noFileCode                         = 0, 1, 2
	readFlag, writeFlag, createFlag, truncateFlag       = 1, 2, 8, 16
)

// packet is a packet that is being written.
type packet []byte

func newPacket(kind byte, id uint32) packet { return packet{kind}.u32(id) }

func (p packet) u32(v uint32) packet { return binary.BigEndian.AppendUint32(p, v) }
func (p packet) u64(v uint64) packet { return binary.BigEndian.AppendUint64(p, v) }
func (p packet) str(s string) packet { return append(p.u32(uint32(len(s))), s...) }

// framed returns the packet with its length.
func (p packet) framed() []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(p))), p...)
}

// body is a packet that is being read.
type body struct {
	rest []byte
	bad  bool
}

func (b *body) take(n int) []byte {
	if n < 0 || n > len(b.rest) {
		b.bad = true
		return make([]byte, max(0, min(n, 8)))
	}
	taken := b.rest[:n]
	b.rest = b.rest[n:]
	return taken
}
func (b *body) u32() uint32 { return binary.BigEndian.Uint32(b.take(4)) }
func (b *body) u64() uint64 { return binary.BigEndian.Uint64(b.take(8)) }
func (b *body) str() string { return string(b.take(int(b.u32()))) }

// readPacket reads one packet.
func readPacket(in io.Reader) (kind byte, content *body, err error) {
	var head [5]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 1 || length > 1<<18 {
		return 0, nil, errors.New("a packet of a bad length")
	}
	rest := make([]byte, length-1)
	_, err = io.ReadFull(in, rest)
	return head[4], &body{rest: rest}, err
}

// fileWrite is a WRITE that reached a file node.
type fileWrite struct {
	atMs, doneMs float64
	path, key    string
	offset       int64
	data         []byte
	repeat       bool // the key had been seen within the window, so that it was dropped
}

// fileNode is the file port of a storage node. It drops a WRITE whose key has run in the last 3 s.
type fileNode struct {
	rig     *rig
	service time.Duration // of each READ and WRITE
	slots   chan struct{} // as many elements as READs and WRITEs run at once
	addr    string

	mu     sync.Mutex
	files  map[string][]byte
	keys   map[string]time.Time
	writes []*fileWrite
	reads  int
}

// newFileNode starts a file node that runs so many READs and WRITEs at once, each for the time service.
func (r *rig) newFileNode(service time.Duration, slots int) *fileNode {
	n := &fileNode{rig: r, service: service, slots: make(chan struct{}, slots), files: map[string][]byte{}, keys: map[string]time.Time{}}
	l := r.listen()
	n.addr = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// work waits for a slot and holds it for the time of a READ or WRITE.
func (n *fileNode) work() {
	n.slots <- struct{}{}
	time.Sleep(n.service)
	<-n.slots
}

// file returns the content of a file.
func (n *fileNode) file(path string) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]byte(nil), n.files[path]...)
}

type openHandle struct{ path, key string }

// serve serves one connection, one packet after another.
func (n *fileNode) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	handles, next := map[string]openHandle{}, 0
	for {
		kind, content, err := readPacket(in)
		if err != nil {
			return
		}
		id := content.u32()
		reply := newPacket(fxStatus, id).u32(okCode).str("").str("")
		switch kind {
		case fxInit:
			reply = newPacket(fxVersion, 3)
		case fxOpen:
			path, flags, key := content.str(), content.u32(), ""
			if content.u32()&0x80000000 != 0 {
				for range content.u32() {
					if name, value := content.str(), content.str(); name == "upload-key@gaugerelay" {
						key = value
					}
				}
			}
			if !n.open(path, flags, key) {
				reply = newPacket(fxStatus, id).u32(noFileCode).str("no such file").str("")
				break
			}
			next++
			name := fmt.Sprint("h", next)
			handles[name] = openHandle{path, key}
			reply = newPacket(fxHandle, id).str(name)
		case fxClose:
			delete(handles, content.str())
		case fxRead:
			h, offset, length := handles[content.str()], content.u64(), content.u32()
			n.work()
			data := n.file(h.path)
			n.mu.Lock()
			n.reads++
			n.mu.Unlock()
			if offset >= uint64(len(data)) {
				reply = newPacket(fxStatus, id).u32(eofCode).str("end").str("")
				break
			}
			reply = newPacket(fxData, id).str(string(data[offset:min(uint64(len(data)), offset+uint64(length))]))
		case fxWrite:
			h, offset, data := handles[content.str()], int64(content.u64()), []byte(content.str())
			n.write(h, offset, data)
		case fxStat:
			reply = newPacket(fxAttrs, id).u32(1).u64(uint64(len(n.file(content.str()))))
		default:
			reply = newPacket(fxStatus, id).u32(8).str("not served").str("")
		}
		if _, err := conn.Write(reply.framed()); err != nil {
			return
		}
	}
}

// open opens a file. It returns false if there is none.
func (n *fileNode) open(path string, flags uint32, key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, exists := n.files[path]
	if !exists && flags&createFlag == 0 {
		return false
	}
	if !exists || flags&truncateFlag != 0 {
		if at, seen := n.keys[key]; !seen || key == "" || time.Since(at) > 3*time.Second {
			n.files[path] = nil
			n.keys[key] = time.Now()
			n.rig.note("node: OPEN of %s empties it", path)
		}
	}
	return true
}

// write runs a WRITE, unless its key has run.
func (n *fileNode) write(h openHandle, offset int64, data []byte) {
	w := &fileWrite{atMs: n.rig.ms(), path: h.path, key: h.key, offset: offset, data: data}
	n.work()
	n.mu.Lock()
	defer n.mu.Unlock()
	at, seen := n.keys[h.key]
	w.repeat = seen && h.key != "" && time.Since(at) < 3*time.Second
	if !w.repeat {
		n.keys[h.key] = time.Now()
		content := n.files[h.path]
		if end := int(offset) + len(data); end > len(content) {
			content = append(content, make([]byte, end-len(content))...)
		}
		copy(content[offset:], data)
		n.files[h.path] = content
	}
	w.doneMs = n.rig.ms()
	n.writes = append(n.writes, w)
}

// fileClient is a client of the front for file commands.
type fileClient struct {
	conn net.Conn
	in   *bufio.Reader
	next uint32
}

// dialFiles connects and exchanges the versions.
func dialFiles(addr string, timeout time.Duration) (*fileClient, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c := &fileClient{conn: conn, in: bufio.NewReaderSize(conn, 1<<16)}
	if _, err := conn.Write(newPacket(fxInit, 3).framed()); err != nil {
		return c, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	kind, _, err := readPacket(c.in)
	_ = conn.SetReadDeadline(time.Time{})
	if err == nil && kind != fxVersion {
		err = errors.New("no VERSION")
	}
	return c, err
}

// send writes a request and returns its id.
func (c *fileClient) send(kind byte, fill func(packet) packet) (uint32, error) {
	c.next++
	_, err := c.conn.Write(fill(newPacket(kind, c.next)).framed())
	return c.next, err
}

// fileAnswer is an answer to a command.
type fileAnswer struct {
	kind   byte
	id     uint32
	code   uint32 // of a STATUS
	text   string // message of a STATUS, or the handle, or the data
	failed error
}

// answer reads the next answer.
func (c *fileClient) answer() fileAnswer {
	kind, content, err := readPacket(c.in)
	if err != nil {
		return fileAnswer{failed: err}
	}
	a := fileAnswer{kind: kind, id: content.u32()}
	switch kind {
	case fxStatus:
		a.code, a.text = content.u32(), content.str()
	case fxHandle, fxData:
		a.text = content.str()
	}
	return a
}

// call sends a request and waits for its answer.
func (c *fileClient) call(kind byte, timeout time.Duration, fill func(packet) packet) fileAnswer {
	if _, err := c.send(kind, fill); err != nil {
		return fileAnswer{failed: err}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	defer c.conn.SetReadDeadline(time.Time{})
	return c.answer()
}

// openFile opens a file and returns its handle.
func (c *fileClient) openFile(path string, flags uint32) (string, error) {
	a := c.call(fxOpen, 5*time.Second, func(p packet) packet { return p.str(path).u32(flags).u32(0) })
	if a.failed != nil || a.kind != fxHandle {
		return "", fmt.Errorf("OPEN of %s: %v %d %s", path, a.failed, a.code, a.text)
	}
	return a.text, nil
}
