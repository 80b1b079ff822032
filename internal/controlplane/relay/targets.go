package relay

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// probeEvery is how many times a watch is sent to a silent issuer before a voter is asked too, which may know another one.
const probeEvery = 2

// askFirst asks the issuer if one is known, else a voter.
func (e *exchange) askFirst() {
	candidates := e.relay.options.Candidates()
	if issuer, ok := e.relay.hint.newest(candidates.Issuer); ok {
		e.ask(issuer)
		return
	}
	e.askVoter(candidates)
}

// followHint asks an issuer that another call, or the own coordinator, has just found. One that was asked lately still has
// its time, so that hints that contradict each other do not make all calls ask at once again and again.
func (e *exchange) followHint() {
	issuer, ok := e.relay.hint.newest(e.relay.options.Candidates().Issuer)
	if ok && !e.isAskedWithin(e.silence(), issuer) {
		e.ask(issuer)
	}
}

// askNext asks again after silence, or after a target that does not know the issuer.
func (e *exchange) askNext() {
	e.next.Reset(e.silence())
	candidates := e.relay.options.Candidates()
	issuer, ok := e.relay.hint.newest(candidates.Issuer)
	switch {
	case !ok || e.declined:
		e.askVoter(candidates)
	case e.isWatch():
		e.resendWatch(issuer, candidates)
	case e.last.target.Identity == issuer.Identity:
		e.askVoter(candidates)
	default:
		e.ask(issuer)
	}
}

func (e *exchange) resendWatch(issuer message.Member, candidates Candidates) {
	e.ask(issuer)
	e.resends++
	if e.resends%probeEvery == 0 {
		e.askVoter(candidates)
	}
}

// askVoter asks the voter that was not asked for longest; of those never asked one in the own zone before others, and
// this coordinator itself last, as it has no hint for itself. The rest of the order varies from call to call. The issuer that
// is known is passed over unless there is no other.
func (e *exchange) askVoter(candidates Candidates) {
	issuer, _ := e.relay.hint.newest(candidates.Issuer)
	voters := lo.Filter(candidates.Voters, func(m message.Member, _ int) bool { return m.Identity != issuer.Identity })
	if len(voters) == 0 {
		voters = candidates.Voters
	}
	if len(voters) == 0 {
		return
	}
	first := int(e.relay.lastID.Load() % uint64(len(voters)))
	rotated := slices.Concat(voters[first:], voters[:first])
	slices.SortStableFunc(rotated, func(a, b message.Member) int { return cmp.Compare(e.distance(a), e.distance(b)) })
	e.ask(slices.MinFunc(rotated, func(a, b message.Member) int {
		askedA, _ := e.lastAsked(a.Identity)
		askedB, _ := e.lastAsked(b.Identity)
		return askedA.Compare(askedB)
	}))
}

// distance orders voters that were asked equally long ago.
func (e *exchange) distance(m message.Member) int {
	self := e.relay.options.Self
	switch {
	case m.Identity == self.Identity:
		return 2
	case m.Zone == self.Zone:
		return 0
	}
	return 1
}
