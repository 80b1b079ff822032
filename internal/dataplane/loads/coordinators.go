package loads

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

// coordinators holds the members of the control plane, in an order that is the same at all proxies. Proxies see each
// other's loads only if they report to the same coordinator, so all prefer the first available one.
type coordinators struct {
	members          []message.Member
	unavailableUntil map[string]time.Time // by address
}

func (c *coordinators) set(members []message.Member) {
	c.members = slices.Clone(members)
	slices.SortFunc(c.members, func(a, b message.Member) int { return cmp.Compare(rank(a.Address), rank(b.Address)) })
}

// rank orders the coordinators. It is a hash of the address, so it is the same at all proxies.
func rank(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address)) // writing to a hash does not fail
	return hash.Sum64()
}

// preferred returns the address of the first coordinator that is not marked unavailable; empty: there is none.
func (c *coordinators) preferred(now time.Time) string {
	for _, member := range c.members {
		if now.After(c.unavailableUntil[member.Address]) {
			return member.Address
		}
	}
	return ""
}

func (c *coordinators) setUnavailable(address string, now time.Time) {
	c.unavailableUntil[address] = now.Add(unavailableTime)
}

// ensureConnected reports whether there is a connection to target. If there is none, it opens one in the background, so
// that queries do not wait for the dial. The mutex must be held.
func (e *Exchange) ensureConnected(target string) bool {
	if target == "" {
		return false
	}
	if e.client.IsConnected(target) {
		return true
	}
	e.syncedWith = ""
	if !e.isConnecting {
		e.isConnecting = true
		go e.connect(target) // the dial time-out bounds it
	}
	return false
}

func (e *Exchange) connect(target string) {
	err := e.client.Connect(target)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.isConnecting = false
	if err != nil {
		e.coordinators.setUnavailable(target, time.Now())
	}
}

// failOver marks the preferred coordinator unavailable, so that the next one is used. The mutex must be held.
func (e *Exchange) failOver(now time.Time) {
	target := e.coordinators.preferred(now)
	logrus.WithField(logkey.Coordinator, target).Debug("load queries fail over to another coordinator")
	e.coordinators.setUnavailable(target, now)
	e.client.Disconnect()
}
