// Package lifecycle holds what the programs of the system share between their start and their end: waits for conditions
// that pass, listeners that outlast them, and the record of how the process before ended.
//
// A condition that passes, such as a port that another process still holds or a disk that refuses writes, never ends a
// process. The process logs one line, shows the condition in its status, and goes on when it has passed. Settings that
// stay wrong end it with an error.
package lifecycle

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/logkey"
)

// RetryInterval is the time between two attempts of a wait.
const RetryInterval = 50 * time.Millisecond

// permanentError marks an error that does not pass.
type permanentError struct{ error }

func (e permanentError) Unwrap() error { return e.error }

// Permanent marks an error that does not pass, for Waits.Until. It returns nil for nil.
func Permanent(err error) error {
	if err == nil {
		return nil
	}
	return permanentError{err}
}

// Wait is a condition that a process waits for.
type Wait struct {
	Condition string    `json:"condition"` // what does not work yet
	Error     string    `json:"error"`     // of the first attempt
	Since     time.Time `json:"since"`
}

// Waits are the conditions that a process waits for now. The zero value has none. It is safe for concurrent use.
type Waits struct {
	mutex sync.Mutex
	waits []Wait
}

// Until repeats an attempt until it succeeds. It returns an error if the attempt returns one that is marked as
// Permanent, or ctx.Err() if ctx ends first.
func (w *Waits) Until(ctx context.Context, condition string, attempt func() error) error {
	err := attempt()
	if isSettled(err) {
		return err
	}
	w.begin(condition, err)
	defer w.end(condition)
	for !isSettled(err) {
		if sleepErr := ctxtime.Sleep(ctx, RetryInterval); sleepErr != nil {
			return sleepErr
		}
		err = attempt()
	}
	return err
}

// isSettled reports whether the result of an attempt ends a wait.
func isSettled(err error) bool {
	return err == nil || errors.As(err, new(permanentError))
}

func (w *Waits) begin(condition string, err error) {
	logrus.WithError(err).WithField(logkey.Condition, condition).Warn("waiting for a condition to pass")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waits = append(w.waits, Wait{Condition: condition, Error: err.Error(), Since: time.Now()})
}

func (w *Waits) end(condition string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	i := slices.IndexFunc(w.waits, func(wait Wait) bool { return wait.Condition == condition })
	logrus.WithFields(logrus.Fields{
		logkey.Condition: condition, logkey.WaitedMs: time.Since(w.waits[i].Since).Milliseconds(),
	}).Info("wait for a condition is over")
	w.waits = slices.Delete(w.waits, i, i+1)
}

// Current returns the waits of this moment, the oldest first.
func (w *Waits) Current() []Wait {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.SortedStableFunc(slices.Values(w.waits), func(a, b Wait) int { return a.Since.Compare(b.Since) })
}
