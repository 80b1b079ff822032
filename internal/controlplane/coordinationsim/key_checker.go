package coordinationsim

import (
	"strings"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// keyChecker checks the rules of keys and their groups against the values that were put, acknowledged and shown.
type keyChecker struct {
	cluster      *Cluster
	puts         map[string]*put                                             // by value
	inOrder      []*put                                                      // in order of the first exchange
	shown        map[message.KeyGroup]map[message.Revision]*message.KeyEvent // puts that were shown
	highest      map[message.KeyGroup]message.Revision                       // shown revision
	newestOfKey  map[message.KeyName]message.Revision                        // acknowledged revision
	newest       map[message.KeyGroup]message.Revision                       // acknowledged revision
	mismatches   []*exchange                                                 // answered 412
	watches      []*exchange                                                 // answered 200, with or without events
	watchers     []*watcher
	acknowledged int
	eventsSeen   int
}

// put is a value that a caller puts, with all exchanges of it.
type put struct {
	key        message.KeyName
	value      string
	ifRevision message.Revision
	ifAny      bool             // it takes effect whatever revision the key has
	floor      message.Revision // the newest revision of the group that was acknowledged before the first exchange
	revision   message.Revision // under which it was acknowledged or shown; 0: none yet
	isShown    bool
	acked      bool
	sentAt     time.Duration // of the first exchange
	ackedAt    time.Duration // of the first answer 200
	exchanges  int           // number of ended exchanges
	rejections int           // number of exchanges answered "nothing was done"
	mismatched bool          // an exchange was answered 412
}

// isRefused reports whether no exchange of the put can have taken effect. A single 412 rules out all of them: the key
// has another revision than the put names, and revisions only rise, so the key never has the named one again.
func (p *put) isRefused() bool { return p.mismatched || p.exchanges > 0 && p.rejections == p.exchanges }

func newKeyChecker(c *Cluster) *keyChecker {
	return &keyChecker{
		cluster: c, puts: map[string]*put{}, shown: map[message.KeyGroup]map[message.Revision]*message.KeyEvent{},
		highest:     map[message.KeyGroup]message.Revision{},
		newestOfKey: map[message.KeyName]message.Revision{}, newest: map[message.KeyGroup]message.Revision{},
	}
}

// groupOf returns a key's group: its name up to and including the first dot.
func groupOf(key message.KeyName) message.KeyGroup {
	group, _, _ := strings.Cut(string(key), ".")
	return message.KeyGroup(group + ".")
}

// newPut registers a value before it is sent.
func (k *keyChecker) newPut(call message.Call) *put {
	p := &put{
		key: call.Key, value: call.Value, ifRevision: call.IfRevision, ifAny: call.IfAny, floor: k.newest[groupOf(call.Key)],
		sentAt: k.cluster.now,
	}
	k.puts[call.Value] = p
	k.inOrder = append(k.inOrder, p)
	return p
}

// onPutAnswered checks the answer to an exchange of a put.
func (k *keyChecker) onPutAnswered(p *put, x *exchange) {
	p.exchanges++
	switch {
	case x.isOK():
		k.onAcknowledged(p, x)
	case x.isRejected():
		p.rejections++
		k.onRejected(p, x)
	}
}

func (k *keyChecker) onAcknowledged(p *put, x *exchange) {
	revision := x.answer.Revision
	if !p.acked && revision <= p.floor {
		k.cluster.report(RuleOrder, string(p.key), "%s got revision %d after %d had been given", p.value, revision, p.floor)
	}
	if !p.acked {
		p.acked, p.ackedAt = true, x.endedAt
	}
	k.acknowledged++
	k.show(p.key, p.value, revision, "a put's answer")
	k.newestOfKey[p.key] = max(k.newestOfKey[p.key], revision)
	k.newest[groupOf(p.key)] = max(k.newest[groupOf(p.key)], revision)
}

func (k *keyChecker) onRejected(p *put, x *exchange) {
	if x.status == coordination.StatusRevisionMismatch {
		p.mismatched = true
		k.mismatches = append(k.mismatches, x)
		if x.answer.Revision == p.ifRevision {
			k.cluster.report(RuleMixed, string(p.key), "412 names revision %d, over which %s was put", p.ifRevision, p.value)
		}
	}
	if p.isShown && p.mismatched {
		k.cluster.report(RuleRefused, string(p.key), "%s has revision %d and was answered %d", p.value, p.revision, x.status)
	}
}

// show records that a value was shown under a revision. It checks RuleMixed, RuleRefused and that no other value was
// given the same revision.
func (k *keyChecker) show(key message.KeyName, value string, revision message.Revision, where string) {
	c, p := k.cluster, k.puts[value]
	if p == nil || p.key != key {
		c.report(RuleMixed, string(key), "%s shows %s, which was not put to it", where, value)
		return
	}
	if p.revision != 0 && p.revision != revision {
		c.report(RuleMixed, string(key), "%s shows %s under %d, it has had %d", where, value, revision, p.revision)
	}
	if p.mismatched {
		c.report(RuleRefused, string(key), "%s shows %s under %d, which was answered 412", where, value, revision)
	}
	p.revision, p.isShown = revision, true
	group := groupOf(key)
	if k.shown[group] == nil {
		k.shown[group] = map[message.Revision]*message.KeyEvent{}
	}
	if other := k.shown[group][revision]; other != nil && other.Value != value {
		c.report(RuleOrder, string(group), "revision %d was given to %s and %s", revision, other.Value, value)
	}
	k.highest[group] = max(k.highest[group], revision)
	k.shown[group][revision] = &message.KeyEvent{Key: key, Value: value, Revision: revision}
}

// onRead checks the answer to a read. floor is the newest revision of the key acknowledged before the read was sent.
func (k *keyChecker) onRead(x *exchange, floor message.Revision) {
	if x.answer.Revision < floor {
		rule := RuleStale
		if k.cluster.isStopping {
			rule = RuleLost
		}
		k.cluster.report(rule, x.subject(), "read %d after %d had been acknowledged", x.answer.Revision, floor)
	}
	if x.isOK() {
		k.show(x.call.Key, x.answer.Value, x.answer.Revision, "a read")
	}
}

// onWatched checks the answer to a watch. floor is the newest revision of the group acknowledged before it was sent.
func (k *keyChecker) onWatched(x *exchange, floor message.Revision) {
	c, last := k.cluster, x.call.After
	k.watches = append(k.watches, x)
	if x.answer.Revision < x.call.After {
		c.report(RuleLost, x.subject(), "a watch after %d was answered with %d", x.call.After, x.answer.Revision)
	}
	if len(x.answer.Events) == 0 && x.answer.Revision < floor {
		c.report(RuleStale, x.subject(), "a watch knows nothing after %d, and %d had been acknowledged", x.answer.Revision, floor)
	}
	for _, event := range x.answer.Events {
		if event.Revision <= last || event.Revision > x.answer.Revision {
			c.report(RuleOrder, x.subject(), "event %d comes after %d in an answer up to %d", event.Revision, last, x.answer.Revision)
		}
		last = event.Revision
		k.eventsSeen++
		k.show(event.Key, event.Value, event.Revision, "a watch")
	}
}
