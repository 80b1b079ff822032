package coordinationsim

import (
	"time"

	"pumiceline/internal/message"
)

const (
	counterCount   = 2
	maxNumberPause = 160 * time.Millisecond
)

var counterNames = [counterCount]message.KeyName{"number-1", "number-2"}

// numberChecker checks RuleOrder for numbers.
type numberChecker struct {
	cluster *Cluster
	owners  map[message.KeyName]map[uint64]int // callers by name and number
	newest  map[message.KeyName]uint64
	given   int
}

func newNumberChecker(c *Cluster) *numberChecker {
	return &numberChecker{cluster: c, owners: map[message.KeyName]map[uint64]int{}, newest: map[message.KeyName]uint64{}}
}

// send asks for a number until the answer is clear or the limit is over. done is called with the last exchange.
func (n *numberChecker) send(caller int, name message.KeyName, limit time.Duration, done func(*exchange)) {
	call := message.Call{Kind: message.CallNumber, Key: name}
	floor := n.newest[name]
	n.cluster.sendUntilClear(caller, call, limit, func(x *exchange) {
		if x.isOK() {
			n.onGiven(x, floor)
		}
		floor = n.newest[name]
	}, done)
}

// onGiven checks a number. floor is the highest number that was given before the call was sent.
func (n *numberChecker) onGiven(x *exchange, floor uint64) {
	name, number := x.call.Key, x.answer.Number
	n.given++
	if number <= floor {
		n.cluster.report(RuleOrder, x.subject(), "caller %d got %d after %d had been given", x.caller, number, floor)
	}
	if n.owners[name] == nil {
		n.owners[name] = map[uint64]int{}
	}
	if other, isGiven := n.owners[name][number]; isGiven {
		n.cluster.report(RuleOrder, x.subject(), "callers %d and %d got %d", other, x.caller, number)
	}
	n.owners[name][number] = x.caller
	n.newest[name] = max(n.newest[name], number)
}

// numberCaller asks for numbers, one after the other.
type numberCaller struct {
	cluster *Cluster
	caller  int
}

func newNumberCaller(c *Cluster) *numberCaller {
	return &numberCaller{cluster: c, caller: c.nextCaller()}
}

func (n *numberCaller) start() {
	c := n.cluster
	c.after(c.randomDuration(maxNumberPause), func() {
		if !c.isStopping {
			c.numbers.send(n.caller, counterNames[c.random.IntN(counterCount)], putRetryTime, func(*exchange) { n.start() })
		}
	})
}
