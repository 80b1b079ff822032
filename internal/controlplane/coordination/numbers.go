package coordination

import "pumiceline/internal/message"

// nextNumber returns a number above all that were given. One counter serves all names, so that a name needs no record;
// the numbers of a name have gaps.
func (s *Store) nextNumber() Result {
	number := s.lastNumber + 1
	return Result{
		Answer:  message.Answer{Status: StatusOK, Number: number},
		Changes: []message.CoordinationChange{{Number: number}},
	}
}
