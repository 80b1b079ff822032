package soak

import (
	"net/http"
	"slices"
)

// shownPut is a put that an application saw: acknowledged, in a read or in an event of a watch.
type shownPut struct {
	key, value string
	revision   uint64
	shownAt    Moment // earliest
}

// keyHistory indexes the puts of all keys.
type keyHistory struct {
	puts    map[string]*Put  // by value, which is unique to a put
	shown   []shownPut       // one for each value
	byGroup map[string][]int // indexes of shown
	byValue map[string]int   // index of shown
}

// newKeyHistory collects all puts that were shown. It returns violations for wrong values and revisions.
func newKeyHistory(h *History) (*keyHistory, violations) {
	k := &keyHistory{puts: map[string]*Put{}, byGroup: map[string][]int{}, byValue: map[string]int{}}
	applications := &h.Applications
	for i := range applications.Puts {
		k.puts[applications.Puts[i].Value] = &applications.Puts[i]
	}
	var found violations
	for i := range applications.Puts {
		put := &applications.Puts[i]
		for _, attempt := range put.Attempts {
			if attempt.Status == http.StatusOK {
				k.addShown(shownPut{put.Key, put.Value, attempt.Revision, attempt.EndedAt}, &found)
			}
		}
	}
	for _, get := range applications.Gets {
		if get.Status == http.StatusOK {
			k.addShown(shownPut{get.Key, get.Value, get.Revision, get.EndedAt}, &found)
		}
	}
	for _, watch := range applications.Watches {
		for _, event := range watch.Events {
			k.addShown(shownPut{event.Key, event.Value, event.Revision, watch.EndedAt}, &found)
		}
	}
	return k, found
}

// addShown adds a shown put and checks its value and revision. A put that was added before only gets its earliest time.
func (k *keyHistory) addShown(s shownPut, found *violations) {
	put := k.puts[s.value]
	if put == nil || put.Key != s.key {
		found.add(RuleMixed, s.shownAt, "%s shows %q, which was not put to it", s.key, s.value)
		return
	}
	if isRejectedPut(put) {
		found.add(RuleRefused, s.shownAt, "%s shows %q, whose put was rejected", s.key, s.value)
	}
	if index, ok := k.byValue[s.value]; ok {
		known := &k.shown[index]
		known.shownAt = min(known.shownAt, s.shownAt)
		if known.revision != s.revision {
			found.add(RuleMixed, s.shownAt, "%s shows %q under the revisions %d and %d", s.key, s.value, known.revision, s.revision)
		}
		return
	}
	for _, index := range k.byGroup[groupOf(s.key)] {
		if other := k.shown[index]; other.revision == s.revision {
			found.add(RuleOrder, s.shownAt, "revision %d of a group was given to %s %q and %s %q", s.revision, other.key, other.value,
				s.key, s.value)
		}
	}
	k.byValue[s.value] = len(k.shown)
	k.byGroup[groupOf(s.key)] = append(k.byGroup[groupOf(s.key)], len(k.shown))
	k.shown = append(k.shown, s)
}

// isRejectedPut reports whether a put was definitely rejected. One 412 suffices: revisions only rise, so a later call
// cannot succeed, and a repeat of a put that had taken effect would be acknowledged again. Otherwise each call must
// have a 429 or 503, which state that the call has not taken effect.
func isRejectedPut(put *Put) bool {
	hasStatus := func(statuses ...int) func(PutAttempt) bool {
		return func(a PutAttempt) bool { return slices.Contains(statuses, a.Status) }
	}
	if slices.ContainsFunc(put.Attempts, hasStatus(http.StatusPreconditionFailed)) {
		return true
	}
	isNotExecuted := hasStatus(http.StatusTooManyRequests, http.StatusServiceUnavailable)
	return len(put.Attempts) > 0 && !slices.ContainsFunc(put.Attempts, func(a PutAttempt) bool { return !isNotExecuted(a) })
}

// checkKeys checks the values and revisions of keys that were shown (MIXED, REFUSED, ORDER), and that no read is stale
// (STALE, at the end LOST).
func checkKeys(h *History, _ *timeline) violations {
	k, found := newKeyHistory(h)
	for i := range h.Applications.Puts {
		k.checkPut(&h.Applications.Puts[i], &found)
	}
	for _, get := range h.Applications.Gets {
		if get.Status != http.StatusOK && get.Status != http.StatusNotFound {
			continue
		}
		newest := k.newestAcknowledged(get.Key, get.SentAt)
		if get.Revision < newest {
			rule := RuleStale
			if get.IsFinal {
				rule = RuleLost
			}
			found.add(rule, get.EndedAt, "%s was read at revision %d, and a put of revision %d was acknowledged before", get.Key,
				get.Revision, newest)
		}
	}
	return found
}

// newestAcknowledged returns the highest revision of a key that was acknowledged before a moment; 0: none.
func (k *keyHistory) newestAcknowledged(key string, before Moment) uint64 {
	newest := uint64(0)
	for _, put := range k.puts {
		if put.Key != key {
			continue
		}
		for _, attempt := range put.Attempts {
			if attempt.Status == http.StatusOK && attempt.EndedAt < before {
				newest = max(newest, attempt.Revision)
			}
		}
	}
	return newest
}

// checkPut checks the answers of one put.
func (k *keyHistory) checkPut(put *Put, found *violations) {
	first := Moment(0)
	if len(put.Attempts) > 0 {
		first = put.Attempts[0].SentAt
	}
	for _, attempt := range put.Attempts {
		switch attempt.Status {
		case http.StatusOK:
			k.checkAcknowledgedPut(put, attempt, first, found)
		case http.StatusPreconditionFailed:
			if attempt.Revision != 0 && !k.mayHaveRevision(put.Key, attempt.Revision) {
				found.add(RuleMixed, attempt.EndedAt, "a 412 for %s names revision %d, which no put gave it", put.Key, attempt.Revision)
			}
		}
	}
}

// checkAcknowledgedPut checks that the revision of a put is above all revisions of its group that were shown before the
// put was first sent. It also checks that no put of the key has a revision between IfRevision and the put's own
// (ORDER).
func (k *keyHistory) checkAcknowledgedPut(put *Put, attempt PutAttempt, first Moment, found *violations) {
	for _, index := range k.byGroup[groupOf(put.Key)] {
		other := k.shown[index]
		if other.value == put.Value {
			continue
		}
		if other.shownAt < first && other.revision >= attempt.Revision {
			found.add(RuleOrder, attempt.EndedAt, "%s %q got revision %d, and revision %d of the group was given before", put.Key,
				put.Value, attempt.Revision, other.revision)
		}
		if other.key == put.Key && other.revision > put.IfRevision && other.revision < attempt.Revision {
			found.add(RuleOrder, attempt.EndedAt, "%s %q was put at revision %d over revision %d, and %d lies between", put.Key,
				put.Value, attempt.Revision, put.IfRevision, other.revision)
		}
	}
}

// mayHaveRevision reports whether a put gave a key a revision, or may have done so: the put was not rejected and never
// shown.
func (k *keyHistory) mayHaveRevision(key string, revision uint64) bool {
	for value, put := range k.puts {
		if put.Key != key {
			continue
		}
		if index, ok := k.byValue[value]; ok {
			if k.shown[index].revision == revision {
				return true
			}
		} else if !isRejectedPut(put) {
			return true
		}
	}
	return false
}

// checkWatches checks the answers of watches. The revisions of events rise and skip no put within the span of the
// answer (ORDER). No answer is older than an acknowledged put (STALE, at the end LOST). No revision expires within
// History (LOST).
func checkWatches(h *History, t *timeline) violations {
	k, _ := newKeyHistory(h) // checkKeys reports these violations
	var found violations
	for _, watch := range h.Applications.Watches {
		switch watch.Status {
		case http.StatusGone:
			if age := watch.EndedAt - watch.GivenAt; watch.After != 0 && age < t.bounds.History {
				found.add(RuleLost, watch.EndedAt, "a watch of %s got 410 for revision %d, which it was given %v ago", watch.Group,
					watch.After, age)
			}
		case http.StatusOK:
			k.checkEvents(watch, &found)
			k.checkLag(watch, &found)
		}
	}
	return found
}

func (k *keyHistory) checkEvents(watch WatchCall, found *violations) {
	last := watch.After
	has := map[uint64]bool{}
	for _, event := range watch.Events {
		if event.Revision <= last || event.Revision > watch.Revision || groupOf(event.Key) != watch.Group {
			found.add(RuleOrder, watch.EndedAt, "a watch of %s after %d shows revision %d of %s after %d, up to %d", watch.Group,
				watch.After, event.Revision, event.Key, last, watch.Revision)
		}
		last = event.Revision
		has[event.Revision] = true
	}
	if watch.After == 0 {
		return // the call only requests the present revision
	}
	for _, index := range k.byGroup[watch.Group] {
		put := k.shown[index]
		if put.revision > watch.After && put.revision <= watch.Revision && !has[put.revision] {
			found.add(RuleOrder, watch.EndedAt, "a watch of %s from %d to %d skips %s at revision %d", watch.Group, watch.After,
				watch.Revision, put.key, put.revision)
		}
	}
}

// checkLag checks that the revision of an answer is not below any revision acknowledged before the call was sent, nor
// below the revision that the call resumes from.
func (k *keyHistory) checkLag(watch WatchCall, found *violations) {
	newest := watch.After
	for _, put := range k.puts {
		if groupOf(put.Key) != watch.Group {
			continue
		}
		for _, attempt := range put.Attempts {
			if attempt.Status == http.StatusOK && attempt.EndedAt < watch.SentAt {
				newest = max(newest, attempt.Revision)
			}
		}
	}
	if watch.Revision >= newest {
		return
	}
	rule := RuleStale
	if watch.IsFinal || watch.Revision < watch.After {
		rule = RuleLost
	}
	found.add(rule, watch.EndedAt, "a watch of %s after %d answers revision %d, and %d was given before", watch.Group, watch.After,
		watch.Revision, newest)
}
