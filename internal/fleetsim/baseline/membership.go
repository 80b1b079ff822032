package baseline

import "pumiceline/internal/standalone/policy"

// server is the node's state of one server.
type server struct {
	policy.Member
	inFlight    int   // attempts of this proxy
	readyIndex  int32 // in node.ready; -1 if the server is not ready
	bucketIndex int32 // in its list of node.readyByInFlight
}

// updateMembership applies a full list or changes from discovery.
func (n *node) updateMembership(ev *policy.Event) {
	if ev.Kind != policy.MembershipDelta {
		for i := range n.servers {
			n.servers[i].Mode = policy.ModeGone
		}
	}
	for i := range ev.Members {
		m := &ev.Members[i]
		index, ok := n.indexByID[m.Server]
		if !ok {
			index = int32(len(n.servers))
			n.indexByID[m.Server] = index
			n.servers = append(n.servers, server{readyIndex: -1})
		}
		n.servers[index].Member = *m
	}
	for i := range n.servers {
		s := &n.servers[i]
		if isReady := s.Mode == policy.ModeReady; isReady && s.readyIndex < 0 {
			n.addReady(int32(i))
		} else if !isReady && s.readyIndex >= 0 {
			n.removeReady(int32(i))
		}
	}
}

func (n *node) addReady(index int32) {
	n.servers[index].readyIndex = int32(len(n.ready))
	n.ready = append(n.ready, index)
	n.addToBucket(index)
}

func (n *node) removeReady(index int32) {
	n.removeFromBucket(index)
	s := &n.servers[index]
	last := n.ready[len(n.ready)-1]
	n.ready[s.readyIndex], n.servers[last].readyIndex = last, s.readyIndex
	n.ready, s.readyIndex = n.ready[:len(n.ready)-1], -1
}

// changeInFlight adds to a server's number of attempts in flight and moves the server to the matching bucket.
func (n *node) changeInFlight(index int32, change int) {
	s := &n.servers[index]
	if s.readyIndex >= 0 {
		n.removeFromBucket(index)
	}
	s.inFlight += change
	if s.readyIndex >= 0 {
		n.addToBucket(index)
	}
}

func (n *node) addToBucket(index int32) {
	s := &n.servers[index]
	for len(n.readyByInFlight) <= s.inFlight {
		n.readyByInFlight = append(n.readyByInFlight, nil)
	}
	s.bucketIndex = int32(len(n.readyByInFlight[s.inFlight]))
	n.readyByInFlight[s.inFlight] = append(n.readyByInFlight[s.inFlight], index)
}

func (n *node) removeFromBucket(index int32) {
	s := &n.servers[index]
	bucket := n.readyByInFlight[s.inFlight]
	last := bucket[len(bucket)-1]
	bucket[s.bucketIndex], n.servers[last].bucketIndex = last, s.bucketIndex
	n.readyByInFlight[s.inFlight] = bucket[:len(bucket)-1]
}
