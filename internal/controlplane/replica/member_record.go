package replica

import (
	"time"

	"pumiceline/internal/message"
)

// instant is a time on the process's monotonic clock; known is false if there is none.
type instant struct {
	at    time.Duration
	known bool
}

func instantAt(at time.Duration) instant { return instant{at: at, known: true} }

// isWithin reports whether the instant is known and no more than age before now.
func (i instant) isWithin(age, now time.Duration) bool { return i.known && now-i.at <= age }

// diskStatus says whether a member is known to have a disk.
type diskStatus int

const (
	diskUnknown diskStatus = iota
	diskPresent
	diskAbsent
)

// health is a member's health according to its last heartbeat.
type health struct {
	unhealthy bool // its disk has stalled, or it is isolated
	leaving   bool // it is shutting down gracefully
}

// memberRecord is the failure detector's record of one identity.
type memberRecord struct {
	zone           string
	disk           diskStatus
	health         health
	completeInView message.ViewNumber // the view of its last heartbeat that reported it complete
	// timeoutStart is the start of the member's time-outs. It is the latest of these times: when its last message arrived,
	// when this process resumed after a pause, and when this process entered a view before which it did not monitor the
	// member.
	timeoutStart instant
	memberHistory
}

// memberHistory is the part of a record that is dropped if no message has arrived from an identity for
// identityRetention.
type memberHistory struct {
	lastMessage      instant // when its last message arrived
	wasMember        bool    // it was a member or voter of an earlier view
	firstJoinRequest instant // unknown if it had been a member before
	lastJoinRequest  instant // when its last request arrived: it is new, restarted, or removed from the chain
	announcedLeaving instant // when it last announced its shutdown; unknown if it has rejoined since
}

// recordLeaving records that the member announced its shutdown. An announcement within newcomerTimeout of a join
// request is ignored: the process before the restart sent it.
func (m *memberRecord) recordLeaving(now time.Duration) {
	if !m.lastJoinRequest.isWithin(newcomerTimeout, now) {
		m.announcedLeaving = instantAt(now)
	}
}

// recordJoinRequest records that the member asks to join. It drops the member's earlier announcement and health, as the
// member has been restarted or removed from the chain since.
func (m *memberRecord) recordJoinRequest(now time.Duration) {
	m.announcedLeaving, m.health = instant{}, health{}
	m.lastJoinRequest = instantAt(now)
}

// recordHeartbeat records the contents of a member's heartbeat, which was sent in the given view.
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
	// A heartbeat without the announcement cancels it, but only once the announcement is older than newcomerTimeout: an
	// older heartbeat may have been reordered after the announcement.
	if !heartbeat.Leaving && !m.announcedLeaving.isWithin(newcomerTimeout, now) {
		m.announcedLeaving = instant{}
	}
}
