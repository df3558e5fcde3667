package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// Codes of CoAP messages (RFC 7252, RFC 8323).
const coapGet, coapCSM, coapPing, coapPong = 1, 0xe1, 0xe2, 0xe3

// coapOption is an option of a CoAP message.
type coapOption struct {
	number int
	value  []byte
}

// coapMessage encodes a message for CoAP over TCP. The options are in the order of their numbers.
func coapMessage(code byte, token []byte, options ...coapOption) []byte {
	var content []byte
	last := 0
	for _, o := range options {
		delta, deltaMore := coapNibble(o.number - last)
		length, lengthMore := coapNibble(len(o.value))
		content = append(content, delta<<4|length)
		content = append(append(append(content, deltaMore...), lengthMore...), o.value...)
		last = o.number
	}
	length, more := coapNibble(len(content))
	out := append([]byte{length<<4 | byte(len(token))}, more...)
	return append(append(append(out, code), token...), content...)
}

// coapNibble encodes a number that options and messages have in the form of a nibble and up to two further bytes.
func coapNibble(n int) (nibble byte, more []byte) {
	switch {
	case n < 13:
		return byte(n), nil
	case n < 269:
		return 13, []byte{byte(n - 13)}
	}
	return 14, binary.BigEndian.AppendUint16(nil, uint16(n-269))
}

// readCoap reads a message and returns its code, its token and the size of the rest.
func readCoap(in *bufio.Reader) (code byte, token []byte, size int, err error) {
	first, err := in.ReadByte()
	if err != nil {
		return 0, nil, 0, err
	}
	size = int(first >> 4)
	if extra := map[int]int{13: 1, 14: 2, 15: 4}[size]; extra > 0 {
		var more [4]byte
		if _, err := io.ReadFull(in, more[4-extra:]); err != nil {
			return 0, nil, 0, err
		}
		size = map[int]int{13: 13, 14: 269, 15: 65805}[size] + int(binary.BigEndian.Uint32(more[:]))
	}
	if code, err = in.ReadByte(); err != nil {
		return 0, nil, 0, err
	}
	token = make([]byte, first&15)
	if _, err := io.ReadFull(in, token); err != nil {
		return 0, nil, 0, err
	}
	_, err = in.Discard(size)
	return code, token, size, err
}

// coapDevice is a device that speaks CoAP over TCP.
type coapDevice struct {
	conn net.Conn
	in   *bufio.Reader
}

// dialCoap connects over a link with packets of 1,400 bytes and little room on the device's side, and answers the first Ping.
func dialCoap(addr string) (*coapDevice, error) {
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &coapDevice{conn: conn, in: bufio.NewReaderSize(conn, 4<<10)}
	largest := binary.BigEndian.AppendUint32(nil, 70_000)
	if _, err := conn.Write(coapMessage(coapCSM, nil, coapOption{2, largest})); err != nil {
		return d, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	defer conn.SetReadDeadline(time.Time{})
	for {
		code, token, _, err := readCoap(d.in)
		if err != nil {
			return d, err
		}
		if code == coapPing {
			_, err := conn.Write(coapMessage(coapPong, token))
			return d, err
		}
	}
}

// get sends a read.
func (d *coapDevice) get(device, class, key, id string, timeLeftMs, shard int) error {
	_, err := d.conn.Write(coapMessage(coapGet, []byte(id[len(id)-2:]),
		coapOption{11, []byte(class)}, coapOption{11, []byte(key)},
		coapOption{65001, []byte(device)},
		coapOption{65005, binary.BigEndian.AppendUint32(nil, uint32(timeLeftMs))},
		coapOption{65009, []byte(id)},
		coapOption{65013, []byte("business")},
		coapOption{65017, fmt.Appendf(nil, "volume=0000000000000001,units=4,shard=%d,hosts=1", shard)}))
	return err
}
