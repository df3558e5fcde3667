package bgp

import "net/netip"

// Options configure a Speaker.
type Options struct {
	PeerAddress string // host:port of the router
	LocalAS     uint32
	PeerAS      uint32
	RouterID    netip.Addr     // BGP identifier of the speaker, an IPv4 address
	HoldTimeMs  float64        // hold time in the OPEN, sent in whole seconds; 0 disables the hold timer and keepalives
	NextHop     netip.Addr     // next hop of the prefixes; the zero Addr means the local address of the connection
	Prefixes    []netip.Prefix // IPv4 prefixes to announce
}
