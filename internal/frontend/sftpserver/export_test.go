package sftpserver

// Draining reports whether a server is shutting down and has stopped reading from all its connections.
func Draining(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		draining := c.draining
		c.mu.Unlock()
		if !draining {
			return false
		}
	}
	return s.draining
}
