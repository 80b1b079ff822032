package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/message"
)

var watch = message.Call{Kind: message.CallWatch, Group: "g.", After: 5, WaitMs: 2000}

// answersWatchAt is an issuer that holds a watch and answers it at a given time.
func (n *network) answersWatchAt(until time.Duration) respond {
	return func(r sentRequest) *message.CallResponse {
		time.AfterFunc(until-r.at, func() { n.relay.HandleResponse(responseTo(r, answers(r))) })
		return nil
	}
}

func TestWatchIsSentAgainWithRemainingWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates = Candidates{Issuer: far, Voters: []message.Member{far}, IsConnected: true}
		n.members["far"] = n.answersWatchAt(1500 * time.Millisecond)
		_, err := n.relay.Call(t.Context(), watch)
		require.NoError(t, err)
		assert.Equal(t, 1500*time.Millisecond, n.elapsed())
		for _, r := range n.sent {
			assert.Equal(t, n.sent[0].id, r.id)
			assert.Equal(t, watch.WaitMs-r.at.Milliseconds(), r.call.WaitMs)
			assert.Zero(t, r.at%watchResendInterval)
		}
		n.assertNothingWaits(t)
	})
}

func TestWatchStaysAtIssuerThatHoldsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.members["near"], n.members["remote"], n.members["self"] = redirectsTo(far), redirectsTo(far), redirectsTo(far)
		n.members["far"] = n.answersWatchAt(2 * time.Second)
		_, err := n.relay.Call(t.Context(), watch)
		require.NoError(t, err)
		assert.Equal(t, 2*time.Second, n.elapsed())
		assert.Less(t, len(n.sent), 14)
	})
}

func TestWatchMovesToTheNewIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["near"], n.members["self"] = redirectsTo(remote), redirectsTo(remote)
		n.members["remote"] = n.answersWatchAt(1200 * time.Millisecond)
		_, err := n.relay.Call(t.Context(), watch)
		require.NoError(t, err)
		assert.Equal(t, 1200*time.Millisecond, n.elapsed())
	})
}

func TestWatchFollowsTheOwnCoordinatorsHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["remote"] = n.answersWatchAt(400 * time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { n.setIssuer(remote) })
		_, err := n.relay.Call(t.Context(), watch)
		require.NoError(t, err)
		assert.Equal(t, 400*time.Millisecond, n.elapsed())
	})
}

func TestWaitingCallsFollowAHintAtOnce(t *testing.T) {
	const foundAt = 50 * time.Millisecond
	for name, find := range map[string]func(n *network){
		"of the own coordinator": func(n *network) {
			n.setIssuer(remote)
			n.relay.Refresh()
		},
		"that another call got": func(n *network) {
			n.relay.hint.set(remote)
		},
	} {
		for _, call := range []message.Call{watch, acquire} {
			t.Run(name+", "+string(kindNames[call.Kind]), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					n.candidates.Issuer = far
					n.members["remote"] = answers
					time.AfterFunc(foundAt, func() { find(n) })
					_, err := n.relay.Call(t.Context(), call)
					require.NoError(t, err)
					assert.Equal(t, foundAt+roundTrip, n.elapsed())
					assert.Equal(t, []message.MemberID{"far", "remote"}, n.targets())
				})
			})
		}
	}
}

func TestContradictingHintsDoNotMultiplyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		for i := range 100 {
			time.AfterFunc(time.Duration(i)*time.Millisecond, func() { n.relay.hint.set([]message.Member{far, remote}[i%2]) })
		}
		_, err := n.relay.Call(t.Context(), acquire)
		require.Error(t, err)
		assert.LessOrEqual(t, len(n.sent), 2*int(callTimeout/callRetryInterval))
	})
}

func TestWatchAsksVotersWhenItsIssuerDeclines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["far"], n.members["near"] = declinesWithoutHint, redirectsTo(remote)
		n.members["remote"] = n.answersWatchAt(100 * time.Millisecond)
		_, err := n.relay.Call(t.Context(), watch)
		require.NoError(t, err)
		assert.Equal(t, 100*time.Millisecond, n.elapsed())
	})
}

func TestWatchWithoutAnswerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		_, err := n.relay.Call(t.Context(), watch)
		require.ErrorIs(t, err, coordinationapi.ErrOutcomeUnknown)
		assert.Equal(t, 2*time.Second+callTimeout, n.elapsed())
		assert.Zero(t, n.sent[len(n.sent)-1].call.WaitMs)
		n.assertNothingWaits(t)
	})
}

func TestWatchThatAllDeclineHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for _, m := range n.candidates.Voters {
			n.members[m.Identity] = declinesWithoutHint
		}
		_, err := n.relay.Call(t.Context(), watch)
		require.ErrorIs(t, err, coordinationapi.ErrOutcomeUnknown)
		assert.Equal(t, 2*time.Second+callTimeout, n.elapsed())
	})
}

func TestWatchEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err := n.relay.Call(ctx, watch)
		require.Error(t, err)
		assert.Equal(t, 700*time.Millisecond, n.elapsed())
		n.assertNothingWaits(t)
	})
}
