package replica

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// failureDetector keeps who was heard when, and what the monitors report. It proposes who to take out and who to take in; it
// decides nothing.
type failureDetector struct {
	heard                 map[message.MemberID]time.Duration      // from when a member's silence counts
	spoke                 map[message.MemberID]time.Duration      // when a message of it came last
	complete              map[message.MemberID]message.ViewNumber // the view in which a member said that it is complete
	disk                  map[message.MemberID]bool               // whether a member has one, as it said
	zone                  map[message.MemberID]string
	condition             map[message.MemberID]health
	reports               map[suspicionReport]time.Duration
	joinRequests          map[message.MemberID]joinRequest
	veterans              map[message.MemberID]bool          // identities that have been members
	arrived               map[message.MemberID]time.Duration // when an identity that was no member before asked for the first time
	departing             map[message.MemberID]time.Duration // when members said last that they were asked to stop, unless they came back since
	cameBack              map[message.MemberID]time.Duration // when a member asked to join last
	superseded            map[message.MemberID]time.Duration // when a member's vote went to a newcomer of its zone
	resumedAt             time.Duration                      // when this process went on after it had stood still for long
	monitors              []message.Member                   // to whom this member sends its heartbeats
	monitored             []message.Member                   // whose heartbeats it awaits
	lastHeartbeat         time.Duration
	hasSentHeartbeat      bool
	viewAnnouncedAt       time.Duration
	suspectedSince        time.Duration // since when some member is silent, 0: none is
	viewChangeWantedSince time.Duration
	wantsViewChange       bool
}

// health is what a member said of itself last.
type health struct {
	unhealthy bool // its disk stalls, or it hears no majority
	leaving   bool
}

// suspicion is what a monitor reports of a member.
type suspicion int

const (
	suspected suspicion = iota
	leaving
	late
)

type suspicionReport struct {
	suspicion suspicion
	member    message.MemberID
	reporter  message.MemberID
}

type joinRequest struct {
	member         message.Member
	view           message.ViewNumber // that it knew when it asked last
	lastRequestAt  time.Duration
	firstRequestAt time.Duration // since when it has asked without a gap
}

// durableMemberTimeout is how long the first view waits for members with disks.
const durableMemberTimeout = 3 * time.Second

func (d *failureDetector) init() {
	d.heard = map[message.MemberID]time.Duration{}
	d.spoke = map[message.MemberID]time.Duration{}
	d.complete = map[message.MemberID]message.ViewNumber{}
	d.disk = map[message.MemberID]bool{}
	d.zone = map[message.MemberID]string{}
	d.condition = map[message.MemberID]health{}
	d.reports = map[suspicionReport]time.Duration{}
	d.joinRequests = map[message.MemberID]joinRequest{}
	d.veterans = map[message.MemberID]bool{}
	d.arrived = map[message.MemberID]time.Duration{}
	d.departing = map[message.MemberID]time.Duration{}
	d.superseded = map[message.MemberID]time.Duration{}
	d.cameBack = map[message.MemberID]time.Duration{}
}

// leavingPeriod is how long a member that was asked to stop takes at the most until it has ended.
const leavingPeriod = 5 * time.Second

// recordLeaving keeps that a member said that it was asked to stop. What comes just after it has been started again was
// said before.
func (d *failureDetector) recordLeaving(identity message.MemberID, now time.Duration) {
	at, known := d.cameBack[identity]
	if !known || now-at > newcomerTimeout {
		d.departing[identity] = now
	}
}

// recordRejoin keeps that a member asks to join: it has been started again, or was taken out.
func (d *failureDetector) recordRejoin(identity message.MemberID, now time.Duration) {
	delete(d.departing, identity)
	delete(d.condition, identity)
	d.cameBack[identity] = now
}

// recordMessage notes that a message of a member came to self, which so takes back that it is silent.
func (d *failureDetector) recordMessage(identity, self message.MemberID, now time.Duration) {
	d.heard[identity], d.spoke[identity] = now, now
	if len(d.reports) > 0 && !d.condition[identity].unhealthy {
		delete(d.reports, suspicionReport{suspected, identity, self})
		delete(d.reports, suspicionReport{late, identity, self})
	}
}

// reset starts all silences anew: the process stood still for a span, so it cannot tell who was silent.
func (d *failureDetector) reset(now, span time.Duration) {
	if span > suspicionTimeout {
		d.resumedAt = now
	}
	for identity := range d.heard {
		d.heard[identity] = now
	}
	clear(d.reports)
	clear(d.joinRequests)
	d.wantsViewChange = false
}

// enterView starts the silences of those anew that self did not monitor before: a member that was silent in the old
// view stays so.
func (d *failureDetector) enterView(old, view message.View, self message.MemberID, now time.Duration) {
	for _, member := range view.Members {
		if !containsMember(monitorsOf(old, member.Identity), self) {
			d.heard[member.Identity] = now
		}
		delete(d.joinRequests, member.Identity)
		if !containsMember(old.Members, member.Identity) {
			delete(d.condition, member.Identity) // what it said of itself before it came back
		}
	}
	d.recordLostVotes(old, view, now)
	for _, member := range membersAndVoters(old) {
		d.veterans[member.Identity] = true
	}
	d.assignMonitors(view, self)
	clear(d.reports)
	d.wantsViewChange = false
	d.hasSentHeartbeat = false
}

// recordLostVotes keeps whose vote went to a newcomer of its zone: they will probably be told to stop.
func (d *failureDetector) recordLostVotes(old, view message.View, now time.Duration) {
	isNewcomer := func(m message.Member) bool { return !containsMember(membersAndVoters(old), m.Identity) }
	for _, voter := range old.EffectiveVoters() {
		isOfZone := func(m message.Member) bool { return isNewcomer(m) && m.Zone == voter.Zone }
		if !containsMember(view.EffectiveVoters(), voter.Identity) && lo.ContainsBy(view.EffectiveVoters(), isOfZone) {
			d.superseded[voter.Identity] = now
		}
	}
}

// assignMonitors works out who monitors whom.
func (d *failureDetector) assignMonitors(view message.View, self message.MemberID) {
	d.monitors = monitorsOf(view, self)
	d.monitored = lo.Filter(view.Members, func(m message.Member, _ int) bool {
		return containsMember(monitorsOf(view, m.Identity), self)
	})
}

// identityRetention is how long it is kept what is known of an identity that has fallen silent.
const identityRetention = 5 * time.Minute

// expire drops the reports and arrivals that do not count any more.
func (d *failureDetector) expire(now time.Duration) {
	for identity, at := range d.spoke {
		if now-at > identityRetention {
			delete(d.spoke, identity)
			delete(d.veterans, identity)
			delete(d.arrived, identity)
			delete(d.departing, identity)
			delete(d.superseded, identity)
			delete(d.cameBack, identity)
		}
	}
	maps.DeleteFunc(d.reports, func(_ suspicionReport, at time.Duration) bool { return now-at > reportTimeout })
}

// monitorsOf returns the members to which identity sends its heartbeats: the next ones on the ring of identities.
func monitorsOf(view message.View, identity message.MemberID) []message.Member {
	ring := slices.Clone(view.Members)
	sort.Slice(ring, func(i, j int) bool { return ring[i].Identity < ring[j].Identity })
	at := slices.IndexFunc(ring, func(m message.Member) bool { return m.Identity == identity })
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

func (r *Replica) isComplete(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return r.control.Complete
	}
	return r.detector.complete[member.Identity] == r.control.View.Number
}

// isDisklessSystem reports whether no member of the view has a disk, and none has come for the first seconds of the system.
// Then machines without a disk are members like others; one that restarts comes back as another.
func (r *Replica) isDisklessSystem() bool {
	view := r.control.View
	if len(view.Members) == 0 || view.Number == 1 && r.now-r.lease.viewEntered < durableMemberTimeout {
		return false
	}
	return lo.EveryBy(membersAndVoters(view), r.isDiskless)
}

// yieldsToDurableMembers reports whether a member has no disk though others have one: only the first view can have it.
func (r *Replica) yieldsToDurableMembers(member message.Member) bool {
	return r.isDiskless(member) && !r.isDisklessSystem()
}

func (r *Replica) isDiskless(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return r.options.Diskless
	}
	hasDisk, told := r.detector.disk[member.Identity]
	return member.Diskless || told && !hasDisk
}
