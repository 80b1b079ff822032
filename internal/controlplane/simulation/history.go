package simulation

import "time"

// history is what the operators know.
type history struct {
	newest       uint64
	acknowledged map[string]*call // by body
	inOrder      []*call          // the acknowledged ones
	byVersion    map[uint64]*call
	refused      map[string]*call
	moments      []moment
	reads        int
	unclear      map[uint64]bool // versions on which a change was built that got no clear answer
	violations   []Violation
	lastAck      time.Duration
	waits        []time.Duration
	pause        time.Duration
}

// moment is when a version had been acknowledged.
type moment struct {
	at      time.Duration
	version uint64
}

func newHistory() *history {
	return &history{
		acknowledged: map[string]*call{}, byVersion: map[uint64]*call{}, refused: map[string]*call{},
		unclear: map[uint64]bool{},
	}
}

func (h *history) acknowledge(c *Cluster, acknowledged *call) {
	if c.now <= c.options.Length && h.lastAck > 0 {
		h.pause = max(h.pause, c.now-h.lastAck)
	}
	h.lastAck = c.now
	h.waits = append(h.waits, c.now-acknowledged.began)
	if h.acknowledged[string(acknowledged.Body)] != nil {
		return
	}
	if other := h.byVersion[acknowledged.version]; other != nil {
		c.violate("NUMBER", "two changes are acknowledged under number "+other.IfMatch)
	}
	kept := *acknowledged
	h.acknowledged[string(kept.Body)] = &kept
	h.byVersion[kept.version] = &kept
	h.inOrder = append(h.inOrder, &kept)
	h.newest = max(h.newest, kept.version)
	h.moments = append(h.moments, moment{c.now, h.newest})
}

func (h *history) refuse(refused *call) { h.refused[string(refused.Body)] = refused }

// newestAt is the newest version acknowledged up to a time.
func (h *history) newestAt(at time.Duration) uint64 {
	for i := len(h.moments) - 1; i >= 0; i-- {
		if h.moments[i].at <= at {
			return h.moments[i].version
		}
	}
	return 0
}
