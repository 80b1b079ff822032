package distribution

import (
	"slices"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// unavailableWait is how long the answer to a poll is delayed while the member does not serve. After a change of the
// view a majority confirms the member within this time, so most subscribers need not fail over to another member.
const unavailableWait = 200 * time.Millisecond

// pendingPoll is a poll that has not been answered.
type pendingPoll struct {
	request    message.PollRequest
	subscriber string
	receivedAt time.Time
	reply      func(*message.Message)
}

// maxWait is how long the hub may delay the answer while there is nothing newer.
func (p *pendingPoll) maxWait() time.Duration {
	return time.Duration(p.request.MaxWaitMs) * time.Millisecond
}

// send answers the poll. Writing to the network may block, so it does not happen in the hub's goroutine.
func (p *pendingPoll) send(response *message.PollResponse) {
	response.ID = p.request.ID
	go p.reply(&message.Message{PollResponse: response})
}

// HandlePoll takes a poll. reply is called once, on a goroutine of its own: as soon as there is something newer than
// the request's versions, and at the latest after the request's MaxWaitMs. While the member does not serve, the reply
// is Unavailable, delayed by up to unavailableWait; it has the list of backends all the same.
func (h *Hub) HandlePoll(subscriber string, request message.PollRequest, reply func(*message.Message)) {
	receivedAt := time.Now()
	h.send(func(s *state) {
		s.subscriptions.record(subscriber, &request, receivedAt)
		if notify := h.onUnmetDemand.Load(); notify != nil && hasUnmetDemand(&request) {
			(*notify)()
		}
		poll := pendingPoll{request: request, subscriber: subscriber, receivedAt: receivedAt, reply: reply}
		if !h.tryAnswer(s, &poll, time.Now()) {
			s.wait(&poll)
		}
	})
}

// maxPendingPolls bounds the polls that wait for an answer. A subscriber has one at a time.
const maxPendingPolls = 4096

// wait keeps a poll until it can be answered, without the reports in it, which are recorded. Beyond maxPendingPolls the
// poll is answered at once, with what there is.
func (s *state) wait(poll *pendingPoll) {
	if len(s.pending) >= maxPendingPolls {
		poll.send(s.response(poll, time.Now()))
		return
	}
	poll.request.Demand, poll.request.Loads, poll.request.Retries = nil, nil, nil
	s.pending = append(s.pending, *poll)
}

func hasUnmetDemand(request *message.PollRequest) bool {
	return slices.ContainsFunc(request.Demand, func(d message.ModelDemand) bool { return d.Waiting > 0 || d.Unserved > 0 })
}

// answerPending answers the pending polls that can be answered now.
func (h *Hub) answerPending(s *state, now time.Time) {
	remaining := s.pending[:0]
	for i := range s.pending {
		if !h.tryAnswer(s, &s.pending[i], now) {
			remaining = append(remaining, s.pending[i])
		}
	}
	clear(s.pending[len(remaining):])
	s.pending = remaining
}

// tryAnswer answers a poll when there is something newer, or when it has waited for long enough.
func (h *Hub) tryAnswer(s *state, poll *pendingPoll, now time.Time) bool {
	status := h.status.Load()
	waited := now.Sub(poll.receivedAt)
	if !now.Before(status.ServingUntil) {
		if waited < unavailableWait && waited < poll.maxWait() {
			return false
		}
		response := &message.PollResponse{Unavailable: true, Members: status.Members, WaitedMs: waited.Milliseconds()}
		s.addBackends(response, poll, now)
		poll.send(response)
		return true
	}
	isNewer := s.hasNewerConfig(&poll.request) || s.hasOtherBackends(poll) || s.hasLaterReading(poll, h.refreshLag)
	if !isNewer && waited < poll.maxWait() {
		return false
	}
	response := s.response(poll, now)
	response.Members, response.WaitedMs = status.Members, waited.Milliseconds()
	poll.send(response)
	return true
}

func (s *state) hasNewerConfig(request *message.PollRequest) bool {
	return s.config.newestSequence() > request.ConfigSequence
}

// hasOtherBackends reports whether the hub has a list with other backends that replaces the subscriber's. The hub's list
// may be the older one: the subscriber may have read the platform itself, or have polled another hub before. A
// subscriber of an earlier build does not send the version of its list, and gets any other list.
func (s *state) hasOtherBackends(poll *pendingPoll) bool {
	newest := s.backends.newest
	if !newest.IsKnown() || newest.Digest == poll.request.BackendDigest {
		return false
	}
	version := poll.backendsVersion()
	return version == nil || newest.IsNewerThan(version)
}

// hasLaterReading reports whether the hub's list was read later than the subscriber's by at least lag.
func (s *state) hasLaterReading(poll *pendingPoll, lag time.Duration) bool {
	newest, version := s.backends.newest, poll.backendsVersion()
	return newest.IsKnown() && version != nil && newest.IsNewerThan(version) &&
		newest.ObservedAt.Sub(version.ObservedAt) >= lag
}

// backendsVersion returns the version of the subscriber's list, without its backends; nil: it did not send one. The time
// of the reading is the latest possible one, as it assumes that the request arrived without delay.
func (p *pendingPoll) backendsVersion() *discovery.BackendList {
	version := p.request.BackendsVersion
	if version == nil || p.request.BackendDigest == 0 {
		return nil
	}
	observedAt := p.receivedAt.Add(-time.Duration(version.AgeMs) * time.Millisecond)
	return &discovery.BackendList{ObservedAt: observedAt, Revision: version.Revision}
}

// response returns what is newer than the request's versions, and the totals over all proxies.
func (s *state) response(poll *pendingPoll, now time.Time) *message.PollResponse {
	response := &message.PollResponse{}
	if s.hasNewerConfig(&poll.request) {
		response.Config = s.config.updateFrom(poll.request.ConfigSequence)
	}
	s.addBackends(response, poll, now)
	response.Proxies = s.countProxies(now)
	s.addTotalLoads(response, poll, now)
	response.Retries = s.totals.currentRetries(now)
	response.PendingModelLoads = s.totals.remainingModelLoads(now)
	return response
}

// addBackends adds the version of the hub's list, and its backends if they replace the subscriber's. This needs no
// majority of the voters: a list is as good as it is fresh, whoever read it.
func (s *state) addBackends(response *message.PollResponse, poll *pendingPoll, now time.Time) {
	newest := s.backends.newest
	if !newest.IsKnown() {
		return
	}
	response.BackendsKnown = true
	response.BackendsRevision = newest.Revision
	response.BackendsAgeMs = now.Sub(newest.ObservedAt).Milliseconds()
	if s.hasOtherBackends(poll) {
		response.Backends = s.backends.updateFrom(poll.request.BackendDigest)
	}
}

// addTotalLoads adds the total loads: a delta if the subscriber has the version that was sent to it last, else all of
// them.
func (s *state) addTotalLoads(response *message.PollResponse, poll *pendingPoll, now time.Time) {
	totals := s.totalLoads(now)
	known := s.subscriptions.bySubscriber[poll.subscriber]
	if known == nil { // the subscription has expired while its poll was pending
		response.TotalLoads, response.LoadsComplete = totals, true
		return
	}
	delta := known.totals.Next(poll.request.LoadVersion, totals)
	response.TotalLoads, response.LoadsComplete, response.LoadVersion = delta.Loads, delta.Complete, delta.Version
}
