package backend

import "github.com/pkg/errors"

// ErrWithdrawn is the cause of the error of a request that was not sent because of Request.IsWithdrawn.
var ErrWithdrawn = errors.New("the backend takes no more requests")

// Phase is how far an exchange proceeded before it failed.
type Phase int

// The phases of an exchange.
const (
	NotSent Phase = iota // no byte of the request was written: it cannot have run
	Sent                 // at least a part of the request was written: it may have run
)

// Error is the error of an exchange without a response. Its Phase decides whether the request may be retried.
type Error struct {
	Phase Phase
	cause error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
