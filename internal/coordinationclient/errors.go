package coordinationclient

import (
	"fmt"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Errors of calls. They are wrapped with details of the call or of its last failure.
var (
	// ErrNotExecuted means that no coordinator has executed the call and none will.
	ErrNotExecuted = errors.New("the call was not executed")
	// ErrOutcomeUnknown means that the call got no definite answer, so it may or may not be executed.
	ErrOutcomeUnknown = errors.New("the outcome of the call is not known")
	// ErrHeld means that another owner holds the lock.
	ErrHeld = errors.New("another owner holds the lock")
	// ErrLost means that a hold of a lock has ended: it expired, it was released, or another owner has the lock.
	ErrLost = errors.New("the lock is not held any more")
	// ErrNotFound means that the key was never put.
	ErrNotFound = errors.New("the key was never put")
	// ErrInvalidResponse means that the body of a coordinator's response cannot be decoded.
	ErrInvalidResponse = errors.New("the response is not in order")
)

// RevisionMismatchError means that a put was rejected because the revision of the key differs from the expected one.
type RevisionMismatchError struct {
	Revision message.Revision // current revision of the key; 0: it was never put
}

// Error returns the current revision of the key.
func (e *RevisionMismatchError) Error() string {
	return fmt.Sprintf("the key is at revision %d", e.Revision)
}

// RejectedError means that a call was rejected with a status for which the package has no other error: the request was
// invalid, or the state has reached its maximum size (507). The call was not executed.
type RejectedError struct {
	Status int
	Text   string // the coordinator's explanation
}

// Error returns the status and the explanation of the rejection.
func (e *RejectedError) Error() string { return fmt.Sprintf("rejected with %d: %s", e.Status, e.Text) }
