package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// detector keeps who was heard when. It proposes who to take out and who to take in; it decides nothing.
type detector struct {
	heard        map[string]time.Duration
	complete     map[string]uint64                   // the view in which a member said that it is complete
	disk         map[string]bool                     // whether a member has one, as it said
	unfit        map[string]bool                     // members whose disk stalls, or that leave
	reports      map[string]map[string]time.Duration // suspected member, reporter, when
	since        map[string]time.Duration            // since when a member is suspected without a gap
	joiners      map[string]joiner
	lastBeat     time.Duration
	beaten       bool
	toldSeeds    time.Duration
	wantedSince  time.Duration
	wantsAnother bool
}

const (
	observeInterval  = 1 * time.Second // of a coordinator that only wants to know the view
	disklessPatience = 3 * time.Second // so long the first view waits for members with disks
)

type joiner struct {
	member message.Member
	at     time.Duration
	first  time.Duration
}

func (d *detector) init() {
	d.heard = map[string]time.Duration{}
	d.complete = map[string]uint64{}
	d.disk = map[string]bool{}
	d.unfit = map[string]bool{}
	d.reports = map[string]map[string]time.Duration{}
	d.since = map[string]time.Duration{}
	d.joiners = map[string]joiner{}
}

func (d *detector) hear(identity string, now time.Duration) { d.heard[identity] = now }

// forgive starts all silences anew: the process stood still, so it cannot tell who was silent.
func (d *detector) forgive(now time.Duration) {
	for identity := range d.heard {
		d.heard[identity] = now
	}
	clear(d.reports)
	clear(d.since)
	clear(d.joiners)
	d.wantsAnother = false
}

// monitorsOf returns the members to which identity sends its heartbeats: the next ones on the ring of identities.
func monitorsOf(view message.View, identity string) []message.Member {
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

func (r *Replica) tickMembership() {
	interval := heartbeatInterval
	if r.options.Volatile && !r.IsMember() {
		interval = observeInterval
	}
	if !r.detector.beaten || r.now-r.detector.lastBeat >= interval {
		r.detector.lastBeat, r.detector.beaten = r.now, true
		if r.IsMember() {
			r.sendHeartbeats()
			r.reportSuspicions()
			r.tellSeeds()
		} else {
			r.askToJoin()
		}
	}
}

// tellSeeds lets the head tell the seeds that are no members of the view: whoever comes back with nothing but the seeds'
// addresses asks them, and they may have no disk themselves.
func (r *Replica) tellSeeds() {
	if !r.isHead() || r.now-r.detector.toldSeeds < observeInterval {
		return
	}
	r.detector.toldSeeds = r.now
	for _, seed := range r.options.Seeds {
		if !lo.ContainsBy(r.control.View.Members, func(m message.Member) bool { return m.Address == seed }) {
			r.send(message.Member{Address: seed}, message.Message{Announcement: &message.Announcement{View: r.control.View}})
		}
	}
}

func (r *Replica) sendHeartbeats() {
	beat := &message.Heartbeat{Complete: r.control.Complete, DiskStalled: r.stalled, Leaving: r.leaving, Volatile: r.options.Volatile}
	for _, monitor := range monitorsOf(r.control.View, r.control.Identity) {
		r.send(monitor, message.Message{Heartbeat: beat})
	}
}

// askToJoin asks everyone known for membership, and so learns of the newest view too.
func (r *Replica) askToJoin() {
	if r.leaving {
		return
	}
	addresses := slices.Clone(r.options.Seeds)
	for _, member := range r.control.View.Members {
		addresses = append(addresses, member.Address)
	}
	for _, address := range lo.Uniq(addresses) {
		if address != r.options.Self.Address {
			join := &message.Join{DiskStalled: r.stalled, Observer: r.options.Volatile}
			r.send(message.Member{Address: address}, message.Message{Join: join})
		}
	}
}

func (r *Replica) onHeartbeat(m *message.Message) {
	if m.Heartbeat.Complete {
		r.detector.complete[m.From] = m.View
	}
	r.detector.disk[m.From] = !m.Heartbeat.Volatile
	r.detector.unfit[m.From] = m.Heartbeat.DiskStalled || m.Heartbeat.Leaving
}

func (r *Replica) onSuspicion(m *message.Message) {
	if positionOf(r.control.View, m.From) < 0 {
		return
	}
	for _, identity := range m.Suspicion.Members {
		r.noteReport(identity, m.From)
	}
}

func (r *Replica) noteReport(identity, reporter string) {
	if r.detector.reports[identity] == nil {
		r.detector.reports[identity] = map[string]time.Duration{}
	}
	r.detector.reports[identity][reporter] = r.now
}

func (r *Replica) onJoin(m *message.Message) {
	if m.View < r.control.View.Number { // also from one that is no member: the sender may know of no other
		r.send(r.sender(m), message.Message{Announcement: &message.Announcement{View: r.control.View}})
	}
	if !r.IsMember() {
		return
	}
	if m.Join.Observer || m.Join.DiskStalled || positionOf(r.control.View, m.From) >= 0 {
		return
	}
	known, ok := r.detector.joiners[m.From]
	if !ok || r.now-known.at > joinLifetime {
		known.first = r.now
	}
	known.member, known.at = r.sender(m), r.now
	r.detector.joiners[m.From] = known
	if m.View >= r.control.View.Number && !r.isProposer() {
		r.passOnJoin(m)
	}
}

// passOnJoin tells the proposer of a joiner that may not know its address.
func (r *Replica) passOnJoin(m *message.Message) {
	head := r.control.View.Members[0]
	if head.Identity == r.control.Identity {
		return
	}
	passed := r.addressed(head, message.Message{Join: m.Join})
	passed.From, passed.FromAddress, passed.FromZone = m.From, m.FromAddress, m.FromZone
	r.out.Immediate = append(r.out.Immediate, passed)
}

// reportSuspicions tells the other members who of those that this one monitors is silent or unfit.
func (r *Replica) reportSuspicions() {
	var silent []string
	for _, member := range r.control.View.Members {
		if member.Identity != r.control.Identity && r.suspectsItself(member) {
			silent = append(silent, member.Identity)
			r.noteReport(member.Identity, r.control.Identity)
		}
	}
	if len(silent) == 0 {
		return
	}
	suspicion := &message.Suspicion{Members: silent}
	for _, member := range r.control.View.Members {
		if member.Identity != r.control.Identity && !slices.Contains(silent, member.Identity) {
			r.send(member, message.Message{Suspicion: suspicion})
		}
	}
}

func (r *Replica) suspectsItself(member message.Member) bool {
	monitors := monitorsOf(r.control.View, member.Identity)
	if !lo.ContainsBy(monitors, func(m message.Member) bool { return m.Identity == r.control.Identity }) {
		return false
	}
	return r.detector.unfit[member.Identity] || r.now-r.detector.heard[member.Identity] > suspectAfter
}

// suspects returns who is to be taken out, by the reports that are fresh. Where two suspect one another, the one
// nearer to the head stays.
func (r *Replica) suspects() []string {
	var out []string
	members := r.control.View.Members
	for i := len(members) - 1; i >= 0; i-- {
		identity := members[i].Identity
		if r.isReported(identity, out) {
			out = append(out, identity)
			if _, ok := r.detector.since[identity]; !ok {
				r.detector.since[identity] = r.now
			}
		} else {
			delete(r.detector.since, identity)
		}
	}
	return out
}

// isReported reports whether someone who is not excluded suspects identity.
func (r *Replica) isReported(identity string, excluded []string) bool {
	for reporter, at := range r.detector.reports[identity] {
		if r.now-at <= reportLifetime && !slices.Contains(excluded, reporter) {
			return true
		}
	}
	return false
}

// wantedView is the view that the reports and requests speak for; ok is false where it is the present one.
func (r *Replica) wantedView() (view message.View, ok bool) {
	suspects := r.suspects()
	current := r.control.View
	stay := lo.Filter(current.Members, func(m message.Member, _ int) bool { return !slices.Contains(suspects, m.Identity) })
	joiners := r.freshJoiners(suspects)
	if len(stay) < r.majority() {
		return view, false
	}
	if !r.isLargeEnough(len(stay)+len(joiners), suspects) {
		stay = current.Members
	}
	stay = r.withoutVolatile(stay, len(joiners))
	sort.SliceStable(stay, func(i, j int) bool { return r.isComplete(stay[i]) && !r.isComplete(stay[j]) })
	members := append(slices.Clone(stay), joiners...)
	if sameMembers(members, current.Members) {
		return view, false
	}
	next := message.View{Number: current.Number + 1, Members: members}
	next.Size = max(current.Size, len(members))
	return next, true
}

// withoutVolatile leaves out the members that have no disk, which only the first view can have, once enough others are
// there. A member without a disk leaves that to one that has one, as somebody who holds the state must stay.
func (r *Replica) withoutVolatile(members []message.Member, joiners int) []message.Member {
	durable := lo.Reject(members, func(m message.Member, _ int) bool { return r.isVolatile(m) })
	if r.options.Volatile || len(durable)+joiners <= r.options.Tolerance {
		return members
	}
	return durable
}

func (r *Replica) isVolatile(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return r.options.Volatile
	}
	hasDisk, told := r.detector.disk[member.Identity]
	return told && !hasDisk
}

// hasDurability reports whether enough members have a disk for a change to be acknowledged: one more than the
// tolerance. Where no member has one, as on machines without disks, the first seconds of a view are waited for.
func (r *Replica) hasDurability() bool {
	members := r.control.View.Members
	if r.control.View.Number > 1 && !lo.ContainsBy(members, r.isVolatile) {
		return true // a later view has members with disks only, and is never smaller than it may be
	}
	durable := lo.CountBy(members, func(m message.Member) bool {
		return m.Identity == r.control.Identity && !r.options.Volatile || r.detector.disk[m.Identity]
	})
	if durable == 0 {
		return r.now-r.lease.viewEntered >= disklessPatience
	}
	return durable > r.options.Tolerance
}

// isLargeEnough reports whether a view may have so many members: the tolerance below the full size at once, and one
// above the tolerance when the others have been away for long.
func (r *Replica) isLargeEnough(count int, suspects []string) bool {
	least := r.options.Tolerance + 1
	if count >= max(least, r.control.View.Size-r.options.Tolerance) || count >= len(r.control.View.Members) {
		return true
	}
	if count < least {
		return false
	}
	return lo.EveryBy(suspects, func(identity string) bool { return r.now-r.detector.since[identity] > shrinkPatience })
}

func (r *Replica) isComplete(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return r.control.Complete
	}
	return r.detector.complete[member.Identity] == r.control.View.Number
}

// freshJoiners are those that asked a moment ago, and more than once. One that comes with an address of a member
// replaces it, as only one process can have the address.
func (r *Replica) freshJoiners(suspects []string) []message.Member {
	var out []message.Member
	for identity, j := range r.detector.joiners {
		if r.now-j.at > joinLifetime {
			delete(r.detector.joiners, identity)
			continue
		}
		holder, taken := lo.Find(r.control.View.Members, func(m message.Member) bool { return m.Address == j.member.Address })
		if taken && !slices.Contains(suspects, holder.Identity) {
			continue
		}
		member := j.member
		member.Since = r.control.View.Number + 1
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Identity < out[j].Identity })
	return out
}

// sameMembers compares sets: an order alone is no reason for another view.
func sameMembers(a, b []message.Member) bool {
	identities := func(members []message.Member) []string {
		return lo.Map(members, func(m message.Member, _ int) string { return m.Identity })
	}
	return len(a) == len(b) && len(lo.Without(identities(a), identities(b)...)) == 0
}

// learnOfView passes on the newest view where the sender has an older one.
func (r *Replica) learnOfView(m *message.Message) {
	if m.View < r.control.View.Number && m.Announcement == nil && m.Join == nil && m.FromAddress != "" {
		r.send(r.sender(m), message.Message{Announcement: &message.Announcement{View: r.control.View}})
	}
}

// enterView takes up a decided view.
func (r *Replica) enterView(view message.View) {
	if view.Number <= r.control.View.Number {
		return
	}
	old := r.control.View
	at := positionOf(view, r.control.Identity)
	complete := at >= 0 && r.control.Complete && view.Members[at].Since <= old.Number
	r.control.View, r.control.Complete = view, complete
	r.control.Promised, r.control.AcceptedBallot, r.control.Accepted = message.Ballot{}, message.Ballot{}, message.View{}
	r.controlDirty = true
	r.proposal = proposal{}
	r.detector.wantsAnother = false
	clear(r.detector.reports)
	clear(r.detector.since)
	for _, member := range view.Members {
		r.detector.heard[member.Identity] = r.now
		delete(r.detector.joiners, member.Identity)
		delete(r.detector.unfit, member.Identity)
	}
	r.lease.viewEntered = r.now
	r.confirms.abandon()
	r.enterRole()
	r.detector.beaten = false
}
