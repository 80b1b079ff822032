package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pumiceline/internal/message"
)

const (
	// attemptTimeout is how long a client waits for a response before it tries another relay.
	attemptTimeout = time.Second
	// resubmitInterval is how often a relay's API hands the request to its replica.
	resubmitInterval = 220 * time.Millisecond
	// maxPause is the longest pause between two requests of a client. Continuous writes pause for continuousPause.
	maxPause        = 400 * time.Millisecond
	continuousPause = 5 * time.Millisecond
	// clientStartDelay is the shortest delay of a client's first request. A random time below it is added.
	clientStartDelay = time.Second

	maxAttempts          = 12
	maxPipelinedAttempts = 2 // of a change on top of a pending one
	maxFinalReadAttempts = 4 * maxAttempts
)

// What a client sends. Each ...OneIn constant says that one in so many requests is of that kind.
const (
	readOneIn      = 3
	resendOneIn    = 10 // an acknowledged change that is sent again
	invalidOneIn   = 12 // a change that does not increase the version
	pipelineOneIn  = 10 // another client at once sends a change on top of this one
	maxVersionStep = 3
)

// client sends changes and reads of the configuration, one after the other, as an operator's tools do.
type client struct {
	cluster         *Cluster
	index           int
	changeCount     uint64
	stopped         bool
	pending         *clientRequest
	lastReadVersion uint64 // the newest version that the client has read or got acknowledged
}

// clientRequest is a change or a read, with all attempts of it.
type clientRequest struct {
	message.ConfigRequest
	startedAt     time.Duration
	attempts      int
	relay         *node  // target of the last attempt
	newestAtStart uint64 // the newest version acknowledged when the request started
	version       uint64 // of a change
	base          uint64 // the version that a change builds on
	isResend      bool   // the change was acknowledged before
	isFinalRead   bool
}

func newClient(c *Cluster, index int) *client {
	cl := &client{cluster: c, index: index}
	c.after(clientStartDelay+c.randomDuration(clientStartDelay), cl.startRequest)
	return cl
}

// stop keeps the client from starting another request. A pending one goes on.
func (cl *client) stop() { cl.stopped = true }

// startRequest starts the next request.
func (cl *client) startRequest() {
	if cl.stopped || cl.pending != nil {
		return
	}
	c := cl.cluster
	next := &clientRequest{}
	switch acknowledged := c.history.acknowledgedInOrder; {
	case c.options.ContinuousWrites:
		cl.lastReadVersion = c.history.newest
		cl.fillChange(next, cl.lastReadVersion, cl.lastReadVersion+1)
	case c.random.IntN(readOneIn) == 0:
		next.Method = http.MethodGet
	case len(acknowledged) > 0 && c.random.IntN(resendOneIn) == 0:
		*next = *acknowledged[c.random.IntN(len(acknowledged))]
		next.isResend, next.attempts, next.relay = true, 0, nil
	default:
		cl.startChange(next)
	}
	next.startedAt, next.newestAtStart = c.now, c.history.newest
	cl.send(next)
}

// startChange makes a change on top of lastReadVersion. Sometimes the change is invalid, and sometimes another client
// at once sends a change on top of it.
func (cl *client) startChange(next *clientRequest) {
	c := cl.cluster
	version := cl.lastReadVersion + 1 + uint64(c.random.IntN(maxVersionStep))
	if c.random.IntN(invalidOneIn) == 0 {
		version = cl.lastReadVersion
	}
	cl.fillChange(next, cl.lastReadVersion, version)
	other := c.clients[c.random.IntN(len(c.clients))]
	if c.random.IntN(pipelineOneIn) == 0 && other != cl && !other.stopped && other.pending == nil {
		following := &clientRequest{startedAt: c.now, newestAtStart: c.history.newest}
		other.fillChange(following, version, version+1)
		other.send(following)
	}
}

// fillChange makes a request a change with a unique body.
func (cl *client) fillChange(next *clientRequest, base, version uint64) {
	cl.changeCount++
	next.Method = http.MethodPut
	next.IfMatch = strconv.FormatUint(base, 10)
	next.version, next.base = version, base
	next.Body = fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"by":"%d-%d"}`, version, cl.index, cl.changeCount)
}

func (cl *client) send(next *clientRequest) {
	cl.pending = next
	cl.attempt()
}

// attempt sends the pending request to a relay and waits for its response.
func (cl *client) attempt() {
	request := cl.pending
	request.attempts++
	request.relay = cl.nextRelay(request.relay)
	request.ID = request.relay.nextRequestID()
	attempt := request.attempts
	cl.submit(request, attempt)
	cl.cluster.after(attemptTimeout, func() { cl.onTimeout(request, attempt) })
}

// isCurrent reports whether an attempt still waits for a response.
func (cl *client) isCurrent(request *clientRequest, attempt int) bool {
	return cl.pending == request && request.attempts == attempt
}

// nextRelay returns the machine to try: a random one first, then the others in turn.
func (cl *client) nextRelay(previous *node) *node {
	slots := cl.cluster.slots
	if previous == nil {
		return slots[cl.cluster.random.IntN(len(slots))]
	}
	return slots[(previous.slot+1)%len(slots)]
}

// submit hands the request to the relay's replica every resubmitInterval, as the API of a coordinator does.
func (cl *client) submit(request *clientRequest, attempt int) {
	if !cl.isCurrent(request, attempt) {
		return
	}
	n := request.relay
	if n.replica != nil && !n.frozen {
		submitted := request.ConfigRequest
		self := n.replica.Identity()
		n.receive(message.Message{
			From: self, FromAddress: n.address, To: self, View: n.replica.View().Number, ConfigRequest: &submitted,
		})
	}
	cl.cluster.after(resubmitInterval, func() { cl.submit(request, attempt) })
}

// onTimeout tries the next relay or abandons the request. An abandoned change may still be committed.
func (cl *client) onTimeout(request *clientRequest, attempt int) {
	if !cl.isCurrent(request, attempt) {
		return
	}
	cl.cluster.checkResponseTime(request)
	limit := maxAttempts
	if request.base > cl.cluster.history.newest {
		limit = maxPipelinedAttempts
	}
	if request.attempts >= limit && !request.isFinalRead {
		cl.cluster.history.unresolvedBases[request.base] = true
		cl.finish()
		return
	}
	if request.attempts >= maxFinalReadAttempts {
		cl.cluster.report(RuleFinalRead, "the last read got no answer")
		cl.finish()
		return
	}
	cl.attempt()
}

// finish ends the pending request. The next one starts after a pause.
func (cl *client) finish() {
	cl.pending = nil
	pause := cl.cluster.randomDuration(maxPause)
	if cl.cluster.options.ContinuousWrites {
		pause = continuousPause
	}
	cl.cluster.after(pause, cl.startRequest)
}

// deliverResponse passes a response to the client that waits for it at the relay.
func (c *Cluster) deliverResponse(relay *node, response *message.ConfigResponse) {
	for _, cl := range c.clients {
		if cl.pending == nil || cl.pending.relay != relay {
			continue
		}
		if cl.pending.ID == response.ID || c.options.Defect == AnswerAnyRequest {
			cl.onResponse(response)
		}
	}
}

func (cl *client) onResponse(response *message.ConfigResponse) {
	request := cl.pending
	c := cl.cluster
	switch {
	case request.Method == http.MethodGet:
		cl.onReadResponse(request, response)
	case response.Status == http.StatusOK:
		c.checkDurability(request)
		c.recordAcknowledgement(request)
		cl.lastReadVersion = max(cl.lastReadVersion, request.version)
		c.after(c.randomDuration(maxAckFaultDelay), func() { c.injectAfterAck(request.relay) })
	case request.isResend:
		c.report(RuleIdempotent,
			fmt.Sprintf("version %d was acknowledged before and is refused with %d", request.version, response.Status))
	default:
		c.checkRejection(cl, request)
		c.history.recordRejection(request)
	}
	cl.finish()
}

func (cl *client) onReadResponse(request *clientRequest, response *message.ConfigResponse) {
	c := cl.cluster
	c.history.reads++
	version := uint64(0) // there is no configuration yet
	if len(response.Body) > 0 {
		var document struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(response.Body, &document); err != nil {
			c.report(RuleReads, "the configuration cannot be read: "+err.Error())
		}
		version = document.Version
	}
	if version < request.newestAtStart {
		c.report(RuleReads,
			fmt.Sprintf("version %d was read after %d had been acknowledged", version, request.newestAtStart))
	}
	cl.lastReadVersion = version
	if request.isFinalRead {
		c.checkFinalState(version)
	}
}

// finalRead reads the configuration after all faults have ended and the clients have stopped.
func (c *Cluster) finalRead() {
	cl := c.clients[0]
	cl.stopped = true
	cl.pending = nil
	read := &clientRequest{startedAt: c.now, newestAtStart: c.history.newest, isFinalRead: true}
	read.Method = http.MethodGet
	cl.send(read)
	for end := c.now + finalReadBound; c.now < end && cl.pending == read; {
		c.runUntil(c.now + attemptTimeout)
	}
}
