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

// CommittedState returns the newest state known to be acknowledged; its sequence is 0 where none is.
func (r *Replica) CommittedState() message.ChainState { return r.link.committedState }

// IsMember reports whether the replica belongs to the chain of the newest view that it knows.
func (r *Replica) IsMember() bool { return r.position() >= 0 }

// IsComplete reports whether the replica holds all that was acknowledged in the views before its own.
func (r *Replica) IsComplete() bool { return r.control.Complete }

// IsSynced reports whether the replica holds the state of its view.
func (r *Replica) IsSynced() bool { return r.IsMember() && r.link.synced }

// ServingUntil returns until when the member may serve its state to proxies: for a while after it asked a majority of
// the voters whether its view is the newest, and they confirmed it. What it serves then is no older than what had been
// acknowledged when it asked. The result is 0 where it may serve nothing.
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

// WaitingFor describes for operators what keeps the member from taking part; it is empty where nothing does.
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

// CanStop reports whether a leaving member may end its process: it is outside the chain, and no join request by which it
// could be admitted again is still in flight.
func (r *Replica) CanStop() bool {
	return r.leaving && !r.IsMember() && r.now-r.lastJoinRequest >= withdrawalTimeout
}
