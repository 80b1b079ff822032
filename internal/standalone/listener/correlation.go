package listener

import "sync"

// openIDSet is the set of the correlation ids of the requests in flight. An id may be in flight only once: a backend or
// a reader of the log could not distinguish a second request with the same id from the first.
type openIDSet struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newOpenIDSet() *openIDSet { return &openIDSet{ids: map[string]struct{}{}} }

// reserve adds id and reports whether it was free.
func (s *openIDSet) reserve(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isOpen := s.ids[id]; isOpen {
		return false
	}
	s.ids[id] = struct{}{}
	return true
}

// release removes an id that was reserved.
func (s *openIDSet) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

func (s *openIDSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}
