// Package withsubset limits a policy in the simulator to its proxy's subset of the servers. The subset does not grow,
// even if servers in it fail.
package withsubset

import (
	"math"
	"slices"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/subset"
)

// minServersPerZone is the lowest number of servers of each zone in a subset.
const minServersPerZone = 4

// The margin of sharingProxies is a constant, plus an amount for each power of ten of the number of proxies.
const (
	sharingMargin          = 4
	sharingMarginPerDecade = 2
)

// node is a policy that gets only a subset of discovery's list.
type node struct {
	inner   model.Node
	ordinal int
	share   float64 // share of each zone's servers in the subset
	listed  map[uint32]policy.Member
	members []policy.Member // of the subset
}

// NewFactory returns a factory that limits newNode's nodes to a subset with the given share of each zone's servers.
// Policies divide the slow-start budget of a cold server by the group size, so the group size is set to the number of
// proxies that may have a server in common.
func NewFactory(newNode model.NodeFactory, share float64) model.NodeFactory {
	return func(settings policy.Settings, seed uint64, oracle *model.Oracle) (model.Node, error) {
		all := settings.GroupSize
		if sharing := sharingProxies(all, share); sharing < all {
			settings.GroupSize = sharing
			settings.Tenants = slices.Clone(settings.Tenants)
			for i := range settings.Tenants { // policies divide by the group size, but all proxies get the tenant's requests
				settings.Tenants[i].QuotaPerS *= float64(sharing) / float64(all)
			}
		}
		inner, err := newNode(settings, seed, oracle)
		if err != nil {
			return nil, err
		}
		return &node{inner: inner, ordinal: settings.Ordinal, share: share, listed: map[uint32]policy.Member{}}, nil
	}
}

// sharingProxies returns how many proxies may have the same server in their subsets: the share of all proxies, plus a
// margin for random variation.
func sharingProxies(all int, share float64) int {
	return int(math.Ceil(float64(all)*share)) + sharingMargin +
		int(sharingMarginPerDecade*math.Log10(float64(max(1, all))))
}

// Handle implements model.Node.
func (n *node) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.MembershipFull, policy.MembershipCached:
		clear(n.listed)
	case policy.MembershipDelta:
	default:
		return n.inner.Handle(now, ev, out)
	}
	for _, m := range ev.Members {
		if m.Mode == policy.ModeGone {
			delete(n.listed, m.Server)
		} else {
			n.listed[m.Server] = m
		}
	}
	n.selectMembers()
	forwarded := *ev
	if forwarded.Kind == policy.MembershipDelta {
		forwarded.Kind = policy.MembershipFull
	}
	forwarded.Members = n.members
	return n.inner.Handle(now, &forwarded, out)
}

// selectMembers selects the subset of the ready servers.
func (n *node) selectMembers() {
	var ready []subset.Server
	for _, m := range n.listed {
		if m.Mode == policy.ModeReady {
			ready = append(ready, subset.Server{ID: m.Server, Zone: m.Zone, Cell: m.Cell, Size: m.Size})
		}
	}
	n.members = n.members[:0]
	for _, s := range subset.Select(ready, n.ordinal, n.share, minServersPerZone) {
		n.members = append(n.members, n.listed[s.ID])
	}
}
