package relay

import (
	"sync"

	"pumiceline/internal/message"
)

// issuerHint is the newest that a relay heard of who the issuer is: from the membership of its own coordinator or from a
// response. It may be wrong; whoever is asked by it says so.
type issuerHint struct {
	mutex   sync.Mutex
	issuer  message.Member // without an identity: not known
	own     message.Member // what the own coordinator said last
	changed chan struct{}  // closed when another issuer is hinted at
}

// newest returns the hint after a look at what the own coordinator says now, which counts when it has changed.
func (h *issuerHint) newest(own message.Member) (message.Member, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if own != h.own {
		h.own = own
		if isKnown(own) {
			h.set(own)
		}
	}
	return h.issuer, isKnown(h.issuer)
}

// learn takes the word of a response.
func (h *issuerHint) learn(issuer message.Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.set(issuer)
}

// forget drops the hint if it names a member that is not the issuer.
func (h *issuerHint) forget(identity message.MemberID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.issuer.Identity == identity {
		h.issuer = message.Member{}
	}
}

// nextChange returns a channel that is closed when another issuer is hinted at.
func (h *issuerHint) nextChange() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// set changes the hint. The caller holds the mutex.
func (h *issuerHint) set(issuer message.Member) {
	isOther := issuer.Identity != h.issuer.Identity
	h.issuer = issuer
	if isOther {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

func isKnown(m message.Member) bool { return m.Identity != "" }
