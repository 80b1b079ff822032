package clustertest

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
)

// program is the program as it is now, built for these tests: a process that is frozen or killed has to be a real one.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "guild")
	if err == nil {
		program = filepath.Join(dir, "pumiceline")
		var said []byte
		if said, err = exec.Command("go", "build", "-buildvcs=false", "-o", program, "pumiceline/cmd/pumiceline").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, said)
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

// tryGuild is a guild of real processes whose one work is owned.
func tryGuild(t *testing.T, members, instances int, unfenced bool) *guild {
	g, err := set(program, members, time.Second, []string{"export"}, unfenced)
	t.Cleanup(g.close)
	for i := 0; err == nil && i < members; i++ {
		err = g.startMember(i)
	}
	for i := 0; err == nil && i < instances; i++ {
		err = g.startInstance(i)
	}
	if err != nil {
		t.Fatal(err)
	}
	soon(t, g, "the work is owned", func() bool { return g.last("export").Token > 0 })
	return g
}

// soon waits for what has to come; the bound is for a slow machine and says nothing of how long it takes.
func soon(t *testing.T, g *guild, what string, yes func() bool) {
	t.Helper()
	if !g.await(time.Now().Add(30*time.Second), yes) {
		t.Fatalf("in vain: %s\n%s", what, g)
	}
}

// another waits until an effect of another than old counts, and returns who it is.
func another(t *testing.T, g *guild, old string) string {
	t.Helper()
	soon(t, g, "another than "+old+" owns the work", func() bool { return g.last("export").From != old })
	return g.last("export").From
}

// An owner that is frozen with an effect on the way, and wakes up after another has begun, does no harm: what it had sent is refused by name, and so
// would be whatever it sends. Without the fence the same faults do harm, and the checker sees it.
func TestLateOwner(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		g := tryGuild(t, 3, 2, unfenced)
		old := g.last("export").From
		way := g.ways[old+" to recorder"]
		// Its answers are held first, so that an effect has passed and is sent for all that its sender knows: that one is not on the way.
		way.Set(faulttest.Down, faulttest.Fault{Hold: true})
		soon(t, g, "an effect has passed", func() bool { return way.Held(faulttest.Down) > 0 })
		way.Set(faulttest.Up, faulttest.Fault{Hold: true})
		way.Set(faulttest.Down, faulttest.Fault{})
		soon(t, g, "an effect is on the way", func() bool { return way.Held(faulttest.Up) > 0 })
		g.processes[old].Freeze()
		another(t, g, old)
		way.Heal() // it comes while its sender is still frozen
		soon(t, g, "the late effect comes", func() bool {
			harms, _ := fakestandalone.Interleaved(g.recorder.Taken())
			return len(g.recorder.Refused())+harms > 0
		})
		g.processes[old].Thaw()
		time.Sleep(time.Second)
		harms, first := fakestandalone.Interleaved(g.recorder.Taken())
		refused := strings.Join(g.recorder.Refused(), "\n")
		if (harms > 0) != unfenced || (refused == "") != unfenced || !unfenced && !strings.Contains(refused, "token 1, serial") {
			t.Errorf("unfenced %v: %d harms (%s), refused: %s\n%s", unfenced, harms, first, refused, g)
		}
	}
}

// What else may happen to owners and members: work that stands still though its owner beats, an owner that the quorum does not hear, one that
// is told to stop, a wish, a leader that dies, a quorum that is lost and comes back, a disk that is too old.
func TestOwnersAndMembers(t *testing.T) {
	g := tryGuild(t, 3, 3, false)
	said := func(i int, text string) func() bool {
		return func() bool { return strings.Contains(g.processes[member(i)].Log(), text) }
	}

	old := g.last("export").From
	g.ways[old+" to recorder"].Set(faulttest.Up, faulttest.Fault{Hold: true})
	now := another(t, g, old)
	soon(t, g, "the cause is told", said(0, old+" is there and its work stands still"))
	g.ways[old+" to recorder"].Heal()
	soon(t, g, "its effect is refused", func() bool { return len(g.recorder.Refused()) > 0 })

	for i := range 3 { // the quorum hears nothing of the owner, which sends on; it stops by itself before another starts
		g.ways[now+" to "+member(i)].Set(faulttest.Up, faulttest.Fault{Hold: true})
	}
	then := another(t, g, now)
	for i := range 3 {
		g.ways[now+" to "+member(i)].Heal()
	}

	time.Sleep(2 * time.Second) // till neither of the others is damped: else there is nobody to hand over to
	g.processes[then].Stop()
	after := another(t, g, then)
	if err := g.processes[then].Wait(time.Now().Add(10 * time.Second)); err != nil {
		t.Error(err)
	}
	soon(t, g, "it has given the work back, and no lease ran out", said(0, "given back by "+then))
	var to string
	for i := range 3 {
		if name := instance(i); name != then && name != after {
			to = name
		}
	}
	if out, err := g.command("owner", "move", "export", to, "--fleet", g.path("operator")).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	soon(t, g, "the wish is done", func() bool { return g.last("export").From == to })

	s, _, err := g.status()
	if err != nil || !s.HasQuorum || s.MostCurrent().Assignments["export"].Holder != to {
		t.Errorf("status: %+v, %v", s, err)
	}
	leader := int(s.MostCurrent().Leader) - 1
	resp, err := http.Get("http://" + g.real[leader] + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	figures, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || !strings.Contains(string(figures), `owner_work_owned{work="export"} 1`) || !strings.Contains(string(figures), "\nowner_instances ") {
		t.Errorf("%v: %s", err, figures)
	}
	copied := filepath.Join(g.dir, "copy")
	g.processes[member(leader)].Kill()
	if out, err := exec.Command("cp", "-r", g.disk(leader), copied).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	token, at := g.last("export").Token, time.Now()
	soon(t, g, "the work goes on without the leader", func() bool { return g.last("export").At.After(at.Add(2 * time.Second)) })
	if last := g.last("export"); last.Token != token || last.From != to {
		t.Errorf("a leader's death moved the work: %+v, before token %d of %s", last, token, to)
	}

	if err := g.startMember(leader); err != nil {
		t.Fatal(err)
	}
	soon(t, g, "the old leader takes part again", func() bool { s, _, err := g.status(); return err == nil && len(s.Unreachable) == 0 })
	g.processes[member(leader)].Kill()
	os.RemoveAll(g.disk(leader))
	os.Rename(copied, g.disk(leader))
	g.startMember(leader)
	if err := g.processes[member(leader)].Wait(time.Now().Add(20 * time.Second)); err == nil || !strings.Contains(g.processes[member(leader)].Log(), "disk is older") {
		t.Errorf("an older copy of a disk: %v, %s", err, g.processes[member(leader)].Log())
	}

	// A disk that takes no more ends its member, which says so; once there is room it takes part again.
	os.RemoveAll(g.disk(leader))
	full := (leader + 1) % 3
	if err := g.processes[member(full)].Fill(); err != nil {
		t.Fatal(err)
	}
	g.command("owner", "release", "export", "--fleet", g.path("operator")).Run() // something to write, if that can still be agreed on
	if err := g.processes[member(full)].Wait(time.Now().Add(20 * time.Second)); err == nil || !strings.Contains(g.processes[member(full)].Log(), "can't be kept") {
		t.Errorf("a full disk: %v, %s", err, g.processes[member(full)].Log())
	}
	if err := g.startMember(full); err != nil {
		t.Fatal(err)
	}
	room := time.Now()
	soon(t, g, "the work is owned once there is room", func() bool { return g.last("export").At.After(room) })

	other := (leader + 1) % 3 // one of three is left: nothing is owned, which shows
	g.processes[member(other)].Kill()
	soon(t, g, "the owner stops without a quorum", func() bool { return time.Since(g.last("export").At) > 2*time.Second })
	if _, text, err := g.status(); err == nil {
		t.Errorf("status without a quorum: %s", text)
	}
	quiet := time.Now()
	if err := g.startMember(other); err != nil {
		t.Fatal(err)
	}
	soon(t, g, "the work is owned again", func() bool { return g.last("export").At.After(quiet) })
	if harms, first := fakestandalone.Interleaved(g.recorder.Taken()); harms > 0 {
		t.Error(first)
	}
}
