package singleton

import (
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
)

// scenario is the configuration of an exploration.
type scenario struct {
	name         string
	fault        plantedFault
	withEffects  bool
	desiresOther bool // an operator wants the second instance as the holder
	shorterLease bool
	depth        int // maximum number of events
}

// exploration is a breadth-first search of all models that can be reached in a scenario.
type exploration struct {
	nodes []node
	seen  map[uint64]bool // by hash
}

type node struct {
	model  *model // nil once its successors have been computed
	parent int    // index among the nodes; -1: none
	event  string
	hash   uint64
}

// explore visits every model within the scenario's depth. It returns the number of models that it visited and the
// events that lead to the first violation, or nil if there is none.
func explore(sc scenario) (visited int, trace []string) {
	e := &exploration{nodes: []node{{model: newModel(sc), parent: -1}}, seen: map[uint64]bool{}}
	for first, depth := 0, 0; depth < sc.depth && first < len(e.nodes); depth++ {
		last := len(e.nodes)
		for _, next := range e.expand(first, last) {
			if violating := e.add(next); violating >= 0 {
				return len(e.nodes), e.trace(violating)
			}
		}
		first = last
	}
	return len(e.nodes), nil
}

// expand returns the successors of e.nodes[first:last]. They are in the order of their parents, whichever goroutine
// computes them first.
func (e *exploration) expand(first, last int) [][]node {
	const chunk = 256
	found := make([][]node, last-first)
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for from := 0; from < len(found); from += chunk {
		slots <- struct{}{}
		running.Go(func() {
			for i := from; i < min(from+chunk, len(found)); i++ {
				for _, s := range e.nodes[first+i].model.successors() {
					found[i] = append(found[i], node{s.model, first + i, s.event, s.model.hash()})
				}
			}
			<-slots
		})
	}
	running.Wait()
	for i := first; i < last; i++ {
		e.nodes[i].model = nil
	}
	return found
}

// add appends the nodes that were not seen yet, up to the first that violates an invariant. It returns the index of
// that node, or -1 if there is none.
func (e *exploration) add(nodes []node) (violating int) {
	for _, n := range nodes {
		if e.seen[n.hash] && n.model.violation == "" { // a violation is not part of the hash
			continue
		}
		e.seen[n.hash] = true
		e.nodes = append(e.nodes, n)
		if n.model.violation != "" {
			return len(e.nodes) - 1
		}
	}
	return -1
}

// trace returns the events that lead to a node, followed by its violation.
func (e *exploration) trace(at int) []string {
	events := []string{e.nodes[at].model.violation}
	for ; e.nodes[at].parent >= 0; at = e.nodes[at].parent {
		events = append(events, e.nodes[at].event)
	}
	slices.Reverse(events)
	return events
}

// No order of losses, delays, freezes and leader changes lets two instances act at the same time, or lets an effect be
// carried out after one with a higher token. Each planted fault is found.
func TestModel_AllInterleavings(t *testing.T) {
	for _, sc := range []scenario{
		{name: "leader changes", depth: 17},
		{name: "effects", withEffects: true, depth: 17},
		{name: "desired holder", desiresOther: true, depth: 17},
		{name: "shorter lease", shorterLease: true, depth: 18},
		{name: "no fencing", fault: noFencing, withEffects: true, depth: 17},
		{name: "no margin for drift", fault: noDriftMargin, depth: 16},
		{name: "renews without progress", fault: renewsWithoutProgress, depth: 16},
		{name: "renews an ending lease", fault: renewsEndingLease, depth: 17},
		{name: "lease from the response", fault: leaseFromResponse, depth: 16},
		{name: "acts after release", fault: actsAfterRelease, desiresOther: true, depth: 16},
		{name: "shortens the lease at once", fault: shortensLeaseAtOnce, shorterLease: true, depth: 18},
		{name: "ignores a longer lease", fault: ignoresLongerLease, shorterLease: true, depth: 18},
	} {
		t.Run(sc.name, func(t *testing.T) {
			visited, trace := explore(sc)
			t.Logf("%d states to depth %d; %s", visited, sc.depth, strings.Join(trace, "; "))
			if wantsViolation := sc.fault != noFault; wantsViolation != (trace != nil) {
				t.Errorf("violation: %v", trace)
			}
		})
	}
}
