package relay

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// probeEvery is how many times a watch is sent again before a voter is asked too. An issuer that holds the watch and
// one that has failed both send no response; the voter may know of a new issuer.
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

// followHint asks the new issuer after a change of the hint. An issuer that was asked within the retry interval is
// not asked again: otherwise hints that contradict each other would make every waiting call send a request with each
// change.
func (e *exchange) followHint() {
	issuer, ok := e.relay.hint.newest(e.relay.options.Candidates().Issuer)
	if ok && !e.isAskedWithin(e.retryInterval(), issuer) {
		e.ask(issuer)
	}
}

// askNext asks the next target: when no response has come in time, or after the last target has declined.
func (e *exchange) askNext() {
	e.next.Reset(e.retryInterval())
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

// askVoter asks the voter that was not asked for the longest time. Among voters that were never asked, those in the
// own zone come first, and this coordinator comes last, as the issuer that it knows is in the hint already. The rest
// of the order varies from call to call. The hinted issuer is skipped unless it is the only voter.
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

// distance orders voters that were asked equally long ago, as is the case if none was asked yet.
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
