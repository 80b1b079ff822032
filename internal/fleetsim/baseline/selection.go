package baseline

// randomTries is how many servers are drawn at random before all are tried in turn.
const randomTries = 8

func (n *node) pickRandom(r *request) int32 {
	for range randomTries {
		if index := n.ready[n.rng.IntN(len(n.ready))]; n.maySendTo(r, index) {
			return index
		}
	}
	return n.pickAnyPermitted(r)
}

// pickAnyPermitted returns the first server that the request may use, starting from a random one.
func (n *node) pickAnyPermitted(r *request) int32 {
	return n.firstPermitted(r, n.ready, n.rng.IntN(len(n.ready)))
}

// firstPermitted returns the first of the servers that the request may use. It starts at an index and wraps around.
func (n *node) firstPermitted(r *request, servers []int32, start int) int32 {
	for i := range servers {
		if index := servers[(start+i)%len(servers)]; n.maySendTo(r, index) {
			return index
		}
	}
	return noServer
}

func (n *node) pickRoundRobin(r *request) int32 {
	if n.lastTurn == 0 {
		n.lastTurn = 1 + n.rng.IntN(len(n.ready)) // proxies start at different servers
	}
	for range n.ready {
		n.lastTurn++
		if index := n.ready[n.lastTurn%len(n.ready)]; n.maySendTo(r, index) {
			return index
		}
	}
	return noServer
}

func (n *node) pickTwoChoices(r *request) int32 {
	a, b := n.pickRandom(r), n.pickRandom(r)
	if a < 0 || b >= 0 && n.servers[b].inFlight < n.servers[a].inFlight {
		return b
	}
	return a
}

func (n *node) pickLeastRequests(r *request) int32 {
	for _, bucket := range n.readyByInFlight {
		if len(bucket) == 0 {
			continue
		}
		if index := n.firstPermitted(r, bucket, n.rng.IntN(len(bucket))); index != noServer {
			return index
		}
	}
	return noServer
}
