package coordination

import "pumiceline/internal/message"

// nextNumber returns a number above all numbers issued so far. All names share one counter, so that names need no
// record. The numbers of one name therefore have gaps.
func (s *Store) nextNumber() Result {
	number := s.lastNumber + 1
	return Result{
		Answer:  message.Answer{Status: StatusOK, Number: number},
		Changes: []message.CoordinationChange{{Number: number}},
	}
}
