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

// maxPathLength is the maximum length of a command's path in bytes.
const maxPathLength = 4096

// newRequest returns the request for a command on a file and sets the path of the command. A command with an upload key belongs
// to the write class, any other command to the read class.
func (s *Server) newRequest(filePath string, command *sftpwire.Command) (*lifecycle.Request, error) {
	filePath = path.Clean("/" + filePath) // the library cleans paths too, but staying below a root must not depend on that
	root := s.findRoot(filePath)
	switch {
	case strings.ContainsRune(filePath, 0) || len(filePath) > maxPathLength:
		return nil, errBadPath
	case root == nil:
		return nil, errNoRoot
	case len(command.Data) > sftpwire.MaxData || command.Offset > math.MaxInt64:
		return nil, errBadRange
	}
	command.Path = filePath
	class := &s.ReadClass
	if command.UploadKey != "" {
		class = &s.WriteClass
	}
	key := hashPath(filePath)
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

// units returns the size of a request in units.
func (s *Server) units(command *sftpwire.Command) float64 {
	units := math.Ceil(float64(len(command.Data)+int(command.Length)) / s.UnitBytes)
	return min(max(1, units), max(1, s.MaxUnits))
}

// findRoot returns the root with the longest path that contains the file, or nil.
func (s *Server) findRoot(filePath string) *Root {
	var longest *Root
	for i := range s.Roots {
		root := &s.Roots[i]
		if root.contains(filePath) && (longest == nil || len(root.Path) > len(longest.Path)) {
			longest = root
		}
	}
	return longest
}

// contains reports whether the file is the root itself or below it.
func (r *Root) contains(filePath string) bool {
	return r.Path == "/" || filePath == r.Path || strings.HasPrefix(filePath, r.Path+"/")
}

// hashPath returns the key of a file, which is a hash of its path.
func hashPath(filePath string) uint64 {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, filePath) // a hash never returns an error
	return sum.Sum64()
}

// newUploadKey returns a random upload key.
func newUploadKey() string {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:], rand.Uint64())
	binary.BigEndian.PutUint64(key[8:], rand.Uint64())
	return hex.EncodeToString(key[:])
}
