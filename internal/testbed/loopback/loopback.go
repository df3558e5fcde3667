// Package loopback opens listeners and HTTP servers on loopback addresses, chooses addresses for gateway processes and
// resets TCP connections. The package has no state, and its functions are safe for concurrent use. Only ServeHTTP starts
// goroutines; they end when the server is closed.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
)

// anyLoopbackPort is a loopback address whose port 0 lets the operating system choose a free port.
const anyLoopbackPort = "127.0.0.1:0"

// Listen opens a TCP listener on a loopback port that the operating system chooses.
func Listen() (net.Listener, error) { return ListenOn(anyLoopbackPort) }

// ListenOn opens a TCP listener on an address.
func ListenOn(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", addr)
}

// ListenPacket opens a UDP socket on a loopback port that the operating system chooses.
func ListenPacket() (net.PacketConn, error) { return listenPacketOn(anyLoopbackPort) }

func listenPacketOn(addr string) (net.PacketConn, error) {
	var config net.ListenConfig
	return config.ListenPacket(context.Background(), "udp", addr)
}

// ServeHTTP starts an HTTP server on a loopback port that the operating system chooses. The caller must close the server.
func ServeHTTP(handler http.HandlerFunc) (server *http.Server, addr string, err error) {
	ln, err := Listen()
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }() // Serve returns when the server is closed.
	return server, ln.Addr().String(), nil
}

// Host returns the loopback address of a gateway process that this program starts. block is the second octet of the address;
// each package that starts gateway processes uses a different block. No outgoing connection has such an address as its source.
// A gateway's port therefore stays free while the gateway process is down.
func Host(block, gateway int) string {
	return fmt.Sprintf("127.%d.%d.%d", block, 1+os.Getpid()%250, gateway+1)
}

// FreeTCPAddr returns an address of the form "host:port" whose TCP port is free at the time of the call.
func FreeTCPAddr(host string) (string, error) {
	ln, err := ListenOn(host + ":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// FreeUDPAddr returns an address of the form "host:port" whose UDP port is free at the time of the call.
func FreeUDPAddr(host string) (string, error) {
	conn, err := listenPacketOn(host + ":0")
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// Reset closes a connection. The peer of a TCP connection receives a reset (RST) instead of an end of stream.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // SetLinger fails only on a closed connection.
	}
	conn.Close()
}
