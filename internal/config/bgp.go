package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/bgp"
)

const (
	// maxAnnouncedPrefixes is the largest number of prefixes that may be announced. That many fit in one UPDATE message.
	maxAnnouncedPrefixes = 256

	// Default and bounds of the hold time in milliseconds. A hold time of 0 is also valid: it disables the hold timer.
	defaultHoldMs = 90_000
	minHoldMs     = 3000
	maxHoldMs     = 65_535_000
)

// parseBGP parses and validates the key "bgp" of the operator's file.
func parseBGP(object *fastjson.Value) (*bgp.Options, error) {
	reader := &valueReader{}
	options := &bgp.Options{PeerAddress: reader.text(object, "peer")}
	errs := []error{checkHostPort("peer", options.PeerAddress)}
	var err error
	options.LocalAS, err = reader.asNumber(object, "local_as")
	errs = append(errs, err)
	options.PeerAS, err = reader.asNumber(object, "peer_as")
	errs = append(errs, err)
	options.HoldTimeMs = reader.numberOr(defaultHoldMs, object, "hold_ms")
	if options.HoldTimeMs != 0 && (options.HoldTimeMs < minHoldMs || options.HoldTimeMs > maxHoldMs) {
		errs = append(errs, errors.New("hold_ms is neither 0 nor from 3000 to 65535000"))
	}
	options.RouterID, err = netip.ParseAddr(reader.text(object, "router_id"))
	if err != nil || !options.RouterID.Is4() || options.RouterID.IsUnspecified() {
		errs = append(errs, errors.New("router_id is not an IPv4 address"))
	}
	if nextHop := reader.text(object, "next_hop"); nextHop != "" {
		if options.NextHop, err = netip.ParseAddr(nextHop); err != nil || !options.NextHop.Is4() {
			errs = append(errs, errors.New("next_hop is not an IPv4 address"))
		}
	}
	for _, value := range object.GetArray("announce") {
		prefix, err := netip.ParsePrefix(string(value.GetStringBytes()))
		if err != nil || !prefix.Addr().Is4() || prefix != prefix.Masked() {
			errs = append(errs, fmt.Errorf("announce: %s is not an IPv4 prefix such as 192.0.2.7/32", value))
		}
		options.Prefixes = append(options.Prefixes, prefix)
	}
	if n := len(options.Prefixes); n == 0 || n > maxAnnouncedPrefixes {
		errs = append(errs, fmt.Errorf("announce: %d prefixes, wants 1 to %d", n, maxAnnouncedPrefixes))
	}
	return options, firstError(append(errs, reader.err))
}

// asNumber reads an AS number: a whole number from 1 to 4294967295.
func (r *valueReader) asNumber(object *fastjson.Value, name string) (uint32, error) {
	n := r.number(object, name)
	if n < 1 || n > math.MaxUint32 || n != math.Trunc(n) {
		return uint32(n), fmt.Errorf("%s is not an AS number", name)
	}
	return uint32(n), nil
}
