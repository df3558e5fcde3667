package sftpclient

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
)

// The responses of a scriptedServer to an OPEN, READ or WRITE.
const (
	respondOK = iota
	respondFailure
	respondUnprocessed
	disconnect
	respondUnknownType
	respondWrongID
	respondOversized
	responseKinds
)

// scriptedServer is an SFTP server that answers each OPEN, READ and WRITE with the next response of its script.
type scriptedServer struct {
	address  string
	script   chan byte
	commands atomic.Int32 // READs and WRITEs that were received completely
}

func newScriptedServer(t testing.TB) *scriptedServer {
	t.Helper()
	server := &scriptedServer{script: make(chan byte, 2)}
	server.address = testbed.Serve(t, server.serve)
	return server
}

func (s *scriptedServer) serve(conn net.Conn) {
	for {
		packetType, body, err := readPacket(conn)
		if err != nil {
			return
		}
		kind := byte(respondOK)
		if packetType == typeOpen || packetType == typeRead || packetType == typeWrite {
			kind = <-s.script
		}
		if packetType == typeRead || packetType == typeWrite {
			s.commands.Add(1)
		}
		var id uint32
		if len(body) >= 4 {
			id = binary.BigEndian.Uint32(body)
		}
		if !s.respond(conn, kind, packetType, id) {
			return
		}
	}
}

// respond responds to a packet. It returns false if the connection must be closed.
func (s *scriptedServer) respond(conn net.Conn, kind, packetType byte, id uint32) bool {
	var response packet
	switch kind {
	case disconnect:
		return false
	case respondUnknownType:
		response = newPacket(99, id)
	case respondWrongID:
		response = statusPacket(id+1, sftpwire.StatusOK, "")
	case respondOversized:
		_, _ = io.WriteString(conn, "\xff\xff\xff\xff\x67") // the client may have closed the connection
		return false
	case respondFailure:
		response = statusPacket(id, sftpwire.StatusFailure, "disk")
	case respondUnprocessed:
		response = statusPacket(id, sftpwire.StatusFailure, sftpwire.UnprocessedPrefix+": queue full")
	default:
		response = successPacket(packetType, id)
	}
	_, _ = conn.Write(response.finish()) // the client may have closed the connection
	return true
}

// statusPacket returns a STATUS with an empty language tag.
func statusPacket(id uint32, code sftpwire.StatusCode, message string) packet {
	return newPacket(typeStatus, id).uint32(uint32(code)).string(message).string("")
}

// successPacket returns the response to a request that succeeds.
func successPacket(packetType byte, id uint32) packet {
	switch packetType {
	case typeInit:
		return newPacket(typeVersion, protocolVersion)
	case typeOpen:
		return newPacket(typeHandle, id).string("h1")
	case typeRead:
		return newPacket(typeData, id).string("data")
	}
	return statusPacket(id, sftpwire.StatusOK, "")
}
