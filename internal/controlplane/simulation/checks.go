package simulation

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

func (c *Cluster) violate(rule, text string) {
	c.history.violations = append(c.history.violations, Violation{At: c.now, Rule: rule, Text: text})
}

// checkRefusal finds a valid change on top of the newest version that was refused though nothing stood in its way.
func (c *Cluster) checkRefusal(o *operator, refused *call) {
	if refused.version <= refused.base || refused.base != c.history.newest || c.history.unclear[refused.base] {
		return
	}
	for _, other := range c.operators {
		if other != o && other.call != nil && other.call.Method != http.MethodGet && other.call.base == refused.base {
			return
		}
	}
	c.violate("DUTY", fmt.Sprintf("version %d on top of the newest, %d, was refused", refused.version, refused.base))
}

// checkPatience finds a call that waits for too long though no machine has been lost since it began.
func (c *Cluster) checkPatience(waiting *call) {
	if c.options.Wild || c.now-waiting.began < acknowledgedIn || waiting.base > c.history.newest {
		return
	}
	calmSince := lo.Max(lo.Map(c.slots, func(n *node, _ int) time.Duration { return n.lostUntil }))
	if calmSince <= waiting.began {
		c.violate("ACKS", fmt.Sprintf("%s has had no answer for %v", waiting.Method, c.now-waiting.began))
	}
}

// checkCopies counts the disks that hold a change in the moment of its acknowledgement: one more than the tolerance.
func (c *Cluster) checkCopies(acknowledged *call) {
	want := min(c.options.Tolerance+1, c.options.Members-c.options.Volatile)
	digest := configuration.RequestDigest(&acknowledged.ConfigRequest)
	copies := 0
	for _, n := range c.nodes {
		recent := n.wiped >= acknowledged.began // it may have held the change
		if recent || n.chain != nil && holds(n.chain.chain.History, digest) {
			copies++
		}
	}
	if copies < want && !acknowledged.resent {
		c.violate("COPIES", fmt.Sprintf("version %d is acknowledged on %d disks", acknowledged.version, copies))
	}
}

func holds(history []message.Change, digest []byte) bool {
	for i := len(history) - 1; i >= 0; i-- {
		if bytes.Equal(history[i].Digest, digest) {
			return true
		}
	}
	return false
}

// checkRecovery finds a system that takes no change though all harm has been over for the bound on recovery.
func (c *Cluster) checkRecovery() {
	if c.history.lastAck < c.now-settleTime/2 {
		c.violate("RECOVER", fmt.Sprintf("the last acknowledgement is of %v", c.history.lastAck))
	}
}

// checkVoters finds a machine that is gone for good and votes on though live members could have its vote: one more
// loss than the system bears then leaves no majority.
func (c *Cluster) checkVoters() {
	newest := c.newestView()
	live := map[message.MemberID]bool{}
	for _, n := range c.slots {
		if n.replica != nil {
			live[n.replica.Identity()] = true
		}
	}
	gone := lo.Reject(newest.EffectiveVoters(), func(m message.Member, _ int) bool { return live[m.Identity] })
	voting := lo.CountBy(newest.Members, func(m message.Member) bool { return live[m.Identity] })
	if len(gone) > 0 && voting >= len(newest.EffectiveVoters()) {
		c.violate("VOTERS", fmt.Sprintf("%s is gone and votes in view %d", gone[0].Identity, newest.Number))
	}
}

// newestView is the newest view that a live machine has entered.
func (c *Cluster) newestView() message.View {
	var newest message.View
	for _, n := range c.slots {
		if n.replica != nil && n.replica.View().Number > newest.Number {
			newest = n.replica.View()
		}
	}
	return newest
}

// checkEnd compares what the members hold at the end with what the operators were told.
func (c *Cluster) checkEnd(version uint64) {
	state, ok := c.newestState()
	if !ok || state.Version != version {
		c.violate("READ", fmt.Sprintf("the last read says %d, the members hold %d", version, state.Version))
		return
	}
	taken := map[string]bool{}
	base := uint64(0)
	for _, change := range state.History {
		taken[hex.EncodeToString(change.Digest)] = true
		if change.Base != base {
			c.violate("RACE", fmt.Sprintf("version %d was built on %d, but %d was in force", change.Version, change.Base, base))
		}
		base = change.Version
	}
	for _, acknowledged := range c.history.inOrder {
		if !taken[digestOf(&acknowledged.ConfigRequest)] {
			c.violate("LOST", fmt.Sprintf("version %d was acknowledged and is gone", acknowledged.version))
		}
	}
	for _, refused := range c.history.refused {
		if taken[digestOf(&refused.ConfigRequest)] {
			c.violate("REFUSED", fmt.Sprintf("version %d was refused and is in force", refused.version))
		}
	}
}

func digestOf(call *message.ConfigRequest) string {
	return hex.EncodeToString(configuration.RequestDigest(call))
}

func (c *Cluster) newestState() (message.ChainState, bool) {
	var newest message.ChainState
	found := false
	for _, n := range c.slots {
		if n.replica == nil || !n.replica.IsSynced() {
			continue
		}
		if served := n.replica.CommittedState(); !found || served.Sequence > newest.Sequence {
			newest, found = served, true
		}
	}
	return newest, found
}

func (c *Cluster) result() *Result {
	result := &Result{
		Violations: c.history.violations, Acknowledged: len(c.history.acknowledged), Refused: len(c.history.refused),
		Reads: c.history.reads, Leases: c.leases.count, Faults: c.faults, Struck: c.struck, Moves: c.moves, Waits: c.history.waits, Pause: c.history.pause,
	}
	for _, n := range c.slots {
		result.Ends = append(result.Ends, n.describe())
		if n.replica != nil {
			if view := n.replica.View(); uint64(view.Number) > result.Views {
				result.Views, result.Members = uint64(view.Number), len(view.Members)
			}
		}
	}
	return result
}

// noteView keeps a line for each view when the first machine enters it.
func (n *node) noteView() {
	view := n.replica.View()
	if view.Number <= n.cluster.seenView {
		return
	}
	n.cluster.seenView = view.Number
	identities := func(members []message.Member) []string {
		return lo.Map(members, func(m message.Member, _ int) string { return strings.TrimPrefix(string(m.Identity), "seed-") })
	}
	line := fmt.Sprintf("    %6.2fs view %d: chain %v, voters %v", n.cluster.now.Seconds(), view.Number,
		identities(view.Members), identities(view.EffectiveVoters()))
	n.cluster.moves = append(n.cluster.moves, line)
}

// describe tells in a line how the machine stands.
func (n *node) describe() string {
	if n.replica == nil {
		return fmt.Sprintf("place %d: node %d is dark", n.slot, n.index)
	}
	state := "outside the chain"
	switch {
	case n.replica.IsSynced():
		state = "synced"
	case n.replica.IsMember():
		state = "not synced"
	}
	view := n.replica.View()
	return fmt.Sprintf("place %d: node %d %s in view %d, serves %d, waits for %s", n.slot, n.index, state, view.Number,
		n.replica.CommittedState().Version, n.replica.WaitingFor())
}
