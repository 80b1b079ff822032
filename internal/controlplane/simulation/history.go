package simulation

import "time"

// history records what the clients observed.
type history struct {
	acknowledged        map[string]*clientRequest // changes by body
	acknowledgedInOrder []*clientRequest
	byVersion           map[uint64]*clientRequest // acknowledged changes
	rejected            map[string]*clientRequest // changes by body
	reads               int
	// unresolvedBases are the versions on top of which a change was abandoned. That change may have been committed.
	unresolvedBases map[uint64]bool

	newest         uint64 // highest acknowledged version
	newestOverTime []versionAt
	lastAckAt      time.Duration
	ackLatencies   []time.Duration
	longestAckGap  time.Duration

	violations []Violation
}

// versionAt is the newest acknowledged version since a time.
type versionAt struct {
	at      time.Duration
	version uint64
}

func newHistory() *history {
	return &history{
		acknowledged: map[string]*clientRequest{}, byVersion: map[uint64]*clientRequest{},
		rejected: map[string]*clientRequest{}, unresolvedBases: map[uint64]bool{},
	}
}

// recordAcknowledgement records that a change was acknowledged, and checks RuleUniqueVersion.
func (c *Cluster) recordAcknowledgement(request *clientRequest) {
	h := c.history
	if c.now <= c.options.FaultPhase && h.lastAckAt > 0 {
		h.longestAckGap = max(h.longestAckGap, c.now-h.lastAckAt)
	}
	h.lastAckAt = c.now
	h.ackLatencies = append(h.ackLatencies, c.now-request.startedAt)
	if h.acknowledged[string(request.Body)] != nil {
		return // the change was sent again
	}
	if other := h.byVersion[request.version]; other != nil {
		c.report(RuleUniqueVersion, "two changes are acknowledged under number "+other.IfMatch)
	}
	kept := *request
	h.acknowledged[string(kept.Body)] = &kept
	h.byVersion[kept.version] = &kept
	h.acknowledgedInOrder = append(h.acknowledgedInOrder, &kept)
	h.newest = max(h.newest, kept.version)
	h.newestOverTime = append(h.newestOverTime, versionAt{c.now, h.newest})
}

func (h *history) recordRejection(request *clientRequest) { h.rejected[string(request.Body)] = request }

// newestAt returns the newest version that had been acknowledged at a time, 0 where none had.
func (h *history) newestAt(at time.Duration) uint64 {
	for i := len(h.newestOverTime) - 1; i >= 0; i-- {
		if h.newestOverTime[i].at <= at {
			return h.newestOverTime[i].version
		}
	}
	return 0
}
