package sftpserver

// Draining reports whether a server shuts down and reads none of its connections any more.
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
