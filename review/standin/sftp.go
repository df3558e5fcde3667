package standin

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Packet types and status codes of SFTP version 3 (draft-ietf-secsh-filexfer-02).
const (
	sftpInit    = 1
	sftpVersion = 2
	sftpOpen    = 3
	sftpClose   = 4
	sftpRead    = 5
	sftpWrite   = 6
	sftpStatus  = 101
	sftpHandle  = 102
	sftpData    = 103

	sftpOK          = 0
	sftpEOF         = 1
	sftpUnsupported = 8

	// Flags of an OPEN.
	FileRead     = 1
	FileWrite    = 2
	FileCreate   = 8
	FileTruncate = 16
)

const uploadKeyAttribute = "upload-key@gaugerelay"

// body is the body of a packet that is being built or read.
type body struct{ bytes.Buffer }

func (b *body) putInt(v uint32)     { _ = binary.Write(b, binary.BigEndian, v) }
func (b *body) putLong(v uint64)    { _ = binary.Write(b, binary.BigEndian, v) }
func (b *body) putText(text []byte) { b.putInt(uint32(len(text))); b.Write(text) }

func (b *body) int() (v uint32) {
	_ = binary.Read(b, binary.BigEndian, &v)
	return v
}

func (b *body) long() (v uint64) {
	_ = binary.Read(b, binary.BigEndian, &v)
	return v
}

func (b *body) text() []byte { return bytes.Clone(b.Next(int(b.int()))) }

func writePacket(w io.Writer, packetType byte, b *body) error {
	packet := binary.BigEndian.AppendUint32(nil, uint32(b.Len()+1))
	packet = append(append(packet, packetType), b.Bytes()...)
	_, err := w.Write(packet)
	return err
}

func readPacket(r io.Reader) (packetType byte, b *body, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 1 || length > 1<<20 {
		return 0, nil, errors.New("bad length of a packet")
	}
	content := make([]byte, length-1)
	if _, err := io.ReadFull(r, content); err != nil {
		return 0, nil, err
	}
	b = &body{}
	b.Write(content)
	return head[4], b, nil
}

// FileServer is the file port of a storage node. It drops a WRITE whose upload key it has run within Window.
type FileServer struct {
	Addr   string
	Window time.Duration

	env   *Env
	mu    sync.Mutex
	files map[string][]byte
	ran   map[string]time.Time
}

// StartFileServer starts a file server on a loopback port.
func StartFileServer(env *Env, window time.Duration) (*FileServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &FileServer{Addr: listener.Addr().String(), Window: window, env: env, files: map[string][]byte{}, ran: map[string]time.Time{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Content returns the content of a file.
func (s *FileServer) Content(path string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.files[path])
}

type openHandle struct{ path, key string }

func (s *FileServer) serve(conn net.Conn) {
	defer conn.Close()
	handles := map[string]openHandle{}
	last := 0
	for {
		packetType, request, err := readPacket(conn)
		if err != nil {
			return
		}
		answer := &body{}
		if packetType == sftpInit {
			answer.putInt(3)
			if writePacket(conn, sftpVersion, answer) != nil {
				return
			}
			continue
		}
		id := request.int()
		answer.putInt(id)
		answerType := byte(sftpStatus)
		status := func(code uint32) {
			answer.putInt(code)
			answer.putText(nil)
			answer.putText(nil)
		}
		switch packetType {
		case sftpOpen:
			path := string(request.text())
			flags := request.int()
			key := ""
			if request.int()&(1<<31) != 0 {
				for range request.int() {
					name, value := string(request.text()), string(request.text())
					if name == uploadKeyAttribute {
						key = value
					}
				}
			}
			last++
			handle := fmt.Sprint(last)
			handles[handle] = openHandle{path, key}
			if flags&FileTruncate != 0 {
				s.truncate(path)
			}
			answerType = sftpHandle
			answer.putText([]byte(handle))
		case sftpClose:
			delete(handles, string(request.text()))
			status(sftpOK)
		case sftpRead:
			handle := handles[string(request.text())]
			offset, length := int(request.long()), int(request.int())
			content := s.Content(handle.path)
			if offset >= len(content) {
				status(sftpEOF)
				break
			}
			answerType = sftpData
			answer.putText([]byte(content[offset:min(len(content), offset+length)]))
		case sftpWrite:
			handle := handles[string(request.text())]
			offset := int(request.long())
			s.write(handle, offset, request.text())
			status(sftpOK)
		default:
			status(sftpUnsupported)
		}
		if writePacket(conn, answerType, answer) != nil {
			return
		}
	}
}

func (s *FileServer) truncate(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files[path] = nil
	s.env.Logf("file server: ran OPEN %s, which truncates the file", path)
}

func (s *FileServer) write(handle openHandle, offset int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, known := s.ran[handle.key]; known && handle.key != "" && time.Since(last) < s.Window {
		s.env.Logf("file server: dropped a repeat of the WRITE with the key %s", handle.key)
		return
	}
	s.ran[handle.key] = time.Now()
	content := s.files[handle.path]
	if missing := offset + len(data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[offset:], data)
	s.files[handle.path] = content
	s.env.Logf("file server: ran WRITE %s offset %d length %d key %s", handle.path, offset, len(data), handle.key)
}

// FileClient is a client of file commands. It sends one command at a time.
type FileClient struct {
	Conn net.Conn
	id   uint32
}

// DialFiles connects to a gateway's port for file commands from the given loopback address.
func DialFiles(addr, from string) (*FileClient, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &FileClient{Conn: conn}
	hello := &body{}
	hello.putInt(3)
	if err := writePacket(conn, sftpInit, hello); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if packetType, _, err := readPacket(conn); err != nil || packetType != sftpVersion {
		return nil, fmt.Errorf("no VERSION: type %d, %v", packetType, err)
	}
	return c, nil
}

func (c *FileClient) roundTrip(packetType byte, fill func(*body)) (byte, *body, error) {
	c.id++
	request := &body{}
	request.putInt(c.id)
	fill(request)
	if err := writePacket(c.Conn, packetType, request); err != nil {
		return 0, nil, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	answerType, answer, err := readPacket(c.Conn)
	if err != nil {
		return 0, nil, err
	}
	if id := answer.int(); id != c.id {
		return 0, nil, fmt.Errorf("answer to %d, want %d", id, c.id)
	}
	return answerType, answer, nil
}

// status returns an error unless the answer is the status OK.
func status(answerType byte, answer *body, err error) error {
	if err != nil {
		return err
	}
	if answerType != sftpStatus {
		return fmt.Errorf("answer of type %d", answerType)
	}
	if code := answer.int(); code != sftpOK {
		return fmt.Errorf("status %d %q", code, answer.text())
	}
	return nil
}

// Open opens a file.
func (c *FileClient) Open(path string, flags uint32) (handle string, err error) {
	answerType, answer, err := c.roundTrip(sftpOpen, func(b *body) {
		b.putText([]byte(path))
		b.putInt(flags)
		b.putInt(0)
	})
	if err != nil {
		return "", err
	}
	if answerType != sftpHandle {
		return "", status(answerType, answer, nil)
	}
	return string(answer.text()), nil
}

// Write writes data at an offset.
func (c *FileClient) Write(handle string, offset uint64, data string) error {
	return status(c.roundTrip(sftpWrite, func(b *body) {
		b.putText([]byte(handle))
		b.putLong(offset)
		b.putText([]byte(data))
	}))
}

// Read reads data at an offset.
func (c *FileClient) Read(handle string, offset uint64, length uint32) (string, error) {
	answerType, answer, err := c.roundTrip(sftpRead, func(b *body) {
		b.putText([]byte(handle))
		b.putLong(offset)
		b.putInt(length)
	})
	if err != nil {
		return "", err
	}
	if answerType != sftpData {
		return "", status(answerType, answer, nil)
	}
	return string(answer.text()), nil
}

// Close closes a handle.
func (c *FileClient) Close(handle string) error {
	return status(c.roundTrip(sftpClose, func(b *body) { b.putText([]byte(handle)) }))
}
