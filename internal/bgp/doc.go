// Package bgp announces the service's addresses to one router by BGP (RFC 4271) while the gateway is ready, and
// withdraws them when it drains.
//
// It is a small speaker: it opens the connection and accepts none, so that connections cannot collide; it announces IPv4
// prefixes and keeps no routes of the peer. Messages are encoded by gobgp's packet package, which adds 0.6 MB to the
// program; gobgp's server would bring gRPC with it.
//
// Speaker.Run owns the connection and the session on the goroutine that calls it; a second goroutine, which it waits for,
// reads messages while a connection is open. The session itself is a state machine without I/O or a clock. It announces
// prefixes only while it is established, and repeats neither an announcement nor a withdrawal.
package bgp
