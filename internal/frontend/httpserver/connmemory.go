package httpserver

// reserveHead reserves memory for the head of the current request. It returns false if there is none.
func (c *clientConn) reserveHead(bytes int) bool {
	reserved := c.account.Reserve(bytes)
	if reserved {
		c.requestBytes += bytes
	}
	return reserved
}

// reserveBody reserves memory for the body of the current request. It returns false if there is none.
func (c *clientConn) reserveBody(bytes int) bool {
	reserved := c.account.ReserveBulk(bytes)
	if reserved {
		c.requestBytes += bytes
	}
	return reserved
}

// force counts memory of the current request that is in use already.
func (c *clientConn) force(bytes int) {
	c.account.Force(bytes)
	c.requestBytes += bytes
}

// release ends the use of memory of the current request.
func (c *clientConn) release(bytes int) {
	c.account.Release(bytes)
	c.requestBytes -= bytes
}

// reserveBuffer adds n, or as much of it as tracker.MaxPipelinedBytes and the memory allow, to the counts of buffered bytes, and returns
// what it added.
func (c *clientConn) reserveBuffer(n int) int {
	n = c.countBuffer(n, c.tracker.MaxPipelinedBytes)
	if !c.account.ReserveBulk(n) {
		c.countBuffer(-n, 0)
		return 0
	}
	return n
}

// forceBuffer adds n to the counts of buffered bytes.
func (c *clientConn) forceBuffer(n int) {
	c.account.Force(c.countBuffer(n, 0))
}

// releaseBuffer subtracts n from the counts of buffered bytes.
func (c *clientConn) releaseBuffer(n int) {
	c.account.Release(-c.countBuffer(-n, 0))
}

// countBuffer adds n to the numbers of buffered bytes of the connection and of the tracker, but not more than the limit of the latter
// allows; 0 means no limit. It returns what it added.
func (c *clientConn) countBuffer(n, limit int) int {
	tracker := c.tracker
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if c.closed { // closeLocked has released all bytes of the connection
		return 0
	}
	if limit > 0 {
		n = min(n, max(0, limit-tracker.pipelinedBytes))
	}
	c.bufferedBytes += n
	tracker.pipelinedBytes += n
	return n
}
