package replica

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// failureDetector records for each member when its last message arrived, the health in its heartbeats, and the reports
// of its monitors. The monitors of a member are its successors on a ring of all members, ordered by identity. The
// detector only keeps records; nextView decides based on them.
type failureDetector struct {
	members      map[message.MemberID]*memberRecord
	reports      map[reportKey]time.Duration // when each report was last received
	joinRequests map[message.MemberID]joinRequest
	// memberAddresses has for each address of a former member the time until which that member was in the view.
	memberAddresses map[string]time.Duration
	monitors        []message.Member // members to which this one sends its heartbeats
	monitored       []message.Member // members whose heartbeats this one expects
	resumedAt       instant          // when this process resumed after a pause longer than suspicionTimeout
}

func newFailureDetector() failureDetector {
	return failureDetector{
		members:      map[message.MemberID]*memberRecord{},
		reports:      map[reportKey]time.Duration{},
		joinRequests: map[message.MemberID]joinRequest{},

		memberAddresses: map[string]time.Duration{},
	}
}

// record returns the record of an identity for modification. It creates a missing record.
func (d *failureDetector) record(identity message.MemberID) *memberRecord {
	record, ok := d.members[identity]
	if !ok {
		record = &memberRecord{}
		d.members[identity] = record
	}
	return record
}

// lookup returns a copy of the record of an identity, or the zero record if there is none.
func (d *failureDetector) lookup(identity message.MemberID) memberRecord {
	if record, ok := d.members[identity]; ok {
		return *record
	}
	return memberRecord{}
}

// recordMessage records that a message from a member arrived. It withdraws self's reports that the member is suspected
// or late, unless the member's last heartbeat says that it is unhealthy.
func (d *failureDetector) recordMessage(identity, self message.MemberID, now time.Duration) {
	record := d.record(identity)
	record.timeoutStart, record.lastMessage = instantAt(now), instantAt(now)
	if !record.health.unhealthy {
		delete(d.reports, reportKey{reportSuspected, identity, self})
		delete(d.reports, reportKey{reportLate, identity, self})
	}
}

// reset restarts all time-outs after a pause of this process: messages that arrived during the pause are not read yet.
func (d *failureDetector) reset(now, pause time.Duration) {
	if pause > suspicionTimeout {
		d.resumedAt = instantAt(now)
	}
	for _, record := range d.members {
		if record.timeoutStart.known {
			record.timeoutStart.at = now
		}
	}
	clear(d.reports)
	clear(d.joinRequests)
}

// enterView prepares for a new view. It restarts the time-outs of the members that self did not monitor before, as
// they sent it no heartbeats. The time-outs of the others continue: a member that failed in the old view must be
// suspected in the new view without another full time-out.
func (d *failureDetector) enterView(old, view message.View, self message.MemberID, now time.Duration) {
	for _, member := range view.Members {
		record := d.record(member.Identity)
		if !containsMember(monitorsOf(old, member.Identity), self) {
			record.timeoutStart = instantAt(now)
		}
		if !containsMember(old.Members, member.Identity) {
			record.health = health{} // drops the health from before the member rejoined
		}
		delete(d.joinRequests, member.Identity)
	}
	for _, member := range membersAndVoters(old) {
		d.record(member.Identity).wasMember = true
		d.memberAddresses[member.Address] = now
	}
	d.assignMonitors(view, self)
	clear(d.reports)
}

// wasMemberAddress reports whether a member of an earlier view had the address.
func (d *failureDetector) wasMemberAddress(address string) bool {
	_, ok := d.memberAddresses[address]
	return ok
}

// assignMonitors sets the monitors of self, and the members that self monitors, for a view.
func (d *failureDetector) assignMonitors(view message.View, self message.MemberID) {
	d.monitors = monitorsOf(view, self)
	d.monitored = lo.Filter(view.Members, func(m message.Member, _ int) bool {
		return containsMember(monitorsOf(view, m.Identity), self)
	})
}

// expire drops the reports and histories that have timed out.
func (d *failureDetector) expire(now time.Duration) {
	for _, record := range d.members {
		if record.lastMessage.known && now-record.lastMessage.at > identityRetention {
			record.memberHistory = memberHistory{}
		}
	}
	maps.DeleteFunc(d.memberAddresses, func(_ string, at time.Duration) bool { return now-at > identityRetention })
	maps.DeleteFunc(d.reports, func(_ reportKey, at time.Duration) bool { return now-at > reportTimeout })
}

// monitorsOf returns the members to which a member sends its heartbeats: the next ones on the ring of identities.
func monitorsOf(view message.View, identity message.MemberID) []message.Member {
	ring := slices.Clone(view.Members)
	sort.Slice(ring, func(i, j int) bool { return ring[i].Identity < ring[j].Identity })
	at := indexOfMember(ring, identity)
	if at < 0 {
		return nil
	}
	count := min(monitorsPerMember, len(ring)-1)
	monitors := make([]message.Member, 0, count)
	for i := 1; i <= count; i++ {
		monitors = append(monitors, ring[(at+i)%len(ring)])
	}
	return monitors
}
