package dedup

import (
	"crypto/sha256"

	"gaugerelay/internal/dedup/exchange"
)

// content is the stored body and response of an exchange.
type content struct {
	body       []byte            // body of an upload
	bodyDigest [sha256.Size]byte // digest of the complete body; valid if hasDigest is true
	hasDigest  bool
	response   any
	etag       uint64 // entity tag of the response
}

// append adds a block to the body. The first block of a body invalidates the digest of the previous body.
func (c *content) append(block []byte) {
	if len(c.body) == 0 {
		c.hasDigest = false
	}
	c.body = append(c.body, block...)
}

// findOrAddContent returns the content of an exchange, after adding an empty one if there is none.
func (c *Coordinator) findOrAddContent(id exchange.ID) *content {
	stored := c.contents[id]
	if stored == nil {
		stored = &content{}
		c.contents[id] = stored
	}
	return stored
}

// release frees the parts of an exchange's content that are set in the action. The digest of a released body is kept until the
// exchange is forgotten, because assembleBody needs it if the device sends the last block again.
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
