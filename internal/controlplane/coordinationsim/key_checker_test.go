package coordinationsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// keyFixture is a key checker whose clock advances with each call.
type keyFixture struct {
	*Cluster
	puts map[string]*put
}

const fixtureKey = message.KeyName("g.1")

func newKeyFixture() *keyFixture {
	return &keyFixture{Cluster: newCluster(Options{}), puts: map[string]*put{}}
}

// exchange records an ended exchange.
func (k *keyFixture) exchange(call message.Call, answer message.Answer) *exchange {
	x := &exchange{call: call, sentAt: k.now, endedAt: k.now + time.Millisecond, ended: true, status: answer.Status, answer: answer}
	k.now += 2 * time.Millisecond
	k.log.exchanges = append(k.log.exchanges, x)
	return x
}

// put puts a value to fixtureKey and passes the answer to the checker.
func (k *keyFixture) put(value string, ifRevision message.Revision, status message.CallStatus, revision message.Revision) {
	k.putTo(fixtureKey, value, ifRevision, status, revision)
}

func (k *keyFixture) putTo(key message.KeyName, value string, ifRevision message.Revision, status message.CallStatus, revision message.Revision) {
	call := message.Call{Kind: message.CallPut, Key: key, Value: value, IfRevision: ifRevision}
	if k.puts[value] == nil {
		k.puts[value] = k.keys.newPut(call)
	}
	k.keys.onPutAnswered(k.puts[value], k.exchange(call, message.Answer{Status: status, Revision: revision}))
}

func (k *keyFixture) read(value string, revision message.Revision) {
	floor := k.keys.newestOfKey[fixtureKey]
	x := k.exchange(message.Call{Kind: message.CallGet, Key: fixtureKey},
		message.Answer{Status: coordination.StatusOK, Value: value, Revision: revision})
	k.keys.onRead(x, floor)
}

func (k *keyFixture) watch(after, revision message.Revision, events ...message.KeyEvent) {
	x := k.exchange(message.Call{Kind: message.CallWatch, Group: "g.", After: after},
		message.Answer{Status: coordination.StatusOK, Revision: revision, Events: events})
	k.keys.onWatched(x, k.keys.newest["g."])
}

func shownEvent(value string, revision message.Revision) message.KeyEvent {
	return message.KeyEvent{Key: fixtureKey, Value: value, Revision: revision}
}

func TestKeyChecker(t *testing.T) {
	const ok, mismatch = coordination.StatusOK, coordination.StatusRevisionMismatch
	for _, c := range []struct {
		name string
		run  func(k *keyFixture)
		want []Rule
	}{
		{"puts that each name the current revision", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, ok, 2)
			k.put("c", 1, mismatch, 2)
			k.read("b", 2)
			k.watch(1, 2, shownEvent("b", 2))
		}, nil},
		{"a repeated put", func(k *keyFixture) {
			k.put("a", 0, 0, 0)
			k.put("a", 0, ok, 1)
			k.put("a", 0, ok, 1)
		}, nil},
		{"a repeated put with another revision", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("a", 0, ok, 2)
		}, []Rule{RuleMixed, RuleOrder}},
		{"a revision below one given before", func(k *keyFixture) {
			k.put("a", 0, ok, 2)
			k.putTo("g.2", "b", 0, ok, 1)
		}, []Rule{RuleOrder}},
		{"a revision given twice", func(k *keyFixture) {
			k.put("a", 0, 0, 0)
			k.putTo("g.2", "b", 0, ok, 1)
			k.read("a", 1)
		}, []Rule{RuleOrder}},
		{"a put that names an outdated revision", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, ok, 2)
			k.put("c", 1, ok, 3)
		}, []Rule{RuleOrder, RuleLinearizable}},
		{"a stale read", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, ok, 2)
			k.read("a", 1)
		}, []Rule{RuleStale, RuleLinearizable}},
		{"reads of the new and then the old value during a put", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, 0, 0)
			k.read("b", 2)
			k.read("a", 1)
		}, []Rule{RuleLinearizable}},
		{"a value that was never put", func(k *keyFixture) { k.read("x", 1) }, []Rule{RuleMixed, RuleLinearizable}},
		{"a 412 with a revision of another key", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.putTo("g.2", "b", 0, ok, 2)
			k.put("c", 0, mismatch, 2)
		}, []Rule{RuleMixed, RuleLinearizable}},
		{"a 412 with a revision that a watch did not report", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.watch(1, 3)
			k.put("c", 0, mismatch, 2)
		}, []Rule{RuleMixed}},
		{"a 412 though the put names the current revision", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, mismatch, 1)
		}, []Rule{RuleMixed}},
		{"a put answered 412 is shown", func(k *keyFixture) {
			k.put("a", 0, 0, 0)
			k.put("a", 0, mismatch, 5)
			k.read("a", 1)
		}, []Rule{RuleRefused}},
		{"a put answered 503 is shown", func(k *keyFixture) {
			k.put("a", 0, statusUnavailable, 0)
			k.read("a", 1)
		}, []Rule{RuleRefused}},
		{"a put answered 503 and then 504 is shown", func(k *keyFixture) {
			k.put("a", 0, statusUnavailable, 0)
			k.put("a", 0, statusGatewayTimeout, 0)
			k.read("a", 1)
		}, nil},
		{"a watch that skips a put", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, ok, 2)
			k.put("c", 2, ok, 3)
			k.watch(1, 3, shownEvent("c", 3))
		}, []Rule{RuleOrder}},
		{"a watch with events in falling order", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, ok, 2)
			k.put("c", 2, ok, 3)
			k.watch(1, 3, shownEvent("c", 3), shownEvent("b", 2))
		}, []Rule{RuleOrder}},
		{"a watch answered with a revision below its own", func(k *keyFixture) { k.watch(5, 4) }, []Rule{RuleLost}},
		{"a watch without events behind an acknowledged revision", func(k *keyFixture) {
			k.put("a", 0, ok, 1)
			k.put("b", 1, ok, 2)
			k.watch(1, 1)
		}, []Rule{RuleStale}},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newKeyFixture()
			c.run(k)
			k.keys.checkHistory()
			var rules []Rule
			for _, v := range k.log.violations {
				rules = append(rules, v.Rule)
			}
			assert.Equal(t, c.want, rules)
		})
	}
}

func TestWatcher_HistoryGone(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		want int
	}{{"just within the history", longHistory - time.Millisecond, 1}, {"at the end of the history", longHistory, 0}} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newCluster(Options{History: longHistory})
			w := newWatcher(cluster, "g.")
			w.after, w.receivedAt = 5, time.Second
			w.onAnswer(&exchange{endedAt: time.Second + c.age, ended: true, status: coordination.StatusHistoryGone}, 0)
			assert.Len(t, cluster.log.violations, c.want)
			assert.Zero(t, w.after)
		})
	}
}

func TestNumberChecker(t *testing.T) {
	cluster := newCluster(Options{})
	give := func(number, floor uint64) {
		cluster.numbers.onGiven(&exchange{call: message.Call{Key: "n"}, answer: message.Answer{Number: number}}, floor)
	}
	give(5, 0)
	give(9, 5)
	assert.Empty(t, cluster.log.violations)
	give(8, 5)
	assert.Empty(t, cluster.log.violations, "concurrent calls may be answered out of order")
	give(8, 5)
	assert.Len(t, cluster.log.violations, 1, "a number given twice")
	give(7, 9)
	assert.Len(t, cluster.log.violations, 2, "a number below one given before the call was sent")
}
