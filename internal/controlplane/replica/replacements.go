package replica

import (
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// maxReplacements bounds how many replacements a view keeps.
const maxReplacements = 16

// replacements are the replacements that a view records, in order. A machine that replaced another one may have been
// replaced itself, so they form lines of machines, each of which has one place in the system.
type replacements []message.Replacement

// add returns the replacements with one more. What was recorded of an earlier machine at the new machine's address is
// dropped, so no line returns to a machine.
func (r replacements) add(old, added string) replacements {
	kept := lo.Reject(r, func(p message.Replacement, _ int) bool { return p.Old == added })
	return append(kept, message.Replacement{Old: old, New: added})
}

// successor returns the address of the machine that replaced another one.
func (r replacements) successor(address string) (string, bool) {
	for _, p := range slices.Backward(r) {
		if p.Old == address {
			return p.New, true
		}
	}
	return "", false
}

// newestOf returns the address of the newest machine in the line of a machine, which is its own if nothing replaced it.
func (r replacements) newestOf(address string) string {
	for range r {
		next, ok := r.successor(address)
		if !ok {
			break
		}
		address = next
	}
	return address
}

// isReplacedBy reports whether a machine was replaced and one of the members is a later machine of its line.
func (r replacements) isReplacedBy(machine message.Member, members []message.Member) bool {
	address := machine.Address
	for range r {
		next, ok := r.successor(address)
		if !ok {
			return false
		}
		if containsAddress(members, next) {
			return true
		}
		address = next
	}
	return false
}

// remaining returns the most recent replacements of the lines that have a known machine. The other machines of a line
// may return, for example when a partition ends.
func (r replacements) remaining(known []message.Member) replacements {
	knownLines := map[string]bool{}
	for _, m := range known {
		knownLines[r.newestOf(m.Address)] = true
	}
	kept := lo.Filter(r, func(p message.Replacement, _ int) bool { return knownLines[r.newestOf(p.Old)] })
	return kept[max(0, len(kept)-maxReplacements):]
}
