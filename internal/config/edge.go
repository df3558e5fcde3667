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
	Files   *Files
	BGP     *bgp.Options
	Devices *Devices
	Fleet   *Fleet
}

// Files sets up the front for file commands.
type Files struct {
	Listen    string
	MaxConns  int
	UnitBytes float64
	Read      scheduler.Class
	Write     scheduler.Class
	Roots     []FileRoot
	Port      int               // of file commands, on the host of each node that Backends does not name
	Backends  map[string]string // addresses by node id
	// Lookup, if set, knows more addresses by node id.
	Lookup func(node string) (addr string, ok bool)
}

// FileRoot is a part of the tree of paths and what it draws on.
type FileRoot struct {
	Path, Plan string
	Volume     uint64
	Hosts      int
}

// Address tells where a node takes file commands.
func (f *Files) Address(node, addr string) (string, bool) {
	if to, ok := f.Backends[node]; ok {
		return to, true
	}
	if f.Lookup != nil {
		return f.Lookup(node)
	}
	host, _, err := net.SplitHostPort(addr)
	if f.Port == 0 || err != nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(f.Port)), true
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
		if e.Files, err = files(s, set); err != nil {
			return nil, fmt.Errorf("sftp: %w", err)
		}
	}
	if b := v.Get("bgp"); b != nil {
		if e.BGP, err = announcements(b); err != nil {
			return nil, fmt.Errorf("bgp: %w", err)
		}
	}
	if d := v.Get("devices"); d != nil {
		if e.Devices, err = devices(d); err != nil {
			return nil, fmt.Errorf("devices: %w", err)
		}
	}
	if f := v.Get("fleet"); f != nil {
		if e.Fleet, err = fleetOf(f); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	return e, nil
}

// maxAddresses fit in one UPDATE.
const maxAddresses = 256

func announcements(v *fastjson.Value) (*bgp.Options, error) {
	r := &reader{}
	o := &bgp.Options{PeerAddress: r.str(v, "peer"), HoldTimeMs: 90_000}
	errs := []error{hostPort("peer", o.PeerAddress)}
	for name, at := range map[string]*uint32{"local_as": &o.LocalAS, "peer_as": &o.PeerAS} {
		n := r.num(v, name)
		if n < 1 || n > math.MaxUint32 || n != math.Trunc(n) {
			errs = append(errs, fmt.Errorf("%s is not an AS number", name))
		}
		*at = uint32(n)
	}
	if v.Exists("hold_ms") {
		o.HoldTimeMs = r.num(v, "hold_ms")
	}
	if o.HoldTimeMs != 0 && (o.HoldTimeMs < 3000 || o.HoldTimeMs > 65_535_000) {
		errs = append(errs, errors.New("hold_ms is neither 0 nor from 3000 to 65535000"))
	}
	var err error
	if o.RouterID, err = netip.ParseAddr(r.str(v, "router_id")); err != nil || !o.RouterID.Is4() || o.RouterID.IsUnspecified() {
		errs = append(errs, errors.New("router_id is not an IPv4 address"))
	}
	if text := r.str(v, "next_hop"); text != "" {
		if o.NextHop, err = netip.ParseAddr(text); err != nil || !o.NextHop.Is4() {
			errs = append(errs, errors.New("next_hop is not an IPv4 address"))
		}
	}
	for _, a := range v.GetArray("announce") {
		p, err := netip.ParsePrefix(string(a.GetStringBytes()))
		if err != nil || !p.Addr().Is4() || p != p.Masked() {
			errs = append(errs, fmt.Errorf("announce: %s is not an IPv4 prefix such as 192.0.2.7/32", a))
		}
		o.Prefixes = append(o.Prefixes, p)
	}
	if n := len(o.Prefixes); n == 0 || n > maxAddresses {
		errs = append(errs, fmt.Errorf("announce: %d prefixes, wants 1 to %d", n, maxAddresses))
	}
	return o, first(append(errs, r.err))
}

// first is the first error: what is wrong is told in one plain line.
func first(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func hostPort(what, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%s %q is not host:port", what, addr)
	}
	return nil
}

func files(v *fastjson.Value, set *scheduler.Settings) (*Files, error) {
	r := &reader{}
	f := &Files{Listen: r.str(v, "listen"), MaxConns: int(r.num(v, "max_connections")),
		UnitBytes: r.num(v, "unit_bytes"), Port: int(r.num(v, "backend_port")), Backends: map[string]string{}}
	if f.MaxConns == 0 {
		f.MaxConns = 16
	}
	if f.UnitBytes == 0 {
		f.UnitBytes = 16 << 10
	}
	errs := []error{hostPort("listen", f.Listen)}
	for name, at := range map[string]*scheduler.Class{"read_class": &f.Read, "write_class": &f.Write} {
		want, found := r.str(v, name), false
		for _, c := range set.Classes {
			if c.Name == want {
				*at, found = c, true
			}
		}
		if !found {
			errs = append(errs, fmt.Errorf("%s: the settings have no class %q", name, want))
		}
	}
	if f.Write.Idempotency == scheduler.Idempotent && f.Write.Name != "" {
		errs = append(errs, fmt.Errorf("write_class: repeats of %q need no key, so writes would be repeated freely", f.Write.Name))
	}
	if f.Port > 65535 || f.MaxConns < 1 || f.MaxConns > 4096 || f.UnitBytes < 1 {
		errs = append(errs, errors.New("backend_port, max_connections or unit_bytes is out of range"))
	}
	plans := map[string]bool{}
	for _, p := range set.Plans {
		plans[p.Name] = true
	}
	for _, x := range v.GetArray("roots") {
		root := FileRoot{Path: r.str(x, "path"), Plan: r.str(x, "plan"), Hosts: int(r.num(x, "hosts"))}
		volume, err := strconv.ParseUint(r.str(x, "volume"), 16, 64)
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
			errs = append(errs, hostPort("backend "+string(id), text))
		})
	}
	if f.Port == 0 && len(f.Backends) == 0 {
		errs = append(errs, errors.New("neither backend_port nor backends"))
	}
	return f, first(append(errs, r.err))
}
