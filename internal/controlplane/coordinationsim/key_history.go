package coordinationsim

import (
	"slices"

	"pumiceline/internal/message"
)

// checkHistory checks the rules that need the observations of the whole run.
func (k *keyChecker) checkHistory() {
	for _, p := range k.inOrder {
		k.checkSuccession(p)
		if p.isShown && !p.mismatched && p.isRefused() {
			k.cluster.report(RuleRefused, string(p.key), "%s has revision %d, and each try was answered that nothing was done",
				p.value, p.revision)
		}
	}
	for _, x := range k.watches {
		k.checkNoneSkipped(x)
	}
	for _, x := range k.mismatches {
		k.checkMismatch(x)
	}
	k.checkLinearizable()
}

// checkSuccession checks that the key had no revision between the one that a put names and the one that the put got.
func (k *keyChecker) checkSuccession(p *put) {
	if !p.isShown || p.ifAny {
		return
	}
	shown := k.shown[groupOf(p.key)]
	for revision := p.ifRevision + 1; revision < p.revision; revision++ {
		if shown[revision] != nil && shown[revision].Key == p.key {
			k.cluster.report(RuleOrder, string(p.key), "%s got %d over %d, but the key had %d", p.value, p.revision, p.ifRevision, revision)
			return
		}
	}
}

// checkNoneSkipped checks that a watch reported each shown put between its After and the answered revision.
func (k *keyChecker) checkNoneSkipped(x *exchange) {
	if x.call.After == 0 {
		return // the watch asks for the current revision only
	}
	reported := map[message.Revision]bool{}
	for _, event := range x.answer.Events {
		reported[event.Revision] = true
	}
	shown := k.shown[x.call.Group]
	for revision := x.call.After + 1; revision <= min(x.answer.Revision, k.highest[x.call.Group]); revision++ {
		if shown[revision] != nil && !reported[revision] {
			k.cluster.report(RuleOrder, x.subject(), "a watch from %d to %d skipped %d", x.call.After, x.answer.Revision, revision)
			return
		}
	}
}

// checkMismatch checks that a 412 names a revision of the key. Where no put was shown under that revision, it can
// decide only if a watch covered the revision: the watch would have reported the put.
func (k *keyChecker) checkMismatch(x *exchange) {
	group, named := groupOf(x.call.Key), x.answer.Revision
	event := k.shown[group][named]
	isCovered := slices.ContainsFunc(k.watches, func(w *exchange) bool {
		return w.call.Group == group && w.call.After > 0 && named > w.call.After && named <= w.answer.Revision
	})
	if event != nil && event.Key != x.call.Key || event == nil && isCovered {
		k.cluster.report(RuleMixed, string(x.call.Key), "412 names revision %d, which no put gave the key", named)
	}
}
