package coordinationclient

import (
	"fmt"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Errors of calls. They are wrapped with what was called and what went wrong last.
var (
	// ErrNotExecuted says that no coordinator carried the call out, and that none will.
	ErrNotExecuted = errors.New("the call was not executed")
	// ErrOutcomeUnknown says that the call had no clear answer: it may have been carried out.
	ErrOutcomeUnknown = errors.New("the outcome of the call is not known")
	// ErrHeld says that another owner holds the lock.
	ErrHeld = errors.New("another owner holds the lock")
	// ErrLost says that a hold of a lock is over: its time has passed, it was released, or another owner has the lock.
	ErrLost = errors.New("the lock is not held any more")
	// ErrNotFound says that the key was never put.
	ErrNotFound = errors.New("the key was never put")
	// ErrInvalidResponse says that a coordinator's response cannot be read.
	ErrInvalidResponse = errors.New("the response is not in order")
)

// RevisionMismatchError says that a put was rejected because the key has another revision than the put builds on.
type RevisionMismatchError struct {
	Revision message.Revision // that the key has; 0: it was never put
}

func (e *RevisionMismatchError) Error() string {
	return fmt.Sprintf("the key is at revision %d", e.Revision)
}

// RejectedError says that a call was rejected with a status that the package has no error for: it was not in order, or the
// state is as large as it may get (507). Nothing was done.
type RejectedError struct {
	Status int
	Text   string // the coordinator's explanation
}

func (e *RejectedError) Error() string { return fmt.Sprintf("rejected with %d: %s", e.Status, e.Text) }
