package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/coordinationclient"
	"pumiceline/internal/message"
)

const (
	electionName     = "demo"
	candidateCount   = 2
	electionTerm     = 3 * time.Second // a leader that crashes stays leader for at most this long
	electionInterval = 10 * time.Millisecond
	resignTimeout    = time.Second
)

// ElectionResult is the outcome of an election over the run.
type ElectionResult struct {
	Terms          int           // number of times that a candidate was elected
	LongestVacancy time.Duration // longest time without a leader, after the first leader
	LeadersAtOnce  int           // most leaders at one moment
	HasTokenFault  bool          // a leader got a fencing token that was not above all earlier ones
}

// election runs candidates that must lead one at a time, and samples which of them lead. The candidates hold the lock
// of the election through the client library, which calls the coordinators.
type election struct {
	client *coordinationclient.Client

	mutex     sync.Mutex
	leaders   map[message.OwnerName]*coordinationclient.Hold // latest hold of each candidate
	lastToken message.FencingToken
	result    ElectionResult
}

func newElection(controlAddresses []string) (*election, error) {
	client, err := coordinationclient.New(coordinationclient.Options{Addresses: controlAddresses})
	return &election{client: client, leaders: map[message.OwnerName]*coordinationclient.Hold{}}, err
}

// run runs the candidates until ctx ends, and returns the result.
func (e *election) run(ctx context.Context) ElectionResult {
	var candidates sync.WaitGroup
	for i := range candidateCount {
		name := message.OwnerName(fmt.Sprintf("candidate-%d", i))
		candidates.Go(func() { e.campaign(ctx, name) })
	}
	e.observe(ctx)
	candidates.Wait()
	return e.result
}

// campaign campaigns for a candidate again each time that its leadership ends, until ctx ends.
func (e *election) campaign(ctx context.Context, name message.OwnerName) {
	for {
		keeper, err := e.client.NewElection(electionName, name, electionTerm).Campaign(ctx)
		if err != nil {
			return
		}
		e.addLeader(name, keeper.Hold())
		<-keeper.Done()
		if ctx.Err() == nil {
			continue
		}
		releaseContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
		_ = keeper.Release(releaseContext) // an error does not matter: the run has ended
		cancel()
		return
	}
}

func (e *election) addLeader(name message.OwnerName, hold *coordinationclient.Hold) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaders[name] = hold
	e.result.Terms++
	e.result.HasTokenFault = e.result.HasTokenFault || hold.Token() <= e.lastToken
	e.lastToken = max(e.lastToken, hold.Token())
}

// observe samples the leaders until ctx ends.
func (e *election) observe(ctx context.Context) {
	ticker := time.NewTicker(electionInterval)
	defer ticker.Stop()
	lastLeaderAt := time.Time{} // zero: no leader has been seen
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lastLeaderAt = e.sample(lastLeaderAt)
	}
}

// sample updates the result by the present leaders, and returns the time at which a leader was last seen.
func (e *election) sample(lastLeaderAt time.Time) time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	leading := lo.Filter(lo.Values(e.leaders), func(h *coordinationclient.Hold, _ int) bool { return h.IsHeld() })
	// Holds are checked twice. During the first pass over the holds one term may end and the next one begin, so that
	// both holds look held although their terms do not overlap. A hold that is held in both passes was held in between.
	e.result.LeadersAtOnce = max(e.result.LeadersAtOnce, lo.CountBy(leading, (*coordinationclient.Hold).IsHeld))
	now := time.Now()
	if len(leading) > 0 {
		return now
	}
	if !lastLeaderAt.IsZero() {
		e.result.LongestVacancy = max(e.result.LongestVacancy, now.Sub(lastLeaderAt))
	}
	return lastLeaderAt
}
