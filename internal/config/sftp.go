package config

import (
	"errors"
	"fmt"
	"net"
	"path"
	"strconv"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"
)

const (
	defaultSFTPMaxConns  = 16
	maxSFTPMaxConns      = 4096
	defaultSFTPUnitBytes = 16 << 10
	maxPort              = 65535
)

// SFTP sets up the frontend for file commands.
type SFTP struct {
	Listen      string
	MaxConns    int
	UnitBytes   float64 // bytes of data that count as one unit
	ReadClass   scheduler.Class
	WriteClass  scheduler.Class
	Roots       []SFTPRoot
	BackendPort int               // for file commands on the hosts of servers that Backends does not name; 0: none
	Backends    map[string]string // addresses by server id
	// LookupBackend, if it is not nil, finds the addresses of servers that Backends does not name.
	LookupBackend func(server string) (addr string, ok bool)
}

// SFTPRoot is a part of the file tree, with the volume and the plan that its commands are charged to.
type SFTPRoot struct {
	Path, Plan string
	Volume     uint64
	Gateways   int // gateways through which the volume's requests come
}

// BackendAddress returns the address at which a server takes file commands. serverAddr is the server's address for
// requests. ok is false if the server takes none.
func (s *SFTP) BackendAddress(server, serverAddr string) (addr string, ok bool) {
	if addr, ok := s.Backends[server]; ok {
		return addr, true
	}
	if s.LookupBackend != nil {
		return s.LookupBackend(server)
	}
	host, _, err := net.SplitHostPort(serverAddr)
	if s.BackendPort == 0 || err != nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(s.BackendPort)), true
}

// parseSFTP parses and validates the key "sftp" of the operator's file.
func parseSFTP(object *fastjson.Value, settings *scheduler.Settings) (*SFTP, error) {
	r := &valueReader{}
	s := &SFTP{
		Listen:      r.text(object, "listen"),
		MaxConns:    int(r.number(object, "max_connections")),
		UnitBytes:   r.number(object, "unit_bytes"),
		BackendPort: int(r.number(object, "backend_port")),
		Backends:    map[string]string{},
	}
	if s.MaxConns == 0 {
		s.MaxConns = defaultSFTPMaxConns
	}
	if s.UnitBytes == 0 {
		s.UnitBytes = defaultSFTPUnitBytes
	}
	errs := []error{checkHostPort("listen", s.Listen)}
	errs = append(errs, s.parseClasses(r, object, settings)...)
	if s.BackendPort > maxPort || s.MaxConns < 1 || s.MaxConns > maxSFTPMaxConns || s.UnitBytes < 1 {
		errs = append(errs, errors.New("backend_port, max_connections or unit_bytes is out of range"))
	}
	errs = append(errs, s.parseRoots(r, object, settings)...)
	errs = append(errs, s.parseBackends(object)...)
	return s, firstError(append(errs, r.err))
}

// parseClasses looks up the classes by their names, and checks that writes can be deduplicated.
func (s *SFTP) parseClasses(r *valueReader, object *fastjson.Value, settings *scheduler.Settings) (errs []error) {
	for _, class := range []struct {
		key   string
		field *scheduler.Class
	}{{"read_class", &s.ReadClass}, {"write_class", &s.WriteClass}} {
		name := r.text(object, class.key)
		found := false
		for _, candidate := range settings.Classes {
			if candidate.Name == name {
				*class.field, found = candidate, true
			}
		}
		if !found {
			errs = append(errs, fmt.Errorf("%s: the settings have no class %q", class.key, name))
		}
	}
	if s.WriteClass.Idempotency == scheduler.Idempotent && s.WriteClass.Name != "" {
		errs = append(errs, fmt.Errorf("write_class: repeats of %q need no key, so writes would be repeated freely", s.WriteClass.Name))
	}
	return errs
}

// parseRoots parses the roots, of which there must be at least one.
func (s *SFTP) parseRoots(r *valueReader, object *fastjson.Value, settings *scheduler.Settings) (errs []error) {
	plans := map[string]bool{}
	for _, plan := range settings.Plans {
		plans[plan.Name] = true
	}
	for _, value := range object.GetArray("roots") {
		root := SFTPRoot{Path: r.text(value, "path"), Plan: r.text(value, "plan"), Gateways: int(r.number(value, "hosts"))}
		volume, err := strconv.ParseUint(r.text(value, "volume"), 16, 64)
		root.Volume = volume
		if err != nil || !plans[root.Plan] || root.Path != path.Clean(root.Path) || !path.IsAbs(root.Path) {
			errs = append(errs, fmt.Errorf("root %q: wants a clean absolute path, a volume in hex and a known plan", root.Path))
		}
		if root.Gateways == 0 {
			root.Gateways = max(1, settings.Gateways) // the conservative choice: the volume's limit is divided among all gateways
		}
		s.Roots = append(s.Roots, root)
	}
	if len(s.Roots) == 0 {
		errs = append(errs, errors.New("no roots"))
	}
	return errs
}

// parseBackends parses the addresses of servers for file commands.
func (s *SFTP) parseBackends(object *fastjson.Value) (errs []error) {
	if backends := object.GetObject("backends"); backends != nil {
		backends.Visit(func(id []byte, value *fastjson.Value) {
			address := string(value.GetStringBytes())
			s.Backends[string(id)] = address
			errs = append(errs, checkHostPort("backend "+string(id), address))
		})
	}
	if s.BackendPort == 0 && len(s.Backends) == 0 {
		errs = append(errs, errors.New("neither backend_port nor backends"))
	}
	return errs
}
