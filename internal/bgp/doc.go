// Package bgp announces the service's addresses to one router by BGP (RFC 4271) while the gateway is ready, and
// withdraws them when it drains.
//
// The speaker implements only what this purpose needs. It opens connections and accepts none, so that two connections to the
// same router cannot collide. It announces IPv4 prefixes and stores no routes of the peer. Messages are encoded and parsed by
// gobgp's packet package, which adds 0.6 MB to the program. gobgp's server is not used because it depends on gRPC.
//
// Speaker.Run handles the connection and the session in the goroutine that calls it. While a connection is open, a second
// goroutine reads messages; Run waits for its end. The session itself is a state machine without I/O or a clock. It
// announces prefixes only while it is established, and never repeats an announcement or a withdrawal.
package bgp
