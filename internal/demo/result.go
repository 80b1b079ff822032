package demo

import (
	"time"

	"github.com/pkg/errors"
)

// Result is the outcome of a run.
type Result struct {
	Streams             RequestCounts // requests on the streaming route, which must run at most once
	Documents           RequestCounts // requests on the changing route, which must run at most once
	ModelLoads          int           // number of models that backends loaded on command
	AcknowledgedChanges int           // number of acknowledged configuration changes
	AcknowledgedVersion uint64        // latest acknowledged version of the configuration
	ReadVersion         uint64        // version of the configuration that was read at the end
	KilledCoordinator   string        // killed as holder of the controller lease
	KilledIssuer        string        // killed as the node that decides the calls of applications
	LongestGap          time.Duration // longest time between two acknowledged changes; it covers the kills
	Election            ElectionResult
}

// RequestCounts counts the requests of one kind by their result.
type RequestCounts struct {
	Served, Rejected, Failed int
	Duplicated               int // requests that ran more than once
	Incomplete               int // responses with status 200 and an incomplete body
}

// Violation returns an error for the first guarantee that the system violated, or nil.
func (r *Result) Violation() error {
	switch {
	case r.Streams.Served == 0 || r.Documents.Served == 0:
		return errors.New("some kind of request was never served")
	case r.Streams.Duplicated+r.Documents.Duplicated > 0:
		return errors.New("a request ran more than once")
	case r.Streams.Incomplete+r.Documents.Incomplete > 0:
		return errors.New("a response with status 200 was incomplete")
	case r.AcknowledgedChanges < 2:
		return errors.New("changes of the configuration were not acknowledged")
	case r.ReadVersion != r.AcknowledgedVersion:
		return errors.Errorf("version %d was acknowledged last, %d was read back", r.AcknowledgedVersion, r.ReadVersion)
	case r.ModelLoads == 0:
		return errors.New("no model was loaded")
	case r.Election.Terms == 0:
		return errors.New("no candidate was elected")
	case r.Election.LeadersAtOnce > 1:
		return errors.New("two candidates led at the same time")
	case r.Election.HasTokenFault:
		return errors.New("a leader's fencing token was not above those before")
	}
	return nil
}
