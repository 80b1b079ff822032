package replica

import (
	"time"

	"pumiceline/internal/message"
)

// instant is a time on the process's monotonic clock that may not be known.
type instant struct {
	at    time.Duration
	known bool
}

func instantAt(at time.Duration) instant { return instant{at: at, known: true} }

// isWithin reports whether the instant is known and no more than age before now.
func (i instant) isWithin(age, now time.Duration) bool { return i.known && now-i.at <= age }

// diskStatus is what is known of a member's disk.
type diskStatus int

const (
	diskUnknown diskStatus = iota
	diskPresent
	diskAbsent
)

// health is what a member said of itself in its last heartbeat.
type health struct {
	unhealthy bool // its disk stalls, or it is isolated
	leaving   bool // it shuts down gracefully
}

// memberRecord is what the failure detector knows of one identity.
type memberRecord struct {
	zone           string
	disk           diskStatus
	health         health
	completeInView message.ViewNumber // the view in which it last said that it is complete
	// lastHeard is from when its silence counts: its last message, or a later time from which this process could hear it.
	lastHeard instant
	memberHistory
}

// memberHistory is the part of a record that is dropped when nothing has come from an identity for identityRetention.
type memberHistory struct {
	lastMessage        instant
	wasMember          bool    // of some earlier view
	firstJoinRequest   instant // only of an identity that had not been a member before
	lastJoinRequest    instant // it was restarted, or removed from the chain
	announcedLeaving   instant // unless it rejoined since
	lostVoteToNewcomer instant // its vote went to a newcomer of its zone
}

// newcomerAge returns how long ago the identity asked to join for the first time; isNewcomer is false for one that was a
// member before, or came more than newcomerPeriod ago.
func (m memberRecord) newcomerAge(now time.Duration) (age time.Duration, isNewcomer bool) {
	return now - m.firstJoinRequest.at, m.firstJoinRequest.isWithin(newcomerPeriod, now)
}

// recordLeaving notes that the member said that it shuts down. What arrives just after its process was restarted was
// said by the process before.
func (m *memberRecord) recordLeaving(now time.Duration) {
	if !m.lastJoinRequest.isWithin(newcomerTimeout, now) {
		m.announcedLeaving = instantAt(now)
	}
}

// recordJoinRequest notes that the member asks to join: what it said of itself before is void.
func (m *memberRecord) recordJoinRequest(now time.Duration) {
	m.announcedLeaving, m.health = instant{}, health{}
	m.lastJoinRequest = instantAt(now)
}

// recordHeartbeat takes what a member says of itself, in a view.
func (m *memberRecord) recordHeartbeat(heartbeat *message.Heartbeat, view message.ViewNumber, zone string, now time.Duration) {
	if heartbeat.Complete {
		m.completeInView = view
	}
	m.disk = diskPresent
	if heartbeat.Diskless {
		m.disk = diskAbsent
	}
	m.zone = zone
	m.health = health{unhealthy: heartbeat.DiskStalled || heartbeat.Isolated, leaving: heartbeat.Leaving}
	// A heartbeat that does not say so may have been overtaken by one that does.
	if !heartbeat.Leaving && !m.announcedLeaving.isWithin(newcomerTimeout, now) {
		m.announcedLeaving = instant{}
	}
}
