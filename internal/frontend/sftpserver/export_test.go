package sftpserver

// Ending tells whether no connection of a front that shuts down is read any more.
func Ending(f *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		ending := c.ending
		c.mu.Unlock()
		if !ending {
			return false
		}
	}
	return f.ending
}
