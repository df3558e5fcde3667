package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path"
	"strconv"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/bgp"
)

// Edge is what an operator sets up beside the platform's configuration. Nil parts are off.
type Edge struct {
	SFTP    *SFTP
	BGP     *bgp.Options
	Devices *Devices
	Fleet   *Fleet
}

// SFTP sets up the front for file commands.
type SFTP struct {
	Listen      string
	MaxConns    int
	UnitBytes   float64
	ReadClass   scheduler.Class
	WriteClass  scheduler.Class
	Roots       []SFTPRoot
	BackendPort int               // of file commands, on the host of each node that Backends does not name
	Backends    map[string]string // addresses by node id
	// LookupBackend, if set, knows more addresses by node id.
	LookupBackend func(node string) (addr string, ok bool)
}

// SFTPRoot is a part of the tree of paths and what it draws on.
type SFTPRoot struct {
	Path, Plan string
	Volume     uint64
	Hosts      int
}

// BackendAddress tells where a node takes file commands.
func (f *SFTP) BackendAddress(node, addr string) (string, bool) {
	if to, ok := f.Backends[node]; ok {
		return to, true
	}
	if f.LookupBackend != nil {
		return f.LookupBackend(node)
	}
	host, _, err := net.SplitHostPort(addr)
	if f.BackendPort == 0 || err != nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(f.BackendPort)), true
}

// LoadEdge reads the operator's file.
func LoadEdge(name string, set *scheduler.Settings) (*Edge, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	e, err := ParseEdge(text, set)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return e, nil
}

// ParseEdge reads the text: JSON in which lines that begin with // are comments.
func ParseEdge(text []byte, set *scheduler.Settings) (*Edge, error) {
	var plain []byte
	for line := range bytes.Lines(text) {
		if !bytes.HasPrefix(bytes.TrimSpace(line), []byte("//")) {
			plain = append(plain, line...)
		}
	}
	v, err := fastjson.ParseBytes(plain)
	if err != nil {
		return nil, fmt.Errorf("not JSON with // comments: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("not an object")
	}
	e := &Edge{}
	if s := v.Get("sftp"); s != nil {
		if e.SFTP, err = parseSFTP(s, set); err != nil {
			return nil, fmt.Errorf("sftp: %w", err)
		}
	}
	if b := v.Get("bgp"); b != nil {
		if e.BGP, err = parseBGP(b); err != nil {
			return nil, fmt.Errorf("bgp: %w", err)
		}
	}
	if d := v.Get("devices"); d != nil {
		if e.Devices, err = parseDevices(d); err != nil {
			return nil, fmt.Errorf("devices: %w", err)
		}
	}
	if f := v.Get("fleet"); f != nil {
		if e.Fleet, err = parseFleet(f); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	return e, nil
}

// maxAnnouncedPrefixes fit in one UPDATE.
const maxAnnouncedPrefixes = 256

func parseBGP(v *fastjson.Value) (*bgp.Options, error) {
	r := &valueReader{}
	o := &bgp.Options{Peer: r.text(v, "peer"), HoldMs: 90_000}
	errs := []error{checkHostPort("peer", o.Peer)}
	for name, at := range map[string]*uint32{"local_as": &o.LocalAS, "peer_as": &o.PeerAS} {
		n := r.number(v, name)
		if n < 1 || n > math.MaxUint32 || n != math.Trunc(n) {
			errs = append(errs, fmt.Errorf("%s is not an AS number", name))
		}
		*at = uint32(n)
	}
	if v.Exists("hold_ms") {
		o.HoldMs = r.number(v, "hold_ms")
	}
	if o.HoldMs != 0 && (o.HoldMs < 3000 || o.HoldMs > 65_535_000) {
		errs = append(errs, errors.New("hold_ms is neither 0 nor from 3000 to 65535000"))
	}
	var err error
	if o.RouterID, err = netip.ParseAddr(r.text(v, "router_id")); err != nil || !o.RouterID.Is4() || o.RouterID.IsUnspecified() {
		errs = append(errs, errors.New("router_id is not an IPv4 address"))
	}
	if text := r.text(v, "next_hop"); text != "" {
		if o.NextHop, err = netip.ParseAddr(text); err != nil || !o.NextHop.Is4() {
			errs = append(errs, errors.New("next_hop is not an IPv4 address"))
		}
	}
	for _, a := range v.GetArray("announce") {
		p, err := netip.ParsePrefix(string(a.GetStringBytes()))
		if err != nil || !p.Addr().Is4() || p != p.Masked() {
			errs = append(errs, fmt.Errorf("announce: %s is not an IPv4 prefix such as 192.0.2.7/32", a))
		}
		o.Addresses = append(o.Addresses, p)
	}
	if n := len(o.Addresses); n == 0 || n > maxAnnouncedPrefixes {
		errs = append(errs, fmt.Errorf("announce: %d prefixes, wants 1 to %d", n, maxAnnouncedPrefixes))
	}
	return o, firstError(append(errs, r.err))
}

// firstError is the first error: what is wrong is told in one plain line.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkHostPort(what, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%s %q is not host:port", what, addr)
	}
	return nil
}

func parseSFTP(v *fastjson.Value, set *scheduler.Settings) (*SFTP, error) {
	r := &valueReader{}
	f := &SFTP{Listen: r.text(v, "listen"), MaxConns: int(r.number(v, "max_connections")),
		UnitBytes: r.number(v, "unit_bytes"), BackendPort: int(r.number(v, "backend_port")), Backends: map[string]string{}}
	if f.MaxConns == 0 {
		f.MaxConns = 16
	}
	if f.UnitBytes == 0 {
		f.UnitBytes = 16 << 10
	}
	errs := []error{checkHostPort("listen", f.Listen)}
	for name, at := range map[string]*scheduler.Class{"read_class": &f.ReadClass, "write_class": &f.WriteClass} {
		want, found := r.text(v, name), false
		for _, c := range set.Classes {
			if c.Name == want {
				*at, found = c, true
			}
		}
		if !found {
			errs = append(errs, fmt.Errorf("%s: the settings have no class %q", name, want))
		}
	}
	if f.WriteClass.Idempotency == scheduler.Idempotent && f.WriteClass.Name != "" {
		errs = append(errs, fmt.Errorf("write_class: repeats of %q need no key, so writes would be repeated freely", f.WriteClass.Name))
	}
	if f.BackendPort > 65535 || f.MaxConns < 1 || f.MaxConns > 4096 || f.UnitBytes < 1 {
		errs = append(errs, errors.New("backend_port, max_connections or unit_bytes is out of range"))
	}
	plans := map[string]bool{}
	for _, p := range set.Plans {
		plans[p.Name] = true
	}
	for _, x := range v.GetArray("roots") {
		root := SFTPRoot{Path: r.text(x, "path"), Plan: r.text(x, "plan"), Hosts: int(r.number(x, "hosts"))}
		volume, err := strconv.ParseUint(r.text(x, "volume"), 16, 64)
		root.Volume = volume
		if err != nil || !plans[root.Plan] || root.Path != path.Clean(root.Path) || !path.IsAbs(root.Path) {
			errs = append(errs, fmt.Errorf("root %q: wants a clean absolute path, a volume in hex and a known plan", root.Path))
		}
		if root.Hosts == 0 {
			root.Hosts = max(1, set.Gateways) // the volume's limit is dealt out over all gateways
		}
		f.Roots = append(f.Roots, root)
	}
	if len(f.Roots) == 0 {
		errs = append(errs, errors.New("no roots"))
	}
	if o := v.GetObject("backends"); o != nil {
		o.Visit(func(id []byte, addr *fastjson.Value) {
			text := string(addr.GetStringBytes())
			f.Backends[string(id)] = text
			errs = append(errs, checkHostPort("backend "+string(id), text))
		})
	}
	if f.BackendPort == 0 && len(f.Backends) == 0 {
		errs = append(errs, errors.New("neither backend_port nor backends"))
	}
	return f, firstError(append(errs, r.err))
}
