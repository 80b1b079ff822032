package relay

import (
	"sync"

	"pumiceline/internal/message"
)

// issuerHint is the newest that a relay heard of who the issuer is: from the membership of its own coordinator or from a
// response. It may be wrong; whoever is asked by it says so.
type issuerHint struct {
	mutex  sync.Mutex
	issuer message.Member // without an identity: not known
	own    message.Member // what the own coordinator said last
}

// newest returns the hint after a look at what the own coordinator says now, which counts when it has changed.
func (h *issuerHint) newest(own message.Member) (message.Member, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if own != h.own {
		h.own = own
		if isKnown(own) {
			h.issuer = own
		}
	}
	return h.issuer, isKnown(h.issuer)
}

// learn takes the word of a response.
func (h *issuerHint) learn(issuer message.Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.issuer = issuer
}

// forget drops the hint if it names a member that is not the issuer.
func (h *issuerHint) forget(identity message.MemberID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.issuer.Identity == identity {
		h.issuer = message.Member{}
	}
}

func isKnown(m message.Member) bool { return m.Identity != "" }
