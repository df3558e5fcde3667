package bgp

import "net/netip"

// Options say what is announced, and to whom.
type Options struct {
	PeerAddress string // host:port of the router
	LocalAS     uint32
	PeerAS      uint32
	RouterID    netip.Addr     // the speaker's BGP identifier, an IPv4 address
	HoldTimeMs  float64        // offered in the OPEN, in whole seconds; 0: neither hold timer nor keepalives
	NextHop     netip.Addr     // zero: the local address of the connection
	Prefixes    []netip.Prefix // of the service, IPv4
}
