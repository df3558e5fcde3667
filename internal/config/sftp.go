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

// SFTP configures the frontend for file commands.
type SFTP struct {
	Listen     string
	MaxConns   int
	UnitBytes  float64 // number of bytes of data that are charged as one unit
	ReadClass  scheduler.Class
	WriteClass scheduler.Class
	Roots      []SFTPRoot
	// BackendPort is the port for file commands on the hosts of servers that Backends does not list; 0 means none.
	BackendPort int
	Backends    map[string]string // addresses at which servers accept file commands, keyed by server id
	// LookupBackend, if not nil, replaces BackendPort: it returns the addresses of servers that Backends does not list.
	LookupBackend func(server string) (addr string, ok bool)
}

// SFTPRoot is a subtree of the file tree. Commands on its files are charged to a volume and a plan.
type SFTPRoot struct {
	Path, Plan string
	Volume     uint64
	Gateways   int // number of gateways that receive requests for the volume
}

// BackendAddress returns the address at which a server accepts file commands. serverAddr is the server's address for HTTP
// requests. ok is false if the server accepts no file commands.
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
	reader := &valueReader{}
	sftp := &SFTP{
		Listen:      reader.text(object, "listen"),
		MaxConns:    int(reader.number(object, "max_connections")),
		UnitBytes:   reader.number(object, "unit_bytes"),
		BackendPort: int(reader.number(object, "backend_port")),
		Backends:    map[string]string{},
	}
	if sftp.MaxConns == 0 {
		sftp.MaxConns = defaultSFTPMaxConns
	}
	if sftp.UnitBytes == 0 {
		sftp.UnitBytes = defaultSFTPUnitBytes
	}
	errs := []error{checkHostPort("listen", sftp.Listen)}
	errs = append(errs, sftp.parseClasses(reader, object, settings)...)
	if sftp.BackendPort > maxPort || sftp.MaxConns < 1 || sftp.MaxConns > maxSFTPMaxConns || sftp.UnitBytes < 1 {
		errs = append(errs, errors.New("backend_port, max_connections or unit_bytes is out of range"))
	}
	errs = append(errs, sftp.parseRoots(reader, object, settings)...)
	errs = append(errs, sftp.parseBackends(object)...)
	return sftp, firstError(append(errs, reader.err))
}

// parseClasses looks up the classes of reads and writes by their names. The class of writes must not be Idempotent: requests of
// an Idempotent class are repeated without a key and are not deduplicated.
func (s *SFTP) parseClasses(reader *valueReader, object *fastjson.Value, settings *scheduler.Settings) (errs []error) {
	for _, class := range []struct {
		key   string
		field *scheduler.Class
	}{{"read_class", &s.ReadClass}, {"write_class", &s.WriteClass}} {
		name := reader.text(object, class.key)
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

// parseRoots parses the roots. At least one is required.
func (s *SFTP) parseRoots(reader *valueReader, object *fastjson.Value, settings *scheduler.Settings) (errs []error) {
	plans := map[string]bool{}
	for _, plan := range settings.Plans {
		plans[plan.Name] = true
	}
	for _, value := range object.GetArray("roots") {
		root := SFTPRoot{Path: reader.text(value, "path"), Plan: reader.text(value, "plan"), Gateways: int(reader.number(value, "hosts"))}
		volume, err := strconv.ParseUint(reader.text(value, "volume"), 16, 64)
		root.Volume = volume
		if err != nil || !plans[root.Plan] || root.Path != path.Clean(root.Path) || !path.IsAbs(root.Path) {
			errs = append(errs, fmt.Errorf("root %q: wants a clean absolute path, a volume in hex and a known plan", root.Path))
		}
		if root.Gateways == 0 {
			// Without the key hosts, all gateways are assumed to receive requests for the volume. This is conservative: the
			// volume's limit is divided among all of them.
			root.Gateways = max(1, settings.Gateways)
		}
		s.Roots = append(s.Roots, root)
	}
	if len(s.Roots) == 0 {
		errs = append(errs, errors.New("roots is empty: at least one root is required"))
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
		errs = append(errs, errors.New("backend_port and backends are both missing: at least one is required"))
	}
	return errs
}
