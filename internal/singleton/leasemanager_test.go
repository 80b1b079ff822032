package singleton

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// fleet is a lease manager with a log that commits at once and instances whose heartbeats always arrive. It tests the
// decisions of the lease manager.
type fleet struct {
	settings   Settings
	now        Time
	state      *State
	manager    *LeaseManager
	heartbeats map[string]Heartbeat // by running instance
	stuck      map[string]bool      // instances that make no progress
	steps      uint64
	applied    []string // commands that changed the state
}

func newFleet(roles ...string) *fleet {
	f := &fleet{
		settings:   Settings{Roles: roles, LeaseDuration: 1e6, MaxClockDrift: 0.2, PenaltyBackoff: 1e6},
		state:      NewState(),
		heartbeats: map[string]Heartbeat{},
		stuck:      map[string]bool{},
	}
	f.state.Apply(Command{Kind: CommandSetLeaseDuration, LeaseDuration: f.settings.LeaseDuration})
	f.manager = NewLeaseManager(f.settings, f.state, 0)
	return f
}

// newRunningFleet is a fleet of one role and the instances a and b, one of which holds it.
func newRunningFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet("w")
	f.heartbeats["a"], f.heartbeats["b"] = Heartbeat{Incarnation: 1}, Heartbeat{Incarnation: 1}
	f.run(300_000)
	if f.state.Assignments["w"].Holder == "" {
		t.Fatal("no instance holds the role")
	}
	return f
}

func (f *fleet) apply(commands []Command) {
	for _, c := range commands {
		if f.state.Apply(c) == nil {
			f.applied = append(f.applied, strings.TrimSpace(fmt.Sprint(c.Kind, " ", c.Role, " ", c.Instance)))
		}
	}
}

// run advances the clock by span, with a heartbeat of each instance and a tick every tenth of a second.
func (f *fleet) run(span Time) {
	for end := f.now + span; f.now < end; f.now += 100_000 {
		f.steps++
		for _, name := range slices.Sorted(maps.Keys(f.heartbeats)) {
			f.sendHeartbeat(name)
		}
		f.apply(f.manager.Tick(f.now, f.state))
	}
}

// sendHeartbeat sends an instance's heartbeat. As no step is in progress, it sends at once a second one that releases
// the leases that the response asks to release.
func (f *fleet) sendHeartbeat(name string) {
	heartbeat := f.heartbeats[name]
	heartbeat.Name, heartbeat.Leases = name, nil
	for role, a := range f.state.Assignments {
		if !a.isHeldBy(heartbeat) {
			continue
		}
		report := LeaseReport{Role: role, Token: a.Token, Steps: f.steps}
		if f.stuck[name] {
			report.Steps = 0
		}
		heartbeat.Leases = append(heartbeat.Leases, report)
	}
	commands, response := f.manager.HandleHeartbeat(f.now, heartbeat, f.state)
	f.apply(commands)
	for _, l := range response.Leases {
		if l.Release {
			heartbeat.Leases = []LeaseReport{{Role: l.Role, Token: l.Token, Released: true}}
			commands, _ := f.manager.HandleHeartbeat(f.now, heartbeat, f.state)
			f.apply(commands)
		}
	}
}

// holders lists the holder of each role: "w1=a w2=".
func (f *fleet) holders() string {
	var all []string
	for _, role := range f.settings.Roles {
		all = append(all, role+"="+f.state.Assignments[role].Holder)
	}
	return strings.Join(all, " ")
}

func (f *fleet) countExpirations() (sum int) {
	for _, n := range f.state.Expirations {
		sum += n
	}
	return sum
}

func TestLeaseManager_SpreadsRolesAndReassignsThemWhenHolderLeaves(t *testing.T) {
	f := newFleet("w1", "w2", "w3", "w4")
	f.heartbeats["a"] = Heartbeat{Incarnation: 1, Zone: "x", Build: 1}
	f.heartbeats["b"] = Heartbeat{Incarnation: 1, Zone: "y", Build: 2}
	f.run(300_000)
	if n := strings.Count(f.holders(), "=a"); n != 2 || strings.Count(f.holders(), "=b") != 2 {
		t.Errorf("not spread: %s", f.holders())
	}

	f.heartbeats["c"] = Heartbeat{Incarnation: 1, Roles: []string{"w4"}}
	f.heartbeats["a"] = Heartbeat{Incarnation: 1, Zone: "x", Leaving: true}
	f.run(500_000)
	got := f.holders()
	if strings.Contains(got, "=a") || strings.Contains(got, "=c") != strings.Contains(got, "w4=c") || strings.Contains(got, "= ") {
		t.Errorf("after a left: %s", got)
	}
}

func TestLeaseManager_PenaltyDoublesWithExpirations(t *testing.T) {
	f := newFleet("w")
	f.heartbeats["a"], f.heartbeats["b"] = Heartbeat{Incarnation: 1}, Heartbeat{Incarnation: 1}
	f.stuck["a"], f.stuck["b"] = true, true
	f.run(20e6)
	grants := 0
	for _, command := range f.applied {
		if strings.HasPrefix(command, "grant") {
			grants++
		}
	}
	// Without penalties there would be one grant per second. With penalties an instance is granted nothing for 1, 2, 4,
	// 8 and then 16 s after its expirations.
	if n := f.countExpirations(); grants < 4 || grants > 10 || n < grants-1 {
		t.Errorf("%d grants to holders without progress, %d expirations: %v", grants, n, f.applied)
	}
	f.stuck = map[string]bool{}
	f.run(40e6)
	if f.holders() == "w=" {
		t.Error("the role has no holder after all penalties have ended")
	}
	f.run(800e6)
	if len(f.state.Expirations) != 0 {
		t.Errorf("expirations are never reset: %v", f.state.Expirations)
	}
}

func TestLeaseManager_DesiredHolder(t *testing.T) {
	f := newRunningFleet(t)
	desired, other := "a", "b"
	if f.holders() == "w=a" {
		desired, other = "b", "a"
	}
	f.apply([]Command{{Kind: CommandSetDesiredHolder, Role: "w", Instance: desired}})
	f.run(300_000)
	if f.holders() != "w="+desired || f.state.Assignments["w"].DesiredHolder != "" {
		t.Errorf("%s is desired: %+v", desired, f.state.Assignments["w"])
	}
	f.apply([]Command{{Kind: CommandSetDesiredHolder, Role: "w", Instance: "nobody"}})
	f.run(300_000)
	if f.holders() != "w="+desired {
		t.Errorf("the role was released for an instance that does not run: %s", f.holders())
	}
	delete(f.heartbeats, desired) // it crashes: the absent desired holder must not keep the role unassigned
	f.run(2e6)
	if f.holders() != "w="+other {
		t.Errorf("after %s crashed: %+v", desired, f.state.Assignments["w"])
	}
}

func TestLeaseManager_SecondIncarnation(t *testing.T) {
	f := newRunningFleet(t)
	name := f.state.Assignments["w"].Holder
	f.heartbeats = map[string]Heartbeat{name: f.heartbeats[name]}
	f.run(2e6)

	second := Heartbeat{Name: name, Incarnation: 9}
	_, response := f.manager.HandleHeartbeat(f.now, second, f.state)
	if !strings.Contains(response.Reason, "another process of the name "+name) {
		t.Errorf("second incarnation admitted while the first runs: %+v", response)
	}
	token := f.state.Assignments["w"].Token
	delete(f.heartbeats, name)
	f.run(1.2e6)
	f.heartbeats[name] = second
	f.run(4e6)
	if a := f.state.Assignments["w"]; a.Holder != name || a.Incarnation != 9 || a.Token <= token {
		t.Errorf("second incarnation, after the lease of the first expired: %+v", a)
	}
}
