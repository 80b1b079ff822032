package coordinationsim

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// keyState is the state of a key in the sequential model.
type keyState struct {
	revision message.Revision
	value    string
}

// keyInput is the input of an operation on a key. kind is CallPut for a put that took effect, and CallGet for an
// operation that only shows the revision: a read, or a put that was answered 412.
type keyInput struct {
	kind       message.CallKind
	ifRevision message.Revision
	ifAny      bool
	showsValue bool
}

// keyModel models a key with revisions: a put succeeds if the key has the revision that the put names, and gets a
// higher one.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		present, operation, shown := state.(keyState), input.(keyInput), output.(keyState)
		if operation.kind == message.CallPut {
			isOverRight := operation.ifAny || present.revision == operation.ifRevision
			return isOverRight && shown.revision > present.revision, shown
		}
		isRight := present.revision == shown.revision && (!operation.showsValue || present.value == shown.value)
		return isRight, state
	},
}

// checkLinearizable checks RuleLinearizable for each key.
func (k *keyChecker) checkLinearizable() {
	operations := map[message.KeyName][]porcupine.Operation{}
	var names []message.KeyName
	add := func(key message.KeyName, operation porcupine.Operation) {
		if operations[key] == nil {
			names = append(names, key)
		}
		operations[key] = append(operations[key], operation)
	}
	for _, p := range k.inOrder {
		if p.isShown {
			add(p.key, p.operation())
		}
	}
	unseen := k.unseenRevisions()
	for _, x := range k.cluster.log.exchanges {
		isRead := x.call.Kind == message.CallGet && (x.isOK() || x.status == coordination.StatusNotFound)
		isMismatch := x.call.Kind == message.CallPut && x.status == coordination.StatusRevisionMismatch
		if isRead || isMismatch && !slices.Contains(unseen, x.answer.Revision) {
			add(x.call.Key, x.observation(isRead))
		}
	}
	for _, key := range names {
		if !porcupine.CheckOperations(keyModel, operations[key]) {
			k.cluster.report(RuleLinearizable, string(key), "no order of the calls explains the answers")
		}
	}
}

// unseenRevisions returns the revisions that a 412 names but under which no value was shown: a put without an answer
// took effect and was overwritten before anyone read it. The model has no operation for such a put, so it would reject
// the 412.
func (k *keyChecker) unseenRevisions() (unseen []message.Revision) {
	for _, x := range k.mismatches {
		if named := x.answer.Revision; named > 0 && k.shown[groupOf(x.call.Key)][named] == nil {
			unseen = append(unseen, named)
		}
	}
	return unseen
}

// operation returns the put as one operation, from its first exchange to its first answer 200. Without such an answer
// it may take effect at any time after the first exchange.
func (p *put) operation() porcupine.Operation {
	end := time.Duration(math.MaxInt64)
	if p.acked {
		end = p.ackedAt
	}
	return porcupine.Operation{
		Input:  keyInput{kind: message.CallPut, ifRevision: p.ifRevision, ifAny: p.ifAny},
		Output: keyState{revision: p.revision, value: p.value}, Call: int64(p.sentAt), Return: int64(end),
	}
}

// observation returns the exchange as an operation that shows the key's revision.
func (x *exchange) observation(showsValue bool) porcupine.Operation {
	return porcupine.Operation{
		ClientId: x.caller, Input: keyInput{kind: message.CallGet, showsValue: showsValue},
		Output: keyState{revision: x.answer.Revision, value: x.answer.Value}, Call: int64(x.sentAt), Return: int64(x.endedAt),
	}
}
