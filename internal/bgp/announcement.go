package bgp

import (
	"math"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"
)

// localPreference is the LOCAL_PREF attribute of routes that are announced to a peer in the same AS.
const localPreference = 100

// setReady sets whether the prefixes should be announced. If the session is established, it announces or withdraws them,
// unless they are announced or withdrawn already.
func (s *session) setReady(ready bool) {
	s.ready = ready
	if s.state != stateEstablished || s.ready == s.announced {
		return
	}
	s.announced = s.ready
	var routes []*bgp.IPAddrPrefix
	for _, prefix := range s.options.Prefixes {
		routes = append(routes, bgp.NewIPAddrPrefix(uint8(prefix.Bits()), prefix.Addr().String()))
	}
	if !ready {
		s.send(bgp.NewBGPUpdateMessage(routes, nil, nil))
		return
	}
	s.send(bgp.NewBGPUpdateMessage(nil, s.pathAttributes(), routes))
}

// pathAttributes returns the path attributes of the announced routes (RFC 4271, 5.1).
func (s *session) pathAttributes() []bgp.PathAttributeInterface {
	origin := bgp.NewPathAttributeOrigin(bgp.BGP_ORIGIN_ATTR_TYPE_IGP)
	nextHop := bgp.NewPathAttributeNextHop(s.options.NextHop.String())
	localAS := s.options.LocalAS
	if localAS == s.options.PeerAS {
		return []bgp.PathAttributeInterface{origin, bgp.NewPathAttributeAsPath(nil), nextHop,
			bgp.NewPathAttributeLocalPref(localPreference)}
	}
	fourOctetPath := bgp.NewAs4PathParam(bgp.BGP_ASPATH_ATTR_TYPE_SEQ, []uint32{localAS})
	if s.peerFourOctetAS {
		return []bgp.PathAttributeInterface{origin, asPath(fourOctetPath), nextHop}
	}
	twoOctetPath := bgp.NewAsPathParam(bgp.BGP_ASPATH_ATTR_TYPE_SEQ, []uint16{twoOctetAS(localAS)})
	attributes := []bgp.PathAttributeInterface{origin, asPath(twoOctetPath), nextHop}
	if localAS > math.MaxUint16 {
		// AS_PATH contains AS_TRANS instead of the local AS, so AS4_PATH carries the real path. The peer forwards AS4_PATH
		// without interpreting it (RFC 6793, 4.2.2).
		attributes = append(attributes, bgp.NewPathAttributeAs4Path([]*bgp.As4PathParam{fourOctetPath}))
	}
	return attributes
}

// asPath returns an AS_PATH attribute with one segment.
func asPath(segment bgp.AsPathParamInterface) bgp.PathAttributeInterface {
	return bgp.NewPathAttributeAsPath([]bgp.AsPathParamInterface{segment})
}

// twoOctetAS returns the AS number for a field of two octets: AS_TRANS if it does not fit (RFC 6793).
func twoOctetAS(as uint32) uint16 {
	if as > math.MaxUint16 {
		return bgp.AS_TRANS
	}
	return uint16(as)
}
