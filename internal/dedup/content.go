package dedup

import (
	"crypto/sha256"

	"gaugerelay/internal/dedup/exchange"
)

// content is what is stored of an exchange.
type content struct {
	body       []byte            // of an upload
	bodyDigest [sha256.Size]byte // of the complete body, if hasDigest
	hasDigest  bool
	response   any
	etag       uint64 // of the response
}

// append adds a block to the body. The first block of another body makes the digest invalid.
func (c *content) append(block []byte) {
	if len(c.body) == 0 {
		c.hasDigest = false
	}
	c.body = append(c.body, block...)
}

// contentOf returns the content of an exchange, which it adds if there is none.
func (c *Coordinator) contentOf(id exchange.ID) *content {
	stored := c.contents[id]
	if stored == nil {
		stored = &content{}
		c.contents[id] = stored
	}
	return stored
}

// release frees what is stored of an exchange. The digest of a released body remains until the exchange is forgotten,
// because the last block may be sent again.
func (c *Coordinator) release(action exchange.Release) {
	stored := c.contents[action.ID]
	if stored == nil {
		return
	}
	if action.Body {
		stored.body = nil
	}
	if action.Response {
		stored.response = nil
	}
	if action.Exchange {
		delete(c.contents, action.ID)
	}
}
