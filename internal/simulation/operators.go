package simulation

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pumiceline/internal/message"
)

// Times of an operator's calls.
const (
	answerWithin  = time.Second
	resubmitEvery = 220 * time.Millisecond
	betweenCalls  = 400 * time.Millisecond
	maxTries      = 12
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
	message.ConfigCall
	began   time.Duration
	tries   int
	relay   *node
	newest  uint64 // the newest version acknowledged when it began
	version uint64
	base    uint64
	last    bool // the read at the end of the run
}

func newOperator(c *Cluster, index int) *operator {
	o := &operator{cluster: c, index: index}
	c.after(time.Second+c.spread(time.Second), o.begin)
	return o
}

func (o *operator) stop() { o.stopped = true }

// begin starts the next call: mostly a change on top of the version read last, sometimes a stale or invalid one.
func (o *operator) begin() {
	if o.stopped || o.call != nil {
		return
	}
	c := o.cluster
	next := &call{began: c.now, newest: c.history.newest}
	next.Method = http.MethodGet
	if c.random.IntN(3) > 0 {
		version := o.version + 1 + uint64(c.random.IntN(3))
		if c.random.IntN(12) == 0 {
			version = o.version // invalid
		}
		next.Method = http.MethodPut
		next.IfMatch = strconv.FormatUint(o.version, 10)
		next.version, next.base = version, o.version
		next.Body = fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"by":"%d-%d"}`, version, o.index, o.next)
	}
	o.send(next)
}

func (o *operator) send(next *call) {
	o.call = next
	o.try()
}

// try sends the call to some machine and waits for its answer.
func (o *operator) try() {
	current := o.call
	current.tries++
	o.next++
	id := o.next<<8 | uint64(o.index)
	current.ID = id
	current.relay = o.cluster.nodes[o.cluster.random.IntN(len(o.cluster.nodes))]
	o.submit(current, id)
	o.cluster.after(answerWithin, func() { o.timeOut(current, id) })
}

// submit hands the call to the machine's replica again and again, as its API does.
func (o *operator) submit(current *call, id uint64) {
	if o.call != current || current.ID != id {
		return
	}
	n := current.relay
	if n.replica != nil && !n.frozen {
		sent := current.ConfigCall
		self := n.replica.Identity()
		n.receive(message.Message{
			From: self, FromAddress: n.address, To: self, View: n.replica.View().Number, ConfigCall: &sent,
		})
	}
	o.cluster.after(resubmitEvery, func() { o.submit(current, id) })
}

func (o *operator) timeOut(current *call, id uint64) {
	if o.call != current || current.ID != id {
		return
	}
	if current.tries >= maxTries && !current.last {
		o.cluster.history.unclear[current.base] = true
		o.finish()
		return
	}
	if current.tries >= 4*maxTries {
		o.cluster.violate("ANSWER", "the last read got no answer")
		o.finish()
		return
	}
	o.try()
}

func (o *operator) finish() {
	o.call = nil
	o.cluster.after(o.cluster.spread(betweenCalls), o.begin)
}

func (c *Cluster) deliverResult(n *node, result *message.ConfigResult) {
	for _, o := range c.operators {
		if o.call != nil && o.call.ID == result.ID && o.call.relay == n {
			o.take(result)
		}
	}
}

func (o *operator) take(result *message.ConfigResult) {
	current := o.call
	c := o.cluster
	switch {
	case current.Method == http.MethodGet:
		o.takeRead(current, result)
	case result.Status == http.StatusOK:
		c.history.acknowledge(current)
		o.version = max(o.version, current.version)
		c.after(c.spread(ackStrikeDelay), func() { c.afterAcknowledgement(current.relay) })
	default:
		c.checkRefusal(o, current)
		c.history.refuse(current)
	}
	o.finish()
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

func (o *operator) takeRead(current *call, result *message.ConfigResult) {
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
		c.checkEnd(version, result.Body)
	}
}

// history is what the operators know.
type history struct {
	newest       uint64
	acknowledged map[string]*call // by body
	refused      map[string]*call
	reads        int
	unclear      map[uint64]bool // versions on which a change was built that got no clear answer
	violations   []Violation
}

func newHistory() *history {
	return &history{acknowledged: map[string]*call{}, refused: map[string]*call{}, unclear: map[uint64]bool{}}
}

func (h *history) acknowledge(acknowledged *call) {
	h.acknowledged[string(acknowledged.Body)] = acknowledged
	h.newest = max(h.newest, acknowledged.version)
}

func (h *history) refuse(refused *call) { h.refused[string(refused.Body)] = refused }

// finalRead reads the configuration when all is calm.
func (c *Cluster) finalRead() {
	o := c.operators[0]
	o.stopped = true
	o.call = nil
	last := &call{began: c.now, newest: c.history.newest, last: true}
	last.Method = http.MethodGet
	o.send(last)
	c.runUntil(c.now + 60*time.Second)
}

// checkEnd compares what the members hold at the end with what the operators were told.
func (c *Cluster) checkEnd(version uint64, _ []byte) {
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
	for _, acknowledged := range c.history.acknowledged {
		if !taken[digestOf(&acknowledged.ConfigCall)] {
			c.violate("LOST", fmt.Sprintf("version %d was acknowledged and is gone", acknowledged.version))
		}
	}
	for _, refused := range c.history.refused {
		if taken[digestOf(&refused.ConfigCall)] {
			c.violate("REFUSED", fmt.Sprintf("version %d was refused and is in force", refused.version))
		}
	}
}

func (c *Cluster) newestState() (message.ChainState, bool) {
	var newest message.ChainState
	found := false
	for _, n := range c.nodes {
		if n.replica == nil || !n.replica.IsSynced() {
			continue
		}
		if served := n.replica.Served(); !found || served.Sequence > newest.Sequence {
			newest, found = served, true
		}
	}
	return newest, found
}
