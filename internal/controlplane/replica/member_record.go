package replica

import (
	"time"

	"pumiceline/internal/message"
)

// instant is a time on the process's monotonic clock, or none where it is not known.
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

// health is a member's health by its own last heartbeat.
type health struct {
	unhealthy bool // its disk has stalled, or it is isolated
	leaving   bool // it shuts down gracefully
}

// memberRecord is what the failure detector knows of one identity.
type memberRecord struct {
	zone           string
	disk           diskStatus
	health         health
	completeInView message.ViewNumber // the view in which it last said that it is complete
	// lastHeard is the time from which its time-outs count: when its last message came, or, where that is later, when this
	// process resumed after a pause, or entered a view before which it did not monitor the member.
	lastHeard instant
	memberHistory
}

// memberHistory is the part of a record that is dropped when nothing has come from an identity for identityRetention.
type memberHistory struct {
	lastMessage        instant // when its last message came
	wasMember          bool    // it was a member or voter of some earlier view
	firstJoinRequest   instant // only of an identity that had not been a member before
	lastJoinRequest    instant // when it asked last; it did so as it was new, restarted, or removed from the chain
	announcedLeaving   instant // when it last said that it shuts down; unknown where it has rejoined since
	lostVoteToNewcomer instant // when its vote went to a newcomer of its zone
}

// newcomerAge returns how long ago the identity asked to join for the first time; isNewcomer is false for one that was a
// member before, or came more than newcomerPeriod ago.
func (m memberRecord) newcomerAge(now time.Duration) (age time.Duration, isNewcomer bool) {
	return now - m.firstJoinRequest.at, m.firstJoinRequest.isWithin(newcomerPeriod, now)
}

// recordLeaving records that the member announced its shutdown. An announcement that arrives shortly after a join request
// is ignored: the process before a restart sent it.
func (m *memberRecord) recordLeaving(now time.Duration) {
	if !m.lastJoinRequest.isWithin(newcomerTimeout, now) {
		m.announcedLeaving = instantAt(now)
	}
}

// recordJoinRequest records that the member asks to join. What it announced of itself before is void, as it was restarted
// or removed from the chain since.
func (m *memberRecord) recordJoinRequest(now time.Duration) {
	m.announcedLeaving, m.health = instant{}, health{}
	m.lastJoinRequest = instantAt(now)
}

// recordHeartbeat takes what a member's heartbeat says of the member, as of the view in which it was sent.
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
	// A heartbeat without the announcement ends it, though not at once: it may be older than the announcement, and only
	// have arrived after it.
	if !heartbeat.Leaving && !m.announcedLeaving.isWithin(newcomerTimeout, now) {
		m.announcedLeaving = instant{}
	}
}
