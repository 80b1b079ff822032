package clustertest

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
)

// program is the path of the program, which TestMain builds from the current source: the tests need real processes that
// they can freeze and kill.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clustertest")
	if err == nil {
		program = filepath.Join(dir, "pumiceline")
		build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "pumiceline/cmd/pumiceline")
		if out, buildErr := build.CombinedOutput(); buildErr != nil {
			err = fmt.Errorf("%w: %s", buildErr, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// testRole is the only role of the tests' clusters.
const testRole = "export"

// startCluster starts a cluster of three members and waits until its role is held.
func startCluster(t *testing.T, instances int, lease time.Duration, unfenced bool) *cluster {
	t.Helper()
	c, err := newCluster(clusterOptions{program: program, members: 3, lease: lease, roles: []string{testRole},
		unfenced: unfenced})
	t.Cleanup(c.close)
	for i := 0; err == nil && i < len(c.memberAddrs); i++ {
		err = c.startMember(i)
	}
	for i := 0; err == nil && i < instances; i++ {
		err = c.startInstance(i)
	}
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, c, "the role is held", func() bool { return c.lastAccepted(testRole).Token > 0 })
	return c
}

// eventuallyTimeout is long enough for a slow machine. It is not the time that a condition usually takes.
const eventuallyTimeout = 30 * time.Second

// eventually waits until a condition holds.
func eventually(t *testing.T, c *cluster, description string, condition func() bool) {
	t.Helper()
	if !waitFor(time.Now().Add(eventuallyTimeout), condition) {
		t.Fatalf("not within %v: %s\n%s%s", eventuallyTimeout, description, c, c.logTails())
	}
}

// logTailLines is how many lines of the log of each process a failure shows.
const logTailLines = 12

// logTails returns the last lines that each process has logged since its latest start.
func (c *cluster) logTails() string {
	var tails strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.processes)) {
		lines := strings.Split(strings.TrimSpace(c.processes[name].Log()), "\n")
		lines = lines[max(0, len(lines)-logTailLines):]
		fmt.Fprintf(&tails, "%s logged last:\n\t%s\n", name, strings.Join(lines, "\n\t"))
	}
	return tails.String()
}

// awaitRoleHeldByQuorum waits until effects show that the role is held with the members that run now. A lease that a
// holder received before has ended by then.
func awaitRoleHeldByQuorum(t *testing.T, c *cluster) {
	t.Helper()
	leasesEnd := time.Now().Add(2 * c.lease)
	eventually(t, c, "the role is held with the members that run", func() bool {
		return c.lastAccepted(testRole).At.After(leasesEnd)
	})
}

// holder returns the instance whose effect was accepted last.
func (c *cluster) holder() string { return c.lastAccepted(testRole).From }

// awaitOtherHolder waits until an effect of another instance is accepted, and returns that instance.
func awaitOtherHolder(t *testing.T, c *cluster, previous string) string {
	t.Helper()
	eventually(t, c, "an instance other than "+previous+" holds the role", func() bool { return c.holder() != previous })
	return c.holder()
}

// memberLogs reports whether a member's log has a text.
func (c *cluster) memberLogs(i int, text string) bool {
	return strings.Contains(c.processes[memberName(i)].Log(), text)
}

// A holder is frozen while one of its effects is in flight, and another instance takes over the role. The late effect
// is rejected by its token. Without fencing it is accepted, and the checker finds that violation.
func TestCluster_LateEffectIsRejected(t *testing.T) {
	for _, tt := range []struct {
		name     string
		unfenced bool
	}{{"fenced", false}, {"unfenced", true}} {
		t.Run(tt.name, func(t *testing.T) {
			c := startCluster(t, 2, time.Second, tt.unfenced)
			old := c.holder()
			freezeWithEffectInFlight(t, c, old)
			token := c.lastAcceptedFrom(old).Token // the first one, unless the machine held the first holder up
			awaitOtherHolder(t, c, old)
			c.relays[link{old, recorderName}].Heal() // the effect arrives while its sender is still frozen
			eventually(t, c, "the late effect arrives", func() bool {
				violations, _ := fakestandalone.FindViolations(c.recorder.Accepted())
				return len(c.recorder.Rejected())+violations > 0
			})
			if err := c.processes[old].Thaw(); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Second) // a lease: the old holder may send more effects, which must be rejected too
			violations, first := fakestandalone.FindViolations(c.recorder.Accepted())
			rejected := strings.Join(c.recorder.Rejected(), "\n")
			if (violations > 0) != tt.unfenced || (rejected == "") != tt.unfenced ||
				!tt.unfenced && !strings.Contains(rejected, fmt.Sprintf("token %d, serial", token)) {
				t.Errorf("%d violations (%s), rejected: %s\n%s", violations, first, rejected, c)
			}
		})
	}
}

// freezeWithEffectInFlight freezes an instance while one of its effects is held on the way to the recorder.
func freezeWithEffectInFlight(t *testing.T, c *cluster, instance string) {
	t.Helper()
	relay := c.relays[link{instance, recorderName}]
	// Hold the responses first: once a response is held, its effect has arrived. The effect that is held afterwards is
	// then another one, which has not arrived.
	relay.Set(faulttest.Downstream, faulttest.Fault{Hold: true})
	eventually(t, c, "an effect has arrived", func() bool { return relay.Held(faulttest.Downstream) > 0 })
	relay.Set(faulttest.Upstream, faulttest.Fault{Hold: true})
	relay.Set(faulttest.Downstream, faulttest.Fault{})
	eventually(t, c, "an effect is in flight", func() bool { return relay.Held(faulttest.Upstream) > 0 })
	if err := c.processes[instance].Freeze(); err != nil {
		t.Fatal(err)
	}
}

// A holder that sends heartbeats but makes no progress is replaced, every member logs that cause, and its late effect
// is rejected. The lease is long because a holder whose heartbeat is half a lease late is replaced with another cause
// in the log, and on a loaded machine a heartbeat may be half a second late.
func TestCluster_StuckHolderIsReplaced(t *testing.T) {
	c := startCluster(t, 3, 5*time.Second, false)
	old := c.holder()
	relay := c.relays[link{old, recorderName}]
	relay.Set(faulttest.Upstream, faulttest.Fault{Hold: true})
	awaitOtherHolder(t, c, old)
	for i := range c.memberAddrs {
		eventually(t, c, memberName(i)+" logs the cause", func() bool {
			return c.memberLogs(i, old+" is there and its work stands still")
		})
	}
	relay.Heal()
	eventually(t, c, "the old holder's effect is rejected", func() bool { return len(c.recorder.Rejected()) > 0 })
	c.checkNoViolations(t)
}

func (c *cluster) checkNoViolations(t *testing.T) {
	t.Helper()
	if violations, first := fakestandalone.FindViolations(c.recorder.Accepted()); violations > 0 {
		t.Error(first)
	}
}

// failures is a sequence of failures of one cluster.
type failures struct {
	*cluster
	stopped    string // instance that was stopped
	target     string // instance to which an operator moved the role
	leader     int    // member that led and was killed
	copiedDisk string // copy of the leader's store when the leader was killed
}

// A cluster survives failures of instances and members, one after the other.
func TestCluster_SurvivesFailures(t *testing.T) {
	f := &failures{cluster: startCluster(t, 3, time.Second, false)}
	for _, step := range []struct {
		name string
		run  func(*testing.T)
	}{
		{"holder partitioned from the members", f.partitionHolder},
		{"instance stopped", f.stopHolder},
		{"role moved by an operator", f.moveRole},
		{"status and metrics", f.readStatus},
		{"leader killed", f.killLeader},
		{"member with an old disk", f.restoreOldDisk},
		{"member with a full disk", f.fillDisk},
		{"quorum lost", f.loseQuorum},
	} {
		if !t.Run(step.name, step.run) {
			return // the next step would start from another state
		}
	}
	f.checkNoViolations(t)
}

// partitionHolder partitions the holder from all members: the holder stops by itself before another instance starts.
func (f *failures) partitionHolder(t *testing.T) {
	holder := f.holder()
	for i := range f.memberAddrs {
		f.relays[link{holder, memberName(i)}].Set(faulttest.Upstream, faulttest.Fault{Hold: true})
	}
	awaitOtherHolder(t, f.cluster, holder)
	for i := range f.memberAddrs {
		f.relays[link{holder, memberName(i)}].Heal()
	}
}

// stopHolder stops the holder: the holder ends without an error and releases its lease, so that the lease does not
// expire.
func (f *failures) stopHolder(t *testing.T) {
	time.Sleep(2 * time.Second) // until no penalty is left: otherwise no instance is eligible
	f.stopped = f.holder()
	if err := f.processes[f.stopped].Stop(); err != nil {
		t.Fatal(err)
	}
	awaitOtherHolder(t, f.cluster, f.stopped)
	if err := f.processes[f.stopped].Wait(time.Now().Add(10 * time.Second)); err != nil {
		t.Error(err)
	}
	eventually(t, f.cluster, "the lease was released", func() bool { return f.memberLogs(0, "given back by "+f.stopped) })
}

// moveRole moves the role to the third instance, as an operator would.
func (f *failures) moveRole(t *testing.T) {
	for i := range 3 {
		if name := instanceName(i); name != f.stopped && name != f.holder() {
			f.target = name
		}
	}
	move := f.command("singleton", "move", testRole, f.target, "--fleet", f.fleetFile(operatorName))
	if out, err := move.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	eventually(t, f.cluster, f.target+" holds the role", func() bool { return f.holder() == f.target })
}

// readStatus checks that the status shows the target as the holder and the metrics show the role as held.
func (f *failures) readStatus(t *testing.T) {
	status, err := f.status()
	if err != nil || !status.HasQuorum || status.MostCurrent().Assignments[testRole].Holder != f.target {
		t.Errorf("status: %+v, %v", status, err)
	}
	f.leader = int(status.MostCurrent().Leader) - 1
	resp, err := http.Get("http://" + f.memberAddrs[f.leader] + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(metrics), `owner_work_owned{work="export"} 1`) ||
		!strings.Contains(string(metrics), "\nowner_instances ") {
		t.Errorf("%v: %s", err, metrics)
	}
}

// killLeader kills the leader: the role must stay with its holder.
func (f *failures) killLeader(t *testing.T) {
	f.copiedDisk = filepath.Join(f.dir, "copy")
	f.processes[memberName(f.leader)].Kill()
	if out, err := exec.Command("cp", "-r", f.memberDir(f.leader), f.copiedDisk).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	before, killedAt := f.lastAccepted(testRole), time.Now()
	eventually(t, f.cluster, "effects are accepted without the leader", func() bool {
		return f.lastAccepted(testRole).At.After(killedAt.Add(2 * time.Second))
	})
	if after := f.lastAccepted(testRole); after.Token != before.Token || after.From != f.target {
		t.Errorf("the kill of the leader moved the role from %s: %+v, before %+v", f.target, after, before)
	}
}

// restoreOldDisk starts a member on an older copy of its store: the member must end by itself. Until the machine
// restarts, the mark in the volatile folder shows that the store is old; after that, the other members refuse the
// member.
func (f *failures) restoreOldDisk(t *testing.T) {
	if err := f.startMember(f.leader); err != nil {
		t.Fatal(err)
	}
	eventually(t, f.cluster, "the old leader takes part again", func() bool {
		status, err := f.status()
		return err == nil && len(status.Unreachable) == 0
	})
	f.processes[memberName(f.leader)].Kill()
	if err := os.RemoveAll(f.memberDir(f.leader)); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(f.copiedDisk, f.memberDir(f.leader)); err != nil {
		t.Fatal(err)
	}
	if err := f.startMember(f.leader); err != nil {
		t.Fatal(err)
	}
	f.expectFailure(t, f.leader, "disk is older")
	if err := os.RemoveAll(f.volatileDir(f.leader)); err != nil { // as a restart of the machine does
		t.Fatal(err)
	}
	if err := f.startMember(f.leader); err != nil {
		t.Fatal(err)
	}
	f.expectFailure(t, f.leader, "refused by a peer")
}

// expectFailure waits until a member has ended with an error, and checks that its log has the reason.
func (f *failures) expectFailure(t *testing.T, member int, reason string) {
	t.Helper()
	process := f.processes[memberName(member)]
	if err := process.Wait(time.Now().Add(20 * time.Second)); err == nil || !f.memberLogs(member, reason) {
		t.Errorf("not ended with %q: %v, %s", reason, err, process.Log())
	}
}

// fillDisk fills a member's disk: the member ends by itself with that error. Restarted with room on its disk it takes
// part again.
func (f *failures) fillDisk(t *testing.T) {
	if err := os.RemoveAll(f.memberDir(f.leader)); err != nil {
		t.Fatal(err)
	}
	member := (f.leader + 1) % 3
	if err := f.processes[memberName(member)].FillDisk(); err != nil {
		t.Fatal(err)
	}
	// A command that the member must write. The request fails if the quorum needs the member.
	_ = f.command("singleton", "release", testRole, "--fleet", f.fleetFile(operatorName)).Run()
	f.expectFailure(t, member, "can't be kept")
	if err := f.startMember(member); err != nil {
		t.Fatal(err)
	}
	awaitRoleHeldByQuorum(t, f.cluster)
}

// loseQuorum kills a second of the three members: the holder stops, and the status command fails without a quorum.
func (f *failures) loseQuorum(t *testing.T) {
	member := (f.leader + 1) % 3
	f.processes[memberName(member)].Kill()
	eventually(t, f.cluster, "the holder stops without a quorum", func() bool {
		return time.Since(f.lastAccepted(testRole).At) > 2*time.Second
	})
	if status, err := f.status(); err == nil {
		t.Errorf("status without a quorum: %+v", status)
	}
	restartedAt := time.Now()
	if err := f.startMember(member); err != nil {
		t.Fatal(err)
	}
	eventually(t, f.cluster, "the role is held again", func() bool { return f.lastAccepted(testRole).At.After(restartedAt) })
}
