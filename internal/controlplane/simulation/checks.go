package simulation

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// maxResponseTime is how long a request may take while no machine is lost.
const maxResponseTime = 4 * time.Second

// checkRejection checks RuleNoNeedlessRejection: a change that increases the version and builds on the newest one may
// be rejected only if another change on the same base may have been committed first.
func (c *Cluster) checkRejection(sender *client, rejected *clientRequest) {
	if rejected.version <= rejected.base || rejected.base != c.history.newest || c.history.unresolvedBases[rejected.base] {
		return
	}
	for _, other := range c.clients {
		pending := other.pending
		if other != sender && pending != nil && pending.Method != http.MethodGet && pending.base == rejected.base {
			return
		}
	}
	c.report(RuleNoNeedlessRejection,
		fmt.Sprintf("version %d on top of the newest, %d, was refused", rejected.version, rejected.base))
}

// checkResponseTime checks RuleResponseTime for a pending request.
func (c *Cluster) checkResponseTime(pending *clientRequest) {
	waited := c.now - pending.startedAt
	if c.options.BeyondTolerance || waited < maxResponseTime || pending.base > c.history.newest {
		return
	}
	allBackSince := lo.Max(lo.Map(c.slots, func(n *node, _ int) time.Duration { return n.lostUntil }))
	if allBackSince <= pending.startedAt {
		c.report(RuleResponseTime, fmt.Sprintf("%s has had no answer for %v", pending.Method, waited))
	}
}

// checkDurability checks RuleDurability when a change is acknowledged: it must be on one disk more than may be lost, or
// on all disks if there are fewer. Disks lost since the change was sent count too, because they may have held it.
func (c *Cluster) checkDurability(acknowledged *clientRequest) {
	minDisks := min(c.options.Tolerance+1, c.options.Members-c.options.Diskless)
	digest := configuration.RequestDigest(&acknowledged.ConfigRequest)
	disks := 0
	for _, n := range c.nodes {
		isLostSince := n.diskLostAt >= acknowledged.startedAt
		if isLostSince || n.chainState != nil && hasChange(n.chainState.History, digest) {
			disks++
		}
	}
	if disks < minDisks && !acknowledged.isResend {
		c.report(RuleDurability, fmt.Sprintf("version %d is acknowledged on %d disks", acknowledged.version, disks))
	}
}

func hasChange(history []message.Change, digest []byte) bool {
	for i := len(history) - 1; i >= 0; i-- {
		if bytes.Equal(history[i].Digest, digest) {
			return true
		}
	}
	return false
}
