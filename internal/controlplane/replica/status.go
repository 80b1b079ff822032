package replica

import (
	"strconv"
	"time"

	"pumiceline/internal/message"
)

// Identity returns the member's identity, which is the one on its disk.
func (r *Replica) Identity() message.MemberID { return r.control.Identity }

// View returns the newest view known.
func (r *Replica) View() message.View { return r.control.View }

// CommittedState returns the newest state known to be committed; its sequence is 0 if there is none.
func (r *Replica) CommittedState() message.ChainState { return r.link.committedState }

// IsMember reports whether the replica belongs to the chain of its newest view.
func (r *Replica) IsMember() bool { return r.position() >= 0 }

// IsComplete reports whether the replica holds every change acknowledged in the views before its current one.
func (r *Replica) IsComplete() bool { return r.control.Complete }

// IsSynced reports whether the replica is a member and holds the state that is replicated in its view.
func (r *Replica) IsSynced() bool { return r.IsMember() && r.link.synced }

// ServingUntil returns the time until which the member may serve its state to proxies, or 0 if it may not. That time
// is confirmLifetime after the start of the last successful view confirmation by a majority of the voters. The state
// served is at least as new as the state that had been acknowledged at that start.
func (r *Replica) ServingUntil() time.Duration {
	if !r.IsSynced() || !r.link.committedInView || !r.confirmation.confirmed {
		return 0
	}
	return r.confirmation.confirmedAt + confirmLifetime
}

// HasMajority reports whether a majority of the voters confirmed the view within confirmLifetime.
func (r *Replica) HasMajority() bool {
	return r.IsMember() && r.confirmation.confirmed && r.now < r.confirmation.confirmedAt+confirmLifetime
}

// WaitingFor tells operators what the member is waiting for, or returns an empty string if it waits for nothing.
func (r *Replica) WaitingFor() string {
	switch {
	case r.control.AcceptedView.Number != 0:
		return "the decision on view " + strconv.FormatUint(uint64(r.control.AcceptedView.Number), 10)
	case !r.IsMember():
		return "admission to the chain"
	case !r.control.Complete:
		return "the state of its predecessor"
	case !r.confirmation.confirmed:
		return "a majority of the voters"
	case !r.link.committed:
		return "the rest of the chain"
	}
	return ""
}

// CanStop reports whether a leaving member may end its process. It must be outside the chain, and no join request that
// could still cause its admission may be in flight.
func (r *Replica) CanStop() bool {
	return r.leaving && !r.IsMember() && r.now-r.lastJoinRequest >= withdrawalTimeout
}
