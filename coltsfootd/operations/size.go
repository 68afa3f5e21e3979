package operations

// Size returns the number of operations on record and the size of their stored responses.
func (s *Service) Size() (entries, bodyBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len(), s.table.BodyBytes()
}
