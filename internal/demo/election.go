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
	electionTerm     = 3 * time.Second // for which a leader that has died still leads
	electionInterval = 10 * time.Millisecond
	resignTimeout    = time.Second
)

// ElectionResult is what became of an election over the run.
type ElectionResult struct {
	Terms          int           // how often a candidate was elected
	LongestVacancy time.Duration // without a leader, after the first
	LeadersAtOnce  int           // the most at one moment
	HasTokenFault  bool          // a leader got a fencing token that was not above those before
}

// election has candidates that lead one at a time, and looks at who leads. The lock behind it is held through the client
// library, which calls the coordinators.
type election struct {
	client *coordinationclient.Client

	mutex     sync.Mutex
	leaders   map[message.OwnerName]*coordinationclient.Hold // the latest of each candidate
	lastToken message.FencingToken
	result    ElectionResult
}

func newElection(controlAddresses []string) (*election, error) {
	client, err := coordinationclient.New(coordinationclient.Options{Addresses: controlAddresses})
	return &election{client: client, leaders: map[message.OwnerName]*coordinationclient.Hold{}}, err
}

// run has the candidates lead until ctx ends, and returns what became of it.
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

// campaign leads as often as the candidate is elected, each time until the leadership is over.
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
		resigning, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
		_ = keeper.Release(resigning) // the run is over
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

// observe looks at who leads until ctx ends.
func (e *election) observe(ctx context.Context) {
	ticker := time.NewTicker(electionInterval)
	defer ticker.Stop()
	lastLed := time.Time{} // zero: there was no leader yet
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lastLed = e.note(lastLed)
	}
}

// note takes what is seen now into the result, and returns when there was a leader last.
func (e *election) note(lastLed time.Time) time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	leading := lo.Filter(lo.Values(e.leaders), func(h *coordinationclient.Hold, _ int) bool { return h.IsHeld() })
	// asked twice: a term may end and the next one begin between two looks, but who leads at both led in between
	e.result.LeadersAtOnce = max(e.result.LeadersAtOnce, lo.CountBy(leading, (*coordinationclient.Hold).IsHeld))
	now := time.Now()
	if len(leading) > 0 {
		return now
	}
	if !lastLed.IsZero() {
		e.result.LongestVacancy = max(e.result.LongestVacancy, now.Sub(lastLed))
	}
	return lastLed
}
