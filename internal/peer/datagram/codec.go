package datagram

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Codec encodes packets as datagrams and decodes them.
type Codec struct {
	key []byte
}

// NewCodec returns a Codec that authenticates datagrams with a copy of a key. Without a key, the checksum only detects damage,
// and datagrams from anyone who can reach the gateway's address are accepted.
func NewCodec(key []byte) *Codec { return &Codec{key: bytes.Clone(key)} }

// checksum returns the checksum of b, which is the part of a datagram that precedes the checksum.
func (c *Codec) checksum(b []byte) (sum [checksumSize]byte) {
	if len(c.key) == 0 {
		binary.BigEndian.PutUint64(sum[:], xxhash.Sum64(b))
		return sum
	}
	mac := hmac.New(sha256.New, c.key)
	mac.Write(b)
	copy(sum[:], mac.Sum(nil))
	return sum
}
