package simulation

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// checkRecovery checks RuleRecovery when recoveryBound is over. The clients send changes all the time, so one must have
// been acknowledged in the second half of recoveryBound.
func (c *Cluster) checkRecovery() {
	if c.history.lastAckAt < c.now-recoveryBound/2 {
		c.report(RuleRecovery, fmt.Sprintf("the last acknowledgement is of %v", c.history.lastAckAt))
	}
}

// checkVoters checks RuleVoters: with such a voter, one more loss than the cluster tolerates leaves no majority.
func (c *Cluster) checkVoters() {
	newest := c.newestView()
	isLive := map[message.MemberID]bool{}
	for _, n := range c.slots {
		if n.replica != nil {
			isLive[n.replica.Identity()] = true
		}
	}
	gone := lo.Reject(newest.EffectiveVoters(), func(m message.Member, _ int) bool { return isLive[m.Identity] })
	liveMembers := lo.CountBy(newest.Members, func(m message.Member) bool { return isLive[m.Identity] })
	if len(gone) > 0 && liveMembers >= len(newest.EffectiveVoters()) {
		c.report(RuleVoters, fmt.Sprintf("%s is gone and votes in view %d", gone[0].Identity, newest.Number))
	}
}

// newestView returns the newest view that a running process has entered.
func (c *Cluster) newestView() message.View {
	var newest message.View
	for _, n := range c.slots {
		if n.replica != nil && n.replica.View().Number > newest.Number {
			newest = n.replica.View()
		}
	}
	return newest
}

// checkFinalState compares the final state of the members with the version read last, and with the changes that were
// acknowledged or rejected.
func (c *Cluster) checkFinalState(version uint64) {
	state, ok := c.newestState()
	if !ok || state.Version != version {
		c.report(RuleReads, fmt.Sprintf("the last read says %d, the members hold %d", version, state.Version))
		return
	}
	isCommitted := map[string]bool{} // by digest
	base := uint64(0)
	for _, change := range state.History {
		isCommitted[hex.EncodeToString(change.Digest)] = true
		if change.Base != base {
			c.report(RuleLinearHistory,
				fmt.Sprintf("version %d was built on %d, but %d was in force", change.Version, change.Base, base))
		}
		base = change.Version
	}
	for _, acknowledged := range c.history.acknowledgedInOrder {
		if !isCommitted[requestDigest(&acknowledged.ConfigRequest)] {
			c.report(RuleNotLost, fmt.Sprintf("version %d was acknowledged and is gone", acknowledged.version))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.history.rejected)) { // violations have the same order in each run
		rejected := c.history.rejected[key]
		if isCommitted[requestDigest(&rejected.ConfigRequest)] {
			c.report(RuleRejected, fmt.Sprintf("version %d was refused and is in force", rejected.version))
		}
	}
}

func requestDigest(request *message.ConfigRequest) string {
	return hex.EncodeToString(configuration.RequestDigest(request))
}

// newestState returns the newest state that a running and synced replica has committed.
func (c *Cluster) newestState() (message.ChainState, bool) {
	var newest message.ChainState
	found := false
	for _, n := range c.slots {
		if n.replica == nil || !n.replica.IsSynced() {
			continue
		}
		if committed := n.replica.CommittedState(); !found || committed.Sequence > newest.Sequence {
			newest, found = committed, true
		}
	}
	return newest, found
}
