package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pumiceline/internal/message"
)

// Times of an operator's calls, and how often an operator does what is unusual.
const (
	answerWithin   = time.Second
	resubmitEvery  = 220 * time.Millisecond
	betweenCalls   = 400 * time.Millisecond
	stormPause     = 5 * time.Millisecond
	maxTries       = 12
	aheadTries     = 2 // of a change on top of one that is under way
	readOneIn      = 3
	invalidOneIn   = 12
	resendOneIn    = 10 // a change that was taken long ago, unchanged
	ahead          = 10 // one in so many changes has one on top of it under way
	versionStep    = 3
	lastReadTries  = 4 * maxTries
	acknowledgedIn = 4 * time.Second // the bound while the machines are stable
)

// operator sends changes and reads, one after the other.
type operator struct {
	cluster *Cluster
	index   int
	next    uint64
	stopped bool
	call    *call
	version uint64 // as last read
}

// call is an operator's call until its end.
type call struct {
	message.ConfigRequest
	began   time.Duration
	tries   int
	relay   *node
	newest  uint64 // the newest version acknowledged when it began
	version uint64
	base    uint64
	resent  bool // it was acknowledged before
	last    bool // the read at the end of the run
}

func newOperator(c *Cluster, index int) *operator {
	o := &operator{cluster: c, index: index}
	c.after(time.Second+c.spread(time.Second), o.begin)
	return o
}

func (o *operator) stop() { o.stopped = true }

// begin starts the next call.
func (o *operator) begin() {
	if o.stopped || o.call != nil {
		return
	}
	c := o.cluster
	next := &call{}
	switch taken := c.history.inOrder; {
	case c.options.Storm:
		o.version = c.history.newest
		o.fillChange(next, o.version, o.version+1)
	case c.random.IntN(readOneIn) == 0:
		next.Method = http.MethodGet
	case len(taken) > 0 && c.random.IntN(resendOneIn) == 0:
		*next = *taken[c.random.IntN(len(taken))]
		next.resent, next.tries, next.relay = true, 0, nil
	default:
		o.makeChange(next)
	}
	next.began, next.newest = c.now, c.history.newest
	o.send(next)
}

// makeChange makes a change on top of the version read last; sometimes it is invalid, and sometimes another operator
// builds on it at once.
func (o *operator) makeChange(next *call) {
	c := o.cluster
	version := o.version + 1 + uint64(c.random.IntN(versionStep))
	if c.random.IntN(invalidOneIn) == 0 {
		version = o.version
	}
	o.fillChange(next, o.version, version)
	other := c.operators[c.random.IntN(len(c.operators))]
	if c.random.IntN(ahead) == 0 && other != o && !other.stopped && other.call == nil {
		following := &call{began: c.now, newest: c.history.newest}
		other.fillChange(following, version, version+1)
		other.send(following)
	}
}

func (o *operator) fillChange(next *call, base, version uint64) {
	o.next++
	next.Method = http.MethodPut
	next.IfMatch = strconv.FormatUint(base, 10)
	next.version, next.base = version, base
	next.Body = fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"by":"%d-%d"}`, version, o.index, o.next)
}

func (o *operator) send(next *call) {
	o.call = next
	o.try()
}

// try sends the call to some machine and waits for its answer.
func (o *operator) try() {
	c := o.cluster
	current := o.call
	current.tries++
	current.relay = o.nextRelay(current.relay)
	current.ID = current.relay.nextCall()
	tries := current.tries
	o.submit(current, tries)
	c.after(answerWithin, func() { o.timeOut(current, tries) })
}

// nextRelay is the machine that the operator asks: any at first, then the others in turn.
func (o *operator) nextRelay(before *node) *node {
	slots := o.cluster.slots
	if before == nil {
		return slots[o.cluster.random.IntN(len(slots))]
	}
	return slots[(before.slot+1)%len(slots)]
}

// submit hands the call to the machine's replica again and again, as its API does.
func (o *operator) submit(current *call, tries int) {
	if o.call != current || current.tries != tries {
		return
	}
	n := current.relay
	if n.replica != nil && !n.frozen {
		sent := current.ConfigRequest
		self := n.replica.Identity()
		n.receive(message.Message{
			From: self, FromAddress: n.address, To: self, View: n.replica.View().Number, ConfigRequest: &sent,
		})
	}
	o.cluster.after(resubmitEvery, func() { o.submit(current, tries) })
}

func (o *operator) timeOut(current *call, tries int) {
	if o.call != current || current.tries != tries {
		return
	}
	o.cluster.checkPatience(current)
	most := maxTries
	if current.base > o.cluster.history.newest {
		most = aheadTries
	}
	if current.tries >= most && !current.last {
		o.cluster.history.unclear[current.base] = true
		o.finish()
		return
	}
	if current.tries >= lastReadTries {
		o.cluster.violate("ANSWER", "the last read got no answer")
		o.finish()
		return
	}
	o.try()
}

func (o *operator) finish() {
	o.call = nil
	pause := o.cluster.spread(betweenCalls)
	if o.cluster.options.Storm {
		pause = stormPause
	}
	o.cluster.after(pause, o.begin)
}

// deliverResult gives an answer to the call that waits for it at the machine.
func (c *Cluster) deliverResult(n *node, result *message.ConfigResponse) {
	for _, o := range c.operators {
		if o.call == nil || o.call.relay != n {
			continue
		}
		if o.call.ID == result.ID || c.options.Defect == AnswerAnyone {
			o.take(result)
		}
	}
}

func (o *operator) take(result *message.ConfigResponse) {
	current := o.call
	c := o.cluster
	switch {
	case current.Method == http.MethodGet:
		o.takeRead(current, result)
	case result.Status == http.StatusOK:
		c.checkCopies(current)
		c.history.acknowledge(c, current)
		o.version = max(o.version, current.version)
		c.after(c.spread(ackStrikeDelay), func() { c.afterAcknowledgement(current.relay) })
	case current.resent:
		c.violate("RESENT", fmt.Sprintf("version %d was acknowledged before and is refused with %d", current.version, result.Status))
	default:
		c.checkRefusal(o, current)
		c.history.refuse(current)
	}
	o.finish()
}

func (o *operator) takeRead(current *call, result *message.ConfigResponse) {
	c := o.cluster
	c.history.reads++
	version := uint64(0)
	if len(result.Body) > 0 {
		var document struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(result.Body, &document); err != nil {
			c.violate("READ", "the configuration cannot be read: "+err.Error())
		}
		version = document.Version
	}
	if version < current.newest {
		c.violate("READ", fmt.Sprintf("version %d was read after %d had been acknowledged", version, current.newest))
	}
	o.version = version
	if current.last {
		c.checkEnd(version)
	}
}

// finalRead reads the configuration when no harm is left.
func (c *Cluster) finalRead() {
	o := c.operators[0]
	o.stopped = true
	o.call = nil
	last := &call{began: c.now, newest: c.history.newest, last: true}
	last.Method = http.MethodGet
	o.send(last)
	for end := c.now + finalReads; c.now < end && o.call == last; {
		c.runUntil(c.now + answerWithin)
	}
}
