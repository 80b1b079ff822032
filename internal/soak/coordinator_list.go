package soak

import (
	"slices"
	"sync"
)

// coordinatorList is the coordinators that operators and applications call. Machines that replace others change it
// during a run. It is safe for concurrent use.
type coordinatorList struct {
	mu    sync.Mutex
	nodes []*node
}

// newCoordinatorList returns a list with a first set of coordinators.
func newCoordinatorList(nodes []*node) *coordinatorList {
	return &coordinatorList{nodes: slices.Clone(nodes)}
}

// at returns the coordinator of an index, modulo the length of the list.
func (l *coordinatorList) at(index int) *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes[index%len(l.nodes)]
}

// all returns the coordinators that are on the list now.
func (l *coordinatorList) all() []*node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.nodes)
}

func (l *coordinatorList) add(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = append(l.nodes, n)
}

func (l *coordinatorList) remove(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = slices.DeleteFunc(l.nodes, func(other *node) bool { return other == n })
}
