package distribution

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// ageSubscriber polls a hub and records the greatest age of its list.
type ageSubscriber struct {
	name       string
	budget     discovery.Budget
	observedAt time.Time // of its list; zero: it has none
	revision   message.BackendsRevision
	digest     uint64
	oldest     time.Duration
	polls      int
}

func (s *ageSubscriber) run(ctx context.Context, hub *Hub) {
	responses := make(chan *message.Message, 1)
	for ctx.Err() == nil {
		sent := time.Now()
		hub.HandlePoll(s.name, s.request(sent), func(m *message.Message) { responses <- m })
		select {
		case response := <-responses:
			s.apply(response.PollResponse, sent)
		case <-ctx.Done():
		}
	}
}

func (s *ageSubscriber) request(now time.Time) message.PollRequest {
	request := message.PollRequest{Proxies: 1, BackendDigest: s.digest}
	wait := s.budget.PollWait
	if s.digest != 0 {
		age := now.Sub(s.observedAt)
		wait, _ = s.budget.PollTimes(age)
		request.BackendsVersion = &message.BackendsVersion{AgeMs: age.Milliseconds(), Revision: s.revision}
	}
	request.MaxWaitMs = int(wait.Milliseconds())
	return request
}

func (s *ageSubscriber) apply(response *message.PollResponse, sent time.Time) {
	s.polls++
	if !response.BackendsKnown {
		return
	}
	if s.digest != 0 {
		s.oldest = max(s.oldest, time.Since(s.observedAt))
	}
	if response.Backends != nil {
		s.digest = response.Backends.Digest
	}
	if observedAt := ObservedAt(response, sent); observedAt.After(s.observedAt) {
		s.observedAt, s.revision = observedAt, response.BackendsRevision
	}
}

// A hub supplies 1,000 proxies within the part of the drain time that discovery.Budget gives to calm times, on a
// deployment with a drain time of 3 s. The list has 320 backends, and one of them changes with each reading.
func TestHub_ThousandProxiesHaveFreshLists(t *testing.T) {
	const proxies, backends, drain, duration = 1000, 320, 3 * time.Second, 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	hub := NewHub(drain)
	go hub.Run(ctx)
	hub.SetStatus(Status{ServingUntil: time.Now().Add(time.Hour)})
	budget := discovery.NewBudget(drain)
	go publishReadings(ctx, hub, budget.ReadInterval, backends)

	subscribers := make([]*ageSubscriber, proxies)
	done := make(chan struct{}, proxies)
	for i := range subscribers {
		subscribers[i] = &ageSubscriber{name: fmt.Sprint(i), budget: budget}
		go func() {
			subscribers[i].run(ctx, hub)
			done <- struct{}{}
		}()
	}
	for range subscribers {
		<-done
	}
	calm := budget.ReadInterval + budget.ReadTimeout + drain/20
	maxPolls := 2 * int(duration/budget.PollWait)
	var oldest time.Duration
	var mostPolls int
	for _, s := range subscribers {
		oldest, mostPolls = max(oldest, s.oldest), max(mostPolls, s.polls)
		assert.NotZero(t, s.digest, "subscriber %s has no list", s.name)
		assert.LessOrEqual(t, s.oldest, calm, "age of the list of subscriber %s", s.name)
		assert.LessOrEqual(t, s.polls, maxPolls, "polls of subscriber %s", s.name)
	}
	t.Logf("oldest list %v, most polls %d", oldest, mostPolls)
}

// publishReadings sets a list with one changed backend in each interval, until ctx ends.
func publishReadings(ctx context.Context, hub *Hub, interval time.Duration, backends int) {
	for reading := 1; ctx.Err() == nil; reading++ {
		list := &discovery.BackendList{ObservedAt: time.Now()}
		list.Revision = message.BackendsRevision{Token: 1, Number: uint64(reading)}
		for i := range backends {
			entry := message.Backend{ID: message.BackendID(fmt.Sprint("i-", i)), Service: "s", Address: "a", Capacity: 64}
			entry.Draining = i == reading%backends
			list.Backends = append(list.Backends, entry)
		}
		list.SetDigest()
		hub.SetBackends(list)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}
