package relay

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/message"
)

var (
	self   = message.Member{Identity: "self", Address: "self:1", Zone: "a"}
	near   = message.Member{Identity: "near", Address: "near:1", Zone: "a"}
	far    = message.Member{Identity: "far", Address: "far:1", Zone: "b"}
	remote = message.Member{Identity: "remote", Address: "remote:1", Zone: "c"}

	acquire = message.Call{Kind: message.CallAcquire, Lock: "l", Owner: "o", HoldMs: 3000}
	answer  = message.Answer{Status: 200, Token: 41}
)

// roundTrip is how long a request and its response take in the fake network.
const roundTrip = 2 * time.Millisecond

// sentRequest is a request that the relay sent.
type sentRequest struct {
	at     time.Duration // since the network was made
	target message.MemberID
	id     uint64
	call   message.Call
}

// respond returns a member's response to a request; nil: there is none.
type respond func(request sentRequest) *message.CallResponse

// network is a fake network with the other coordinators. It runs in a synctest bubble, with its clock.
type network struct {
	relay   *Relay
	start   time.Time
	members map[message.MemberID]respond
	sent    []sentRequest

	mutex      sync.Mutex
	candidates Candidates
}

// newNetwork makes a connected relay with three other voters, none of which responds.
func newNetwork() *network {
	n := &network{start: time.Now(), members: map[message.MemberID]respond{}}
	n.candidates = Candidates{Voters: []message.Member{self, far, near, remote}, IsConnected: true}
	n.relay = New(Options{
		Self: self, Incarnation: 7000, Send: n.send, Candidates: n.currentCandidates,
	})
	return n
}

func (n *network) currentCandidates() Candidates {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.candidates
}

func (n *network) setIssuer(issuer message.Member) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.candidates.Issuer = issuer
}

func (n *network) send(address string, m *message.Message) {
	request := sentRequest{at: time.Since(n.start), target: m.To, id: m.CallRequest.ID, call: m.CallRequest.Call}
	n.sent = append(n.sent, request)
	member, ok := n.members[m.To]
	if !ok || address != m.ToAddress {
		return
	}
	if response := member(request); response != nil {
		time.AfterFunc(roundTrip, func() { n.relay.HandleResponse(responseTo(request, response)) })
	}
}

func responseTo(request sentRequest, response *message.CallResponse) *message.Message {
	response.ID = request.id
	return &message.Message{From: request.target, To: self.Identity, CallResponse: response}
}

func answers(sentRequest) *message.CallResponse {
	return &message.CallResponse{Answer: &answer}
}

func redirectsTo(issuer message.Member) respond {
	return func(sentRequest) *message.CallResponse { return &message.CallResponse{Issuer: issuer} }
}

func declinesWithoutHint(sentRequest) *message.CallResponse { return &message.CallResponse{} }

// unresponsiveUntil does not respond to requests before a time, and then as given.
func unresponsiveUntil(at time.Duration, then respond) respond {
	return func(r sentRequest) *message.CallResponse {
		if r.at < at {
			return nil
		}
		return then(r)
	}
}

func (n *network) targets() []message.MemberID {
	targets := make([]message.MemberID, 0, len(n.sent))
	for _, r := range n.sent {
		targets = append(targets, r.target)
	}
	return targets
}

func (n *network) elapsed() time.Duration { return time.Since(n.start) }

func (n *network) assertNothingWaits(t *testing.T) {
	t.Helper()
	assert.Empty(t, n.relay.waiting)
	assert.Zero(t, n.relay.calls)
	assert.Zero(t, n.relay.watches)
}

func TestCallGoesToTheKnownIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["far"] = answers
		got, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, answer, got)
		assert.Equal(t, []sentRequest{{target: "far", id: 7001, call: acquire}}, n.sent)
		assert.Equal(t, roundTrip, n.elapsed())
		n.assertNothingWaits(t)
	})
}

func TestRequestNamesSenderAndTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		var sent *message.Message
		n.relay.options.Send = func(_ string, m *message.Message) {
			sent = m
			n.relay.HandleResponse(&message.Message{To: self.Identity, CallResponse: &message.CallResponse{ID: m.CallRequest.ID, Answer: &answer}})
		}
		_, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, &message.Message{
			From: "self", FromAddress: "self:1", FromZone: "a", To: "far", ToAddress: "far:1",
			CallRequest: &message.CallRequest{ID: 7001, Call: acquire},
		}, sent)
	})
}

func TestHintIsFollowedAtOnceAndKeptForNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.members["near"], n.members["far"] = redirectsTo(far), answers
		for range 2 {
			_, err := n.relay.Call(t.Context(), acquire)
			require.NoError(t, err)
		}
		assert.Equal(t, []message.MemberID{"near", "far", "far"}, n.targets(), "a voter in the own zone names the issuer")
		assert.Equal(t, 3*roundTrip, n.elapsed())
	})
}

func TestIssuerOutsideTheVotersIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Voters = []message.Member{near}
		n.members["near"], n.members["far"] = redirectsTo(far), answers
		_, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
	})
}

func TestNewestHintIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = near
		n.members["near"], n.members["far"], n.members["remote"] = redirectsTo(far), answers, answers
		for range 2 { // the own coordinator names the same issuer as before the response
			_, err := n.relay.Call(t.Context(), acquire)
			require.NoError(t, err)
		}
		n.candidates.Issuer = remote
		_, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, []message.MemberID{"near", "far", "far", "remote"}, n.targets())
	})
}

func TestVotersAreAskedInTurnWhileNoneNamesAnIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for _, m := range n.candidates.Voters {
			n.members[m.Identity] = declinesWithoutHint
		}
		_, err := n.relay.Call(t.Context(), acquire)
		require.ErrorIs(t, err, coordinationapi.ErrNotExecuted)
		assert.Equal(t, callTimeout, n.elapsed())
		assert.ElementsMatch(t, []message.MemberID{"near", "far", "remote"}, n.targets()[:3])
		assert.Equal(t, []message.MemberID{"near", "self", "near"}, []message.MemberID{n.sent[0].target, n.sent[3].target, n.sent[4].target})
		assert.Equal(t, roundTrip+declinedDelay, n.sent[1].at)
		n.assertNothingWaits(t)
	})
}

func TestUnresponsiveIssuerAndVotersAreAskedAlternately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		_, err := n.relay.Call(t.Context(), acquire)
		require.ErrorIs(t, err, coordinationapi.ErrOutcomeUnknown)
		assert.Equal(t, callTimeout, n.elapsed())
		targets := n.targets()
		assert.Equal(t, []message.MemberID{"far", "near", "far", "remote", "far", "self", "far"}, targets, "none within minAnswerTime")
		for i, r := range n.sent {
			assert.Equal(t, time.Duration(i)*callRetryInterval, r.at)
		}
		assert.Equal(t, n.sent[0].id, n.sent[2].id, "a repeated request has the same ID")
		assert.NotEqual(t, n.sent[0].id, n.sent[1].id, "another target has another ID")
		n.assertNothingWaits(t)
	})
}

func TestLostRequestIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["near"], n.members["far"] = redirectsTo(far), unresponsiveUntil(100*time.Millisecond, answers)
		_, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, []message.MemberID{"far", "near", "far"}, n.targets())
		assert.Equal(t, callRetryInterval+2*roundTrip, n.elapsed())
	})
}

func TestNewIssuerIsFoundAfterTheOldOneFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["near"] = func(r sentRequest) *message.CallResponse {
			if r.at < 400*time.Millisecond {
				return redirectsTo(far)(r)
			}
			return redirectsTo(remote)(r)
		}
		n.members["remote"] = unresponsiveUntil(400*time.Millisecond, answers)
		got, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, answer, got)
		assert.Less(t, n.elapsed(), callTimeout)
	})
}

func TestRedirectLoopsAreFollowedWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Voters = []message.Member{near, far}
		n.members["near"], n.members["far"] = redirectsTo(far), redirectsTo(near)
		_, err := n.relay.Call(t.Context(), acquire)
		require.ErrorIs(t, err, coordinationapi.ErrNotExecuted)
		assert.Less(t, len(n.sent), 2*int(callTimeout/declinedDelay))
	})
}

func TestVoterOutsideARedirectLoopIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.members["near"], n.members["far"], n.members["remote"] = redirectsTo(far), redirectsTo(near), answers
		_, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, []message.MemberID{"near", "far", "remote"}, n.targets())
		assert.Equal(t, 3*roundTrip+declinedDelay, n.elapsed())
	})
}

func TestIssuerThatDeclinesIsNotAskedFirstAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		for _, m := range n.candidates.Voters {
			n.members[m.Identity] = declinesWithoutHint
		}
		for range 2 {
			_, err := n.relay.Call(t.Context(), acquire)
			require.ErrorIs(t, err, coordinationapi.ErrNotExecuted)
		}
		first := slices.IndexFunc(n.sent, func(r sentRequest) bool { return r.at >= callTimeout })
		assert.Equal(t, message.MemberID("near"), n.sent[first].target)
	})
}

func TestMemberThatAnsweredIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.members["near"], n.members["remote"], n.members["far"] = declinesWithoutHint, declinesWithoutHint, answers
		_, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		before := len(n.sent)
		assert.Greater(t, before, 1)
		_, err = n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, []message.MemberID{"far"}, n.targets()[before:])
	})
}

func TestMemberThatNamesItselfIsNotAskedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = near
		n.members["near"], n.members["far"] = redirectsTo(near), redirectsTo(near)
		n.members["remote"], n.members["self"] = redirectsTo(near), redirectsTo(near)
		_, err := n.relay.Call(t.Context(), acquire)
		require.ErrorIs(t, err, coordinationapi.ErrNotExecuted)
		for i := range n.sent[1:] {
			if n.sent[i].target == "near" {
				assert.GreaterOrEqual(t, n.sent[i+1].at-n.sent[i].at, declinedDelay)
			}
		}
	})
}

func TestOutcomeIsUnknownIfOneRequestHadNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for _, m := range n.candidates.Voters {
			n.members[m.Identity] = declinesWithoutHint
		}
		n.members["remote"] = unresponsiveUntil(100*time.Millisecond, declinesWithoutHint)
		_, err := n.relay.Call(t.Context(), acquire)
		require.ErrorIs(t, err, coordinationapi.ErrOutcomeUnknown)
	})
}

func TestOneDeclineOfARepeatedRequestLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates = Candidates{Issuer: far, Voters: []message.Member{far}, IsConnected: true}
		n.members["far"] = unresponsiveUntil(callRetryInterval, declinesWithoutHint)
		_, err := n.relay.Call(t.Context(), acquire)
		require.ErrorIs(t, err, coordinationapi.ErrOutcomeUnknown)
	})
}

func TestNothingIsSentWhileDisconnectedOrWithoutVoters(t *testing.T) {
	for name, candidates := range map[string]Candidates{
		"disconnected": {Issuer: far, Voters: []message.Member{far}},
		"no voters":    {IsConnected: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				n.candidates = candidates
				_, err := n.relay.Call(t.Context(), acquire)
				require.ErrorIs(t, err, coordinationapi.ErrNotExecuted)
				assert.Empty(t, n.sent)
				assert.Zero(t, n.elapsed())
			})
		})
	}
}

func TestDuplicateLateAndForeignResponsesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["far"] = func(r sentRequest) *message.CallResponse {
			wrong := message.Answer{Status: 200, Token: 99}
			for _, m := range []*message.Message{
				{To: "someone else", CallResponse: &message.CallResponse{ID: r.id, Answer: &wrong}},
				{To: self.Identity, CallResponse: &message.CallResponse{ID: r.id + 1, Answer: &wrong}},
				{To: self.Identity, CallResponse: &message.CallResponse{ID: r.id - 1, Answer: &wrong}},
				{To: self.Identity},
			} {
				n.relay.HandleResponse(m)
			}
			return answers(r)
		}
		got, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
		assert.Equal(t, answer, got)
		for range 2 * responseQueueLength { // the call has ended, so HandleResponse must not block
			n.relay.HandleResponse(responseTo(n.sent[0], answers(n.sent[0])))
		}
		n.assertNothingWaits(t)
	})
}

func TestFloodOfResponsesDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["far"] = func(r sentRequest) *message.CallResponse {
			for range 2 * responseQueueLength {
				n.relay.HandleResponse(responseTo(r, redirectsTo(far)(r)))
			}
			return answers(r)
		}
		_, err := n.relay.Call(t.Context(), acquire)
		require.NoError(t, err)
	})
}

func TestCallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := n.relay.Call(ctx, acquire)
		require.ErrorIs(t, err, coordinationapi.ErrOutcomeUnknown)
		assert.Equal(t, 50*time.Millisecond, n.elapsed())
		n.assertNothingWaits(t)
	})
}

func TestCallsAndWatchesHaveSeparateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.relay.options.Send = func(string, *message.Message) {}
		ctx, cancel := context.WithCancel(t.Context())
		for range maxCalls {
			go func() { _, _ = n.relay.Call(ctx, acquire) }()
		}
		synctest.Wait()
		_, err := n.relay.Call(ctx, acquire)
		require.ErrorIs(t, err, coordinationapi.ErrTooManyCalls)
		for range maxWatches {
			go func() { _, _ = n.relay.Call(ctx, message.Call{Kind: message.CallWatch, WaitMs: 2000}) }()
		}
		synctest.Wait()
		_, err = n.relay.Call(ctx, message.Call{Kind: message.CallWatch, WaitMs: 2000})
		require.ErrorIs(t, err, coordinationapi.ErrTooManyCalls)
		cancel()
		synctest.Wait()
		n.assertNothingWaits(t)
	})
}
