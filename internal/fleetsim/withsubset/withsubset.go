// Package withsubset has the decision module see only its proxy's part of the fleet, within the laboratory: what keeping to a part is
// worth, before the module itself heeds it. The part does not widen, whatever becomes of its servers.
package withsubset

import (
	"math"
	"slices"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/subset"
)

// node is a module that is told of a part of the list.
type node struct {
	inner   model.Node
	ordinal int
	share   float64
	listed  map[uint32]policy.Member
	unused  map[uint32]bool
	members []policy.Member
}

// minServersPerZone is how many servers of each zone a part has at least.
const minServersPerZone = 4

// NodeFactory makes nodes of make that keep to an arc of each zone. Cold budgets are divided among the proxies that may have a server in
// their part, and no more.
func NewFactory(make model.NodeFactory, arc float64) model.NodeFactory {
	return func(set policy.Settings, seed uint64, truth *model.Oracle) (model.Node, error) {
		all := set.GroupSize
		if part := int(math.Ceil(float64(all)*arc)) + 4 + int(2*math.Log10(float64(max(1, all)))); part < all {
			set.GroupSize = part
			set.Tenants = slices.Clone(set.Tenants)
			for i := range set.Tenants { // shares are of what this proxy gets, not of what its servers get
				set.Tenants[i].QuotaPerS *= float64(part) / float64(all)
			}
		}
		module, err := make(set, seed, truth)
		if err != nil {
			return nil, err
		}
		return &node{inner: module, ordinal: set.Ordinal, share: arc, listed: map[uint32]policy.Member{}, unused: map[uint32]bool{}}, nil
	}
}

// Handle is model.Node's.
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
	var servers []subset.Server
	for _, m := range n.listed {
		if m.Mode == policy.ModeReady {
			servers = append(servers, subset.Server{ID: m.Server, Zone: m.Zone, Cell: m.Cell, Size: m.Size})
		}
	}
	part := *ev
	if part.Kind == policy.MembershipDelta {
		part.Kind = policy.MembershipFull
	}
	n.members = n.members[:0]
	for _, m := range subset.Select(servers, n.ordinal, n.share, minServersPerZone) {
		n.members = append(n.members, n.listed[m.ID])
	}
	part.Members = n.members
	return n.inner.Handle(now, &part, out)
}

// EjectedServers is as the module says.
func (n *node) EjectedServers() int {
	if m, ok := n.inner.(interface{ EjectedServers() int }); ok {
		return m.EjectedServers()
	}
	return 0
}
