package relay

import (
	"sync"

	"pumiceline/internal/message"
)

// issuerHint is the member that a relay takes for the issuer, by its newest information: from its own coordinator or
// from a response. The hint may be wrong; a target that is not the issuer declines.
type issuerHint struct {
	mutex   sync.Mutex
	issuer  message.Member // without an identity: not known
	ownHint message.Member // the issuer that the own coordinator named last
	changed chan struct{}  // closed when the hint changes to another issuer
}

// newest returns the hint. own is the issuer that the own coordinator names now; it becomes the hint if it is known
// and differs from the one named last.
func (h *issuerHint) newest(own message.Member) (message.Member, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if own != h.ownHint {
		h.ownHint = own
		if isKnown(own) {
			h.setLocked(own)
		}
	}
	return h.issuer, isKnown(h.issuer)
}

// set sets the hint to the issuer that a response names.
func (h *issuerHint) set(issuer message.Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.setLocked(issuer)
}

// clearIfNames clears the hint if it names this member, which has declined a call.
func (h *issuerHint) clearIfNames(identity message.MemberID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.issuer.Identity == identity {
		h.issuer = message.Member{}
	}
}

// nextChange returns a channel that is closed when the hint changes to another issuer.
func (h *issuerHint) nextChange() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// setLocked changes the hint. The caller holds the mutex.
func (h *issuerHint) setLocked(issuer message.Member) {
	isOther := issuer.Identity != h.issuer.Identity
	h.issuer = issuer
	if isOther {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

func isKnown(m message.Member) bool { return m.Identity != "" }
