package sftpserver

import (
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"path"
	"strings"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/sftpwire"
)

// maxPathLength bounds the path of a command, in bytes.
const maxPathLength = 4096

// newRequest returns the request for a command on a file, and sets the path of the command. A command without an upload key is
// of the read class.
func (s *Server) newRequest(name string, command *sftpwire.Command) (*lifecycle.Request, error) {
	name = path.Clean("/" + name) // the library cleans paths too; this keeps them below the root in any case
	root := s.findRoot(name)
	switch {
	case strings.ContainsRune(name, 0) || len(name) > maxPathLength:
		return nil, errBadPath
	case root == nil:
		return nil, errNoRoot
	case len(command.Data) > sftpwire.MaxData || command.Offset > math.MaxInt64:
		return nil, errBadRange
	}
	command.Path = name
	class := &s.ReadClass
	if command.UploadKey != "" {
		class = &s.WriteClass
	}
	key := hashPath(name)
	return &lifecycle.Request{
		Class:          class.Name,
		Plan:           root.Plan,
		Volume:         root.Volume,
		Key:            key,
		RemainingMs:    clock.Ms(class.Deadline),
		Units:          s.units(command),
		Shard:          int(key % uint64(max(1, s.Shards))),
		Gateways:       root.Gateways,
		IsFirstAttempt: true,
		Upstream:       s.Upstream,
		Payload:        command,
	}, nil
}

// units returns the size of a request.
func (s *Server) units(command *sftpwire.Command) float64 {
	units := math.Ceil(float64(len(command.Data)+int(command.Length)) / s.UnitBytes)
	return min(max(1, units), max(1, s.MaxUnits))
}

// findRoot returns the longest root that contains the file, or nil.
func (s *Server) findRoot(name string) *Root {
	var longest *Root
	for i := range s.Roots {
		root := &s.Roots[i]
		if root.contains(name) && (longest == nil || len(root.Path) > len(longest.Path)) {
			longest = root
		}
	}
	return longest
}

// contains reports whether a file is the root or below it.
func (r *Root) contains(name string) bool {
	return r.Path == "/" || name == r.Path || strings.HasPrefix(name, r.Path+"/")
}

// hashPath returns the key of a file.
func hashPath(name string) uint64 {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, name) // a hash never returns an error
	return sum.Sum64()
}

// newUploadKey returns a random upload key.
func newUploadKey() string {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:], rand.Uint64())
	binary.BigEndian.PutUint64(key[8:], rand.Uint64())
	return hex.EncodeToString(key[:])
}
