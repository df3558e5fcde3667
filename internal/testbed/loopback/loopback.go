// Package loopback opens listeners and HTTP servers on loopback addresses, chooses addresses for gateway processes and
// resets TCP connections. It keeps no state; its functions may be called from any goroutine. The only goroutines that it
// starts are those of ServeHTTP, which end when the server is closed.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
)

// anyPort is the loopback address with a port that the system chooses.
const anyPort = "127.0.0.1:0"

// Listen opens a TCP listener on a port that the system chooses.
func Listen() (net.Listener, error) { return ListenOn(anyPort) }

// ListenOn opens a TCP listener on an address.
func ListenOn(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", addr)
}

// ListenPacket opens a UDP socket on a port that the system chooses.
func ListenPacket() (net.PacketConn, error) { return listenPacketOn(anyPort) }

func listenPacketOn(addr string) (net.PacketConn, error) {
	var config net.ListenConfig
	return config.ListenPacket(context.Background(), "udp", addr)
}

// ServeHTTP starts an HTTP server on a port that the system chooses. The caller must close the server.
func ServeHTTP(handler http.HandlerFunc) (server *http.Server, addr string, err error) {
	ln, err := Listen()
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }() // returns when the server is closed
	return server, ln.Addr().String(), nil
}

// Host returns the loopback address of one gateway process of this program. Each bench has a block of its own. No
// outgoing connection uses these addresses, so none takes the port of a gateway while its process is down.
func Host(block, gateway int) string {
	return fmt.Sprintf("127.%d.%d.%d", block, 1+os.Getpid()%250, gateway+1)
}

// FreeTCPAddr returns an address with a TCP port that is free at the time of the call.
func FreeTCPAddr(host string) (string, error) {
	ln, err := ListenOn(host + ":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// FreeUDPAddr returns an address with a UDP port that is free at the time of the call.
func FreeUDPAddr(host string) (string, error) {
	conn, err := listenPacketOn(host + ":0")
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// Reset closes a connection; the peer of a TCP connection gets a reset instead of an end of stream.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	conn.Close()
}
